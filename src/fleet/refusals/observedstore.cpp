#include "burdockspur/fleet/refusals/observedstore.hpp"

#include <map>
#include <string>
#include <type_traits>
#include <utility>

namespace Burdockspur
{
namespace
{
[[nodiscard]] auto endOf(const Error &error) noexcept -> StoreCallEnd
{
    switch (error.m_code) {
    case ErrorCode::Timeout:
        return StoreCallEnd::Unanswered;
    case ErrorCode::Unavailable:
    case ErrorCode::ConnectionClosed:
        return StoreCallEnd::Refused;
    case ErrorCode::AnswerCorrupt:
        return StoreCallEnd::Answered;
    default:
        return StoreCallEnd::NotSent;
    }
}

template<typename T>
[[nodiscard]] auto endOf(const Result<T> &result) noexcept -> StoreCallEnd
{
    return result ? StoreCallEnd::Answered : endOf(result.error());
}

[[nodiscard]] auto endOf(const CommitResult &result) noexcept -> StoreCallEnd
{
    const bool isAnswered = result.m_status == CommitResult::Status::Committed || result.m_status == CommitResult::Status::Conflict;
    return isAnswered ? StoreCallEnd::Answered : endOf(result.m_error);
}

/// @brief Marks a time-out as the store's, so that nobody takes the answer for too large.
template<typename T>
auto blameSilence(Result<T> &result) -> void
{
    if (!result && result.error().m_code == ErrorCode::Timeout) {
        result.error().m_code = ErrorCode::Unavailable;
    }
}

auto blameSilence(CommitResult &result) -> void
{
    result.m_error.m_code = result.m_error.m_code == ErrorCode::Timeout ? ErrorCode::Unavailable : result.m_error.m_code;
}

/// @brief Result of a call that is not answered, by the type of its reply.
template<typename Reply>
[[nodiscard]] auto unansweredReply(bool isSent, std::string_view reason) -> Reply
{
    Error error{ErrorCode::Unavailable, std::string(reason)};
    if constexpr (std::is_same_v<Reply, CommitResult>) {
        return {.m_status = isSent ? CommitResult::Status::Unknown : CommitResult::Status::NotApplied, .m_rows = {}, .m_error = std::move(error)};
    } else {
        return std::unexpected(std::move(error));
    }
}
}

struct ObservedStore::OpenCall {
    TimePoint m_sentAt;
    std::function<void(std::string_view reason)> m_end; ///< replies that there is no answer
};

ObservedStore::ObservedStore(ChangeStore &store, StoreReachability &reachability, DuringOutage duringOutage, Listener listener)
    : m_store(store)
    , m_reachability(reachability)
    , m_duringOutage(duringOutage)
    , m_listener(std::move(listener))
    , m_alive(std::make_shared<bool>(true))
{
}

ObservedStore::~ObservedStore()
{
    *m_alive = false;
}

template<typename Reply>
auto ObservedStore::refuse(const std::function<void(Reply &&)> &callback) -> bool
{
    if (m_duringOutage != DuringOutage::Refuse || m_reachability.condition() == StoreCondition::Answering) {
        return false;
    }
    m_listener.m_runLater(Milliseconds{0}, [callback] {
        callback(unansweredReply<Reply>(false, "the store does not answer"));
    });
    return true;
}

template<typename Reply>
auto ObservedStore::observe(std::function<void(Reply &&)> callback, Milliseconds wait) -> std::function<void(Reply &&)>
{
    const TimePoint now = Clock::now();
    const auto number = m_reachability.begin(now, wait);
    auto shared = std::make_shared<std::function<void(Reply &&)>>(std::move(callback));
    m_open.emplace(number, OpenCall{now, [shared](std::string_view reason) {
                                        (*shared)(unansweredReply<Reply>(true, reason));
                                    }});
    return [this, alive = m_alive, number, shared](Reply &&reply) {
        if (!*alive) {
            return;
        }
        const bool isOpen = m_open.erase(number) > 0;
        if (m_reachability.end(number, endOf(reply), Clock::now())) {
            m_listener.m_changed();
        }
        if (isOpen && *alive) {
            if (m_reachability.condition() == StoreCondition::Silent) {
                blameSilence(reply);
            }
            (*shared)(std::move(reply));
        }
    };
}

auto ObservedStore::commit(const Transaction &transaction, CommitCallback callback) -> void
{
    if (!refuse(callback)) {
        m_store.commit(transaction, observe(std::move(callback), Milliseconds{0}));
    }
}

auto ObservedStore::read(std::string_view key, RowsCallback callback) -> void
{
    if (!refuse(callback)) {
        m_store.read(key, observe(std::move(callback), Milliseconds{0}));
    }
}

auto ObservedStore::scan(std::string_view prefix, std::string_view after, std::uint32_t limit, RowsCallback callback) -> void
{
    if (!refuse(callback)) {
        m_store.scan(prefix, after, limit, observe(std::move(callback), Milliseconds{0}));
    }
}

auto ObservedStore::list(std::string_view table, std::string_view partition, std::string_view after, std::uint32_t limit, PageCallback callback) -> void
{
    if (!refuse(callback)) {
        m_store.list(table, partition, after, limit, observe(std::move(callback), Milliseconds{0}));
    }
}

auto ObservedStore::follow(std::string_view table, std::uint64_t version, Milliseconds wait, PageCallback callback) -> void
{
    if (!refuse(callback)) {
        m_store.follow(table, version, wait, observe(std::move(callback), wait));
    }
}

auto ObservedStore::applyCondition() -> void
{
    const auto &report = m_reachability.report();
    if (report.m_condition == StoreCondition::Answering) {
        endCalls(report.m_silentUntil, "sent while the store was silent");
    } else if (report.m_condition == StoreCondition::Silent && m_duringOutage == DuringOutage::Refuse) {
        endCalls(TimePoint::max(), "the store does not answer");
    }
}

auto ObservedStore::endCalls(TimePoint sentBefore, std::string_view reason) -> void
{
    std::erase_if(m_open, [&](auto &entry) {
        auto &[number, call] = entry;
        const bool isFutile = call.m_sentAt < sentBefore;
        if (isFutile) {
            // A callback may begin another call, so it runs from the event loop, as after an answer.
            m_listener.m_runLater(Milliseconds{0}, [alive = m_alive, end = std::move(call.m_end), reason] {
                if (*alive) {
                    end(reason);
                }
            });
        }
        return isFutile;
    });
}
}

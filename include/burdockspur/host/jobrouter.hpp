#pragma once

#include "burdockspur/contract/shardownership.hpp"
#include "burdockspur/core/clock.hpp"
#include "burdockspur/host/callermessage.hpp"
#include "burdockspur/host/jobcommand.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Burdockspur
{
class RandomSource;

/// @brief The link to the scheduler of a host opened or closed.
struct LinkStateChanged {
    std::string m_host;
    bool m_isOpen = false;
};

/// @brief A message arrived from a scheduler.
struct PeerMessageReceived {
    std::string m_host;
    PeerMessage m_message;
};

/// @brief A message could not be sent because the link is closed or its buffer is full.
struct SendFailed {
    std::uint64_t m_correlation = 0;
};

/// @brief Events that JobRouter handles.
using JobEvent = std::variant<JobCommand, LinkStateChanged, PeerMessageReceived, SendFailed, ConfigurationChanged, TimerExpired>;

/// @brief Order to send a message to the scheduler of a host.
struct SendToPeer {
    std::string m_host;
    PeerMessage m_message;
};

/// @brief Orders that JobRouter issues.
using JobOrder = std::variant<SendToPeer, AnswerJob, AnswerJobList>;

/// @brief Forwards job commands to the schedulers that own the shards, and returns their replies.
///
/// The reports of the schedulers determine the owner of each shard; the report with the highest epoch wins. While a
/// shard has no owner or its owner is unreachable, a command is repeated until its deadline, which is safe because
/// all commands are idempotent. This is decision code: it uses no socket, thread, codec or clock.
class JobRouter
{
public:
    JobRouter() = default;

    /// @brief Handles one event.
    /// @param event what happened
    /// @param now current time
    /// @param random source of the backoff jitter
    /// @param orders receives the resulting orders at its end
    auto handle(JobEvent &&event, TimePoint now, RandomSource &random, std::vector<JobOrder> &orders) -> void;

    /// @brief Returns when TimerExpired is due, or TimePoint::max().
    [[nodiscard]] auto nextDeadline() const noexcept -> TimePoint;

    /// @brief Returns the known owners, ordered by shard.
    [[nodiscard]] auto owners() const -> std::vector<ShardOwnership>;

    /// @brief Returns the hosts with an open link to their scheduler.
    [[nodiscard]] auto openLinks() const -> std::vector<std::string>;

private:
    struct EventContext {
        TimePoint m_now;
        RandomSource &m_random;
        std::vector<JobOrder> &m_orders;
    };

    struct Pending {
        JobCommand m_command;
        TimePoint m_timer; ///< next attempt, or the deadline
        std::uint32_t m_attempts = 0;
        std::set<std::uint64_t> m_awaitedReplies; ///< correlation ids of sent messages without a reply
        std::map<std::string, Job> m_jobs; ///< jobs in the replies to ListJobs, by id
        std::optional<std::string> m_listedUpTo; ///< a truncated reply ended at this id; that scheduler has further jobs
        bool m_wasSent = false; ///< a scheduler may have carried out the command
    };

    struct Sent {
        CallerTicket m_ticket = 0;
        std::string m_host;
    };

    template<typename Event>
    auto dispatch(JobEvent &&event, EventContext &context) -> void
    {
        if (auto *const content = std::get_if<Event>(&event); content != nullptr) {
            on(std::move(*content), context);
        }
    }

    auto on(JobCommand &&event, EventContext &context) -> void;
    auto on(LinkStateChanged &&event, EventContext &context) -> void;
    auto on(PeerMessageReceived &&event, EventContext &context) -> void;
    auto on(SendFailed &&event, EventContext &context) -> void;
    auto on(ConfigurationChanged &&event, EventContext &context) -> void;
    auto on(TimerExpired &&event, EventContext &context) -> void;

    auto updateOwners(std::string_view host, const OwnershipReport &report, EventContext &context) -> void;
    auto handleReply(CallerTicket ticket, JobReply &&reply, EventContext &context) -> void;
    auto handleReply(CallerTicket ticket, JobListReply &&reply, EventContext &context) -> void;
    auto handleReply(CallerTicket ticket, ErrorReply &&reply, EventContext &context) -> void;

    auto trySend(Pending &pending, EventContext &context) -> void;
    [[nodiscard]] auto sendToOwner(Pending &pending, std::string_view job, EventContext &context) -> bool;
    [[nodiscard]] auto sendToAll(Pending &pending, EventContext &context) -> bool;
    auto send(Pending &pending, std::string_view host, EventContext &context) -> void;
    auto retryLater(Pending &pending, EventContext &context) -> void;
    auto retryWaiting(EventContext &context) -> void;
    auto finishWithError(Pending &pending, const Error &error, EventContext &context) -> void;
    auto finishList(Pending &pending, EventContext &context) -> void;
    auto removePending(Pending &pending) -> void;
    auto setTimer(Pending &pending, TimePoint time) -> void;

    std::uint32_t m_shards = 0; ///< number of shards; 0 until a configuration was read
    std::map<ShardId, ShardOwnership> m_owners;
    std::set<std::string, std::less<>> m_openLinks;
    std::unordered_map<CallerTicket, Pending> m_pending;
    std::unordered_map<std::uint64_t, Sent> m_sent; ///< by correlation id
    std::set<std::pair<TimePoint, CallerTicket>> m_timers;
    std::uint64_t m_lastCorrelation = 0;
};
}

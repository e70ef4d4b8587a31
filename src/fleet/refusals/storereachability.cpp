#include "burdockspur/fleet/refusals/storereachability.hpp"

#include <algorithm>
#include <array>

namespace Burdockspur
{
namespace
{
/// Calls without an answer that show a silent store; a single one may have lost its answer.
constexpr std::size_t silentCalls = 2;
/// Length of a silence after which open calls count as dropped. The answers of a store on a saturated link come later than
/// overdueAfter, but not all of them that late.
constexpr Milliseconds certainSilence{1'000};
/// Delay of a check above which this host has paused itself, e.g. because its machine was suspended.
constexpr Milliseconds ownPause{250};
}

auto conditionName(StoreCondition condition) noexcept -> std::string_view
{
    constexpr std::array<std::string_view, 3> names{"answering", "silent", "refusing"};
    return names[static_cast<std::size_t>(condition)];
}

auto StoreReachability::begin(TimePoint now, Milliseconds wait) -> CallNumber
{
    m_open.emplace(++m_lastCall, Call{now, now + wait + overdueAfter});
    return m_lastCall;
}

auto StoreReachability::end(CallNumber call, StoreCallEnd end, TimePoint now) -> bool
{
    const auto entry = m_open.find(call);
    const Call ended = entry == m_open.end() ? Call{now, now} : entry->second;
    if (entry != m_open.end()) {
        m_open.erase(entry);
    }
    switch (end) {
    case StoreCallEnd::NotSent:
        return false;
    case StoreCallEnd::Answered:
        if (m_report.m_condition == StoreCondition::Silent && now - m_report.m_since >= certainSilence) {
            m_report.m_silentUntil = ended.m_sentAt;
        }
        m_answeredAt = now;
        m_unanswered = 0;
        m_refusedAt.reset();
        m_failingSince.reset();
        return change(StoreCondition::Answering, now);
    case StoreCallEnd::Unanswered:
        recordFailure(ended);
        m_unanswered += isSentAfterAnswer(ended) ? 1 : 0;
        return unansweredCalls(now) >= silentCalls && change(StoreCondition::Silent, now);
    case StoreCallEnd::Refused:
        break;
    }
    recordFailure(ended);
    if (!m_refusedAt) {
        m_refusedAt = now;
        return false;
    }
    // A restart of the store closes all connections once; only a call that began after that shows that it refuses.
    return ended.m_sentAt > *m_refusedAt && change(StoreCondition::Refusing, now);
}

auto StoreReachability::check(TimePoint due, TimePoint now) -> bool
{
    if (now - due > ownPause) {
        for (auto &[number, call] : m_open) {
            call.m_overdueAt = std::max(call.m_overdueAt, now + overdueAfter);
        }
        return false;
    }
    if (m_report.m_condition != StoreCondition::Answering || unansweredCalls(now) < silentCalls) {
        return false;
    }
    return change(StoreCondition::Silent, now);
}

auto StoreReachability::isInDoubt(TimePoint now) const -> bool
{
    return m_report.m_condition != StoreCondition::Answering || m_refusedAt || unansweredCalls(now) > 0;
}

auto StoreReachability::unansweredCalls(TimePoint now) const -> std::size_t
{
    const auto overdue = std::ranges::count_if(m_open, [&](const auto &entry) {
        return entry.second.m_overdueAt <= now && isSentAfterAnswer(entry.second);
    });
    return m_unanswered + static_cast<std::size_t>(overdue);
}

auto StoreReachability::isSentAfterAnswer(const Call &call) const noexcept -> bool
{
    return !m_answeredAt || call.m_sentAt >= *m_answeredAt;
}

auto StoreReachability::recordFailure(const Call &call) -> void
{
    m_failingSince = std::min(m_failingSince.value_or(call.m_sentAt), call.m_sentAt);
}

auto StoreReachability::change(StoreCondition condition, TimePoint now) -> bool
{
    if (condition == m_report.m_condition) {
        return false;
    }
    if (condition == StoreCondition::Answering) {
        m_report.m_lastOutage = now - m_report.m_since;
        m_report.m_since = now;
    } else if (m_report.m_condition == StoreCondition::Answering) {
        // The store may have failed as soon as it had given its last answer, but a call has shown it only later.
        m_report.m_since = m_failingSince.value_or(now);
        for (const auto &[number, call] : m_open) {
            if (call.m_overdueAt <= now && isSentAfterAnswer(call)) {
                m_report.m_since = std::min(m_report.m_since, call.m_sentAt);
            }
        }
    }
    m_report.m_condition = condition;
    return true;
}
}

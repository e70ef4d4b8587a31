#pragma once

#include "burdockspur/fleet/refusals/storecondition.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace Burdockspur
{
/// @brief How a call to the store ended.
enum class StoreCallEnd : std::uint8_t {
    Answered, ///< including answers that a condition does not hold
    Refused, ///< the store refused the call, or closed the connection
    Unanswered, ///< the time for the call was over
    NotSent, ///< the call ended for a reason of this host; says nothing about the store
};

/// @brief Decides from the calls of one host whether the store answers, is silent, or refuses.
///
/// One lost answer or one closed connection is no outage. Neither is a pause of this host: calls that it could not read the answers of
/// are judged anew. Pure state: time comes in as an argument.
class StoreReachability
{
public:
    using CallNumber = std::uint64_t;

    /// Time without an answer after which a call is overdue. Twenty times the latency of a store that serves, and above the latency of
    /// a store that is slow but serves.
    static constexpr Milliseconds overdueAfter{400};

    /// @brief Records that a call was sent.
    /// @param now current time
    /// @param wait how long the store may wait for a change before it answers
    /// @returns number of the call for end()
    [[nodiscard]] auto begin(TimePoint now, Milliseconds wait) -> CallNumber;

    /// @brief Records the end of a call, also of one that was abandoned before.
    /// @returns true when the condition has changed
    auto end(CallNumber call, StoreCallEnd end, TimePoint now) -> bool;

    /// @brief Judges the calls that are still open.
    /// @param due time at which the check was to take place; a much later one shows that this host itself has paused
    /// @param now current time
    /// @returns true when the condition has changed
    auto check(TimePoint due, TimePoint now) -> bool;

    /// @brief Whether another call would help to judge the store: one is overdue, or the store does not answer.
    /// @param now current time
    [[nodiscard]] auto isInDoubt(TimePoint now) const -> bool;

    [[nodiscard]] auto condition() const noexcept -> StoreCondition
    {
        return m_report.m_condition;
    }

    [[nodiscard]] auto report() const noexcept -> const StoreReport &
    {
        return m_report;
    }

private:
    struct Call {
        TimePoint m_sentAt;
        TimePoint m_overdueAt;
    };

    auto change(StoreCondition condition, TimePoint now) -> bool;
    [[nodiscard]] auto unansweredCalls(TimePoint now) const -> std::size_t;
    [[nodiscard]] auto isSentAfterAnswer(const Call &call) const noexcept -> bool;
    auto recordFailure(const Call &call) -> void;

    std::map<CallNumber, Call> m_open;
    CallNumber m_lastCall = 0;
    StoreReport m_report;
    std::size_t m_unanswered = 0; ///< calls that ended without an answer since the last answer
    std::optional<TimePoint> m_refusedAt; ///< first refusal since the last answer
    std::optional<TimePoint> m_failingSince; ///< when the first failed call since the last answer was sent
    std::optional<TimePoint> m_answeredAt; ///< last answer
};
}

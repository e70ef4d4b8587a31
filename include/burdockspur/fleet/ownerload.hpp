#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/fleetcommand.hpp"
#include "burdockspur/fleet/processoruse.hpp"

#include <cstddef>
#include <cstdint>
#include <span>

namespace Burdockspur
{
class FleetScheduler;
struct CommitAnswer;

/// @brief Sums up the rounds of an owner's scheduler and logs them once a second.
///
/// The log line distinguishes an owner that is too slow for its fleet from one that waits for the store or for free capacity: it tells the processor
/// time of each thread, how long answers waited in the scheduler's ring, and how long a commit took at the store and altogether.
class OwnerLoad
{
public:
    /// @brief Sets the threads whose processor time is logged.
    auto watch(const HostDuties &duties) noexcept -> void
    {
        m_processorUse.watch(duties);
    }

    /// @brief Counts the commands of a round.
    auto recordCommands(std::span<const FleetCommand> commands, TimePoint now) -> void;

    /// @brief Counts the answer to a commit.
    auto recordCommit(const CommitAnswer &answer, TimePoint now) -> void;

    /// @brief Records how long the answer of a worker has waited for the scheduler.
    auto recordAnswerWait(TimePoint receivedAt, TimePoint now) -> void;

    /// @brief Counts a round, and logs `owner_load` when the last line is at least a second old.
    /// @param scheduler scheduler after the round
    /// @param inputs number of inputs that the round processed
    /// @param beganAt time at which the first input was taken
    /// @param now end of the round
    auto recordRound(const FleetScheduler &scheduler, std::size_t inputs, TimePoint beganAt, TimePoint now) -> void;

private:
    auto log(const FleetScheduler &scheduler, TimePoint now) -> void;

    /// Sums since the last line.
    struct Sums {
        std::size_t m_rounds = 0;
        std::size_t m_inputs = 0;
        std::size_t m_mostInputs = 0; ///< largest number of inputs in one round
        std::size_t m_starts = 0;
        std::size_t m_reports = 0;
        std::size_t m_commits = 0;
        std::size_t m_refusedCommits = 0;
        Duration m_busy{0};
        Duration m_longestRound{0};
        Duration m_longestCommit{0}; ///< from the scheduler's order to the answer in the scheduler
        Duration m_longestStoreCall{0}; ///< part of a commit from the call of the store to its answer
        Duration m_longestAnswerWait{0};
    };

    Sums m_sums;
    ProcessorUse m_processorUse;
    TimePoint m_commitSentAt;
    TimePoint m_loggedAt;
};
}

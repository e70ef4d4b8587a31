#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/fleetcommand.hpp"

#include <cstddef>
#include <cstdint>
#include <span>

namespace Burdockspur
{
class FleetScheduler;

/// @brief Sums up the rounds of an owner's scheduler and logs them once a second.
///
/// The log line distinguishes an owner that is too slow for its fleet from one that waits for the store or for free capacity.
class OwnerLoad
{
public:
    /// @brief Counts the commands of a round.
    auto recordCommands(std::span<const FleetCommand> commands, TimePoint now) -> void;

    /// @brief Counts the answer to a commit.
    auto recordCommit(bool isStored, TimePoint now) -> void;

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
        Duration m_longestCommit{0};
    };

    Sums m_sums;
    TimePoint m_commitSentAt;
    TimePoint m_loggedAt;
};
}

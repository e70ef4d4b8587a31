#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/fleetcommand.hpp"

#include <cstddef>
#include <cstdint>
#include <span>

namespace Burdockspur
{
class FleetScheduler;

/// @brief Sums up the rounds of an owner, and logs them once a second.
///
/// Tells an owner that is too slow for its fleet from one that waits for the store or for room.
class OwnerLoad
{
public:
    /// @brief Takes the commands of a round.
    auto noteCommands(std::span<const FleetCommand> commands, TimePoint now) -> void;

    /// @brief Takes the answer to a commit.
    auto noteCommit(bool isStored, TimePoint now) -> void;

    /// @brief Takes a round, and logs `owner_load` when the last line is a second old.
    /// @param scheduler after the round
    /// @param inputs that the round took
    /// @param beganAt time of the first input
    /// @param now end of the round
    auto noteRound(const FleetScheduler &scheduler, std::size_t inputs, TimePoint beganAt, TimePoint now) -> void;

private:
    auto log(const FleetScheduler &scheduler, TimePoint now) -> void;

    /// Sums since the last line.
    struct Sums {
        std::size_t m_rounds = 0;
        std::size_t m_inputs = 0;
        std::size_t m_mostInputs = 0; ///< of one round
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

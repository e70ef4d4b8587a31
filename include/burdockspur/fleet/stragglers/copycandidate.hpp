#pragma once

#include "burdockspur/contract/taskid.hpp"
#include "burdockspur/fleet/stragglers/copyworth.hpp"

#include <cstdint>
#include <string>
#include <tuple>

namespace Burdockspur
{
/// @brief A running task that is worth a copy.
struct CopyCandidate {
    TaskId m_task;
    RunNumber m_run = 0;
    std::string m_worker; ///< id of the worker that has the run
    std::uint32_t m_priority = 0; ///< of the job's queue
    CopyWorth m_worth;

    /// @brief True if a copy of this task goes first: it keeps an objective, is of a more urgent queue, or gains more time.
    [[nodiscard]] auto isBefore(const CopyCandidate &other) const noexcept -> bool
    {
        return sortKey() < other.sortKey();
    }

private:
    [[nodiscard]] auto sortKey() const noexcept -> std::tuple<bool, std::uint32_t, Duration>
    {
        return {!m_worth.m_makesObjective, m_priority, m_worth.m_copyTakes - m_worth.m_remaining};
    }
};
}

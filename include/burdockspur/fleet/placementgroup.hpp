#pragma once

#include "burdockspur/fleet/fleetjob.hpp"
#include "burdockspur/fleet/jobrank.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace Burdockspur
{
/// @brief Waiting tasks of one step of an occurrence, which are placed together.
struct PlacementGroup {
    JobRank m_rank;
    FleetJob *m_job = nullptr;
    const JobBacklog::Step *m_step = nullptr; ///< in the job's backlog

    /// @brief Resources that each of the tasks reserves.
    [[nodiscard]] auto demand() const noexcept -> const Resources &
    {
        return m_job->job().m_steps[m_step->m_step].m_demand;
    }

    /// @brief Key of the placement order: the rank, then the job's id, the occurrence and the step. The smallest key goes first.
    [[nodiscard]] auto sortKey() const noexcept
    {
        return std::tuple(m_rank, std::string_view(m_job->job().m_id), m_step->m_occurrence, m_step->m_step);
    }
};

/// @brief Copy of a group's sort key that stays valid after the group has been destroyed.
struct PlacementPosition {
    JobRank m_rank;
    std::string m_job;
    std::uint32_t m_occurrence = 0;
    std::uint32_t m_step = 0;

    [[nodiscard]] auto sortKey() const noexcept
    {
        return std::tuple(m_rank, std::string_view(m_job), m_occurrence, m_step);
    }
};
}

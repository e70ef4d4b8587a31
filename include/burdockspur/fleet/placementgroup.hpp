#pragma once

#include "burdockspur/fleet/fleetjob.hpp"
#include "burdockspur/fleet/jobrank.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace Burdockspur
{
/// @brief Waiting tasks of one step of an occurrence, which stand together in the order of placement.
struct PlacementGroup {
    JobRank m_rank;
    FleetJob *m_job = nullptr;
    const JobBacklog::Step *m_step = nullptr; ///< in the job's backlog

    /// @brief What each of the tasks reserves.
    [[nodiscard]] auto demand() const noexcept -> const Resources &
    {
        return m_job->job().m_steps[m_step->m_step].m_demand;
    }

    /// @brief Groups of equal rank go by the id of the job, the occurrence and the step.
    [[nodiscard]] auto order() const noexcept
    {
        return std::tuple(m_rank, std::string_view(m_job->job().m_id), m_step->m_occurrence, m_step->m_step);
    }
};

/// @brief Place of a group in the order, which outlives the group.
struct PlacementMark {
    JobRank m_rank;
    std::string m_job;
    std::uint32_t m_occurrence = 0;
    std::uint32_t m_step = 0;

    [[nodiscard]] auto order() const noexcept
    {
        return std::tuple(m_rank, std::string_view(m_job), m_occurrence, m_step);
    }
};
}

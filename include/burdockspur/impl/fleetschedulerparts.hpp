#pragma once

#include "burdockspur/fleet/fleetscheduler.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace Burdockspur
{
/// @brief How a job stands among those that wait.
struct FleetScheduler::JobRank {
    std::uint32_t m_priority = 0;
    bool m_yields = false; ///< work that ends goes first, because it frees its room again
    std::uint8_t m_lateness = 0; ///< 0 can keep its objective, 1 is late, 2 is worth nothing any more
    double m_cost = 0; ///< work that is left for the worth of the job
    TimePoint m_deadline;

    [[nodiscard]] auto operator<=>(const JobRank &) const noexcept = default;
};

/// @brief A task that may start as soon as there is room.
struct FleetScheduler::WaitingTask {
    FleetJob *m_job = nullptr;
    std::uint32_t m_occurrence = 0;
    std::uint32_t m_stepNumber = 0;
    std::uint32_t m_index = 0;
    TaskProgress *m_progress = nullptr;
    const TaskStep *m_step = nullptr;
    const JobQueuePolicy *m_policy = nullptr;

    JobRank m_rank;

    /// Built when it is needed, because a backlog has thousands of tasks of which few start.
    [[nodiscard]] auto id() const -> TaskId
    {
        return {m_job->job().m_id, m_occurrence, m_stepNumber, m_index};
    }

    /// Tasks of one step stand together.
    [[nodiscard]] auto order() const noexcept
    {
        return std::tuple(m_rank, std::string_view(m_job->job().m_id), m_occurrence, m_stepNumber, m_index);
    }
};

/// @brief What follows from a commit once it is stored.
struct FleetScheduler::CommitInFlight {
    struct Start {
        std::string m_worker;
        std::uint64_t m_incarnation = 0;
        std::string m_task;
        RunNumber m_run = 0;
    };
    struct Ack {
        std::string m_worker;
        std::uint64_t m_incarnation = 0;
        std::uint64_t m_end = 0;
    };

    std::uint64_t m_number = 0;
    TimePoint m_sentAt;
    std::vector<std::string> m_jobs; ///< whose progress it holds
    std::vector<std::string> m_deletes;
    std::vector<Start> m_starts;
    std::vector<Ack> m_acks;
};
}

#pragma once

#include "burdockspur/fleet/fleetscheduler.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace Burdockspur
{
/// @brief A task that can be assigned as soon as a worker has free capacity.
struct FleetScheduler::WaitingTask {
    FleetJob *m_job = nullptr;
    std::uint32_t m_occurrence = 0;
    std::uint32_t m_stepNumber = 0;
    std::uint32_t m_index = 0;
    TaskProgress *m_progress = nullptr;
    TimePoint m_waitingSince; ///< see JobBacklog::Task
    const TaskStep *m_step = nullptr;
    const JobQueuePolicy *m_policy = nullptr;
    PlacementTurn m_turn = PlacementTurn::Ranked;
    const TaskRun *m_original = nullptr; ///< run beside which a copy is to run; nullptr for a task without a run

    /// Built on demand, because a backlog has thousands of tasks of which few are assigned.
    [[nodiscard]] auto id() const -> TaskId
    {
        return {m_job->job().m_id, m_occurrence, m_stepNumber, m_index};
    }
};

/// @brief How well a worker with enough free capacity suits a task.
struct FleetScheduler::WorkerFit {
    /// Whether it is trusted, within the guards and in the preferred rack; affinity of images; fit; unused processors.
    using Rank = std::tuple<bool, bool, bool, int, std::int64_t, std::int64_t>;

    std::optional<PlacementGuard> m_guard; ///< guard that excludes the worker unless the task may bypass the guards
    Rank m_rank; ///< the largest is best
};

/// @brief Result of the search for a worker.
struct FleetScheduler::WorkerChoice {
    FleetWorker *m_worker = nullptr; ///< nullptr if no worker was found
    std::optional<PlacementGuard> m_guard; ///< guard that was bypassed for m_worker; empty for none
    PlacementRefusal m_refusal; ///< workers that a guard excludes, whether or not another one was found
};

/// @brief Search for workers for the tasks of one step, which demand the same.
///
/// Each worker is examined once for the step, and again only after it was given a task, because a round does not change the others.
struct FleetScheduler::WorkerSearch {
    /// A worker that may get a task of the step.
    struct Candidate {
        const FreeCapacity *m_capacity = nullptr;
        WorkerFit m_fit;

        /// Of workers that suit equally, the first one in the pool goes first.
        [[nodiscard]] auto isBefore(const Candidate &other) const noexcept -> bool
        {
            return m_fit.m_rank > other.m_fit.m_rank || (m_fit.m_rank == other.m_fit.m_rank && m_capacity < other.m_capacity);
        }
    };

    ImageId m_image = 0;
    std::vector<Candidate> m_candidates; ///< heap, the best one at the front
    PlacementRefusal m_refusal; ///< workers that a guard excludes
};

/// @brief Contents of the commit that is being stored, and its effects once it is stored.
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
    std::vector<std::string> m_jobs; ///< ids of the jobs whose progress the commit contains
    std::vector<std::uint64_t> m_changes; ///< for each of these jobs, number of the first change that the commit stores
    std::vector<std::string> m_deletes; ///< row keys that the commit deletes
    std::vector<Start> m_starts; ///< runs whose start orders may be sent
    std::vector<Ack> m_acks; ///< ends that may be acknowledged
};
}

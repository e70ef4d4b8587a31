#pragma once

#include "burdockspur/fleet/fleetscheduler.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief A task that may start as soon as there is room.
struct FleetScheduler::WaitingTask {
    FleetJob *m_job = nullptr;
    std::uint32_t m_occurrence = 0;
    std::uint32_t m_stepNumber = 0;
    std::uint32_t m_index = 0;
    TaskProgress *m_progress = nullptr;
    const TaskStep *m_step = nullptr;
    const JobQueuePolicy *m_policy = nullptr;

    /// Built when it is needed, because a backlog has thousands of tasks of which few start.
    [[nodiscard]] auto id() const -> TaskId
    {
        return {m_job->job().m_id, m_occurrence, m_stepNumber, m_index};
    }
};

/// @brief What a search for a worker has found.
struct FleetScheduler::Choice {
    FleetWorker *m_worker = nullptr;
    bool m_isSpread = false; ///< a worker with room was left out because it has the most tasks of the step already
    bool m_isStillRunning = false; ///< a worker with room was left out because it still has an earlier run of the task
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
    std::vector<std::uint64_t> m_changes; ///< first change of each of these jobs that it stores
    std::vector<std::string> m_deletes;
    std::vector<Start> m_starts;
    std::vector<Ack> m_acks;
};
}

#pragma once

#include "burdockspur/contract/fleetconfiguration.hpp"
#include "burdockspur/core/clock.hpp"
#include "burdockspur/machine/resources.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Burdockspur
{
/// @brief A group of identical tasks of a job.
struct TaskStep {
    std::uint32_t m_count = 1; ///< number of tasks
    Resources m_demand; ///< resources of each task
    Milliseconds m_estimate{0}; ///< declared estimate of one task's run time
    std::vector<std::uint32_t> m_after; ///< numbers of the earlier steps whose tasks must all be done first
    std::string m_requiredLabel; ///< label that the worker must have; empty for any worker
    std::string m_preferredRack; ///< rack that holds the data; empty for none
    std::string m_image; ///< tasks of the same image behave alike
    std::uint32_t m_maxPerWorker = 0; ///< maximum number of the step's tasks on one worker; 0 for no limit
    std::uint32_t m_maxUnavailable = 0; ///< maximum number of tasks that may be stopped by orders at the same time; serving steps only
    Milliseconds m_tailTarget{0}; ///< upper bound for the tail of the response times; serving steps only, 0 for none
    bool m_savesProgress = false; ///< tasks write checkpoints
    bool m_isGang = false; ///< tasks make progress only while all of them run
    bool m_sameRack = false; ///< tasks run slower when they are spread over several racks
    bool m_isSpeculative = false; ///< copies of a task may run in parallel
    bool m_isServing = false; ///< tasks run until the job is cancelled
    bool m_isFilling = false; ///< no processors are reserved; tasks use what other tasks leave idle

    [[nodiscard]] auto operator==(const TaskStep &) const -> bool = default;
};

/// @brief A job as its caller submitted it: steps of tasks, run once or at set times.
struct TaskJob {
    using WallTime = std::chrono::sys_time<Milliseconds>;

    std::string m_id;
    JobQueuePolicy m_policy; ///< policy of the queue at submission; used after the queue was removed
    std::string m_payload; ///< opaque text for the tasks
    std::vector<TaskStep> m_steps;
    std::uint32_t m_repeats = 0; ///< number of occurrences; 0 for a job that runs once, immediately
    WallTime m_firstDue; ///< due time of occurrence 0
    Milliseconds m_interval{0}; ///< between the due times of two occurrences
    WallTime m_acceptedAt; ///< by the clock of the entry host that accepted it; used only to order waiting work

    [[nodiscard]] auto operator==(const TaskJob &) const -> bool = default;
};

/// Maximum number of tasks of a job that are open at once. The stored state of a job has to fit into one transaction of the platform's store
/// (1 MB), see encodeProgressRows().
inline constexpr std::uint32_t maxOpenTasks = 1'000;

/// @brief Checks a job against the limits that hold in every deployment.
/// @param job the job as decoded
/// @returns a description of the first fault, or an empty text for a valid job
[[nodiscard]] auto validationError(const TaskJob &job) -> std::string;
}

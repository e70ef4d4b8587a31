#include "burdockspur/fleet/heldtasklog.hpp"

#include "burdockspur/fleet/fleetjob.hpp"
#include "burdockspur/operations/log.hpp"

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <vector>

namespace Burdockspur
{
namespace
{
constexpr Milliseconds writeInterval{1'000};
/// Shorter waits are part of normal operation.
constexpr Milliseconds minWait{1'000};
constexpr Milliseconds intervalPerJob{5'000};
constexpr std::size_t maxLines = 10; ///< in each interval
/// A refusal that is older does not tell why the task waits now: better ranked tasks have used up the start orders that may be under way.
constexpr Milliseconds maxRefusalAge{1'000};

[[nodiscard]] auto inMs(Duration duration) -> std::int64_t
{
    return std::chrono::duration_cast<Milliseconds>(duration).count();
}

[[nodiscard]] auto reasonOf(const PlacementRefusal &refusal, TimePoint now) -> std::string_view
{
    const bool isRecent = refusal.m_at != TimePoint{} && now - refusal.m_at <= maxRefusalAge;
    return isRecent ? placementGuardNames[static_cast<std::size_t>(refusal.mainGuard())] : std::string_view("order");
}

auto writeLine(const FleetJob &job, Epoch epoch, TimePoint now) -> void
{
    using enum PlacementGuard;
    const auto &backlog = job.backlog();
    const auto &step = backlog.m_steps.front();
    const auto &refusal = job.m_refusal;
    const bool hasRoom = job.m_reservedRoom && job.m_reservedRoom->m_until > now;
    const auto room = hasRoom ? *job.m_reservedRoom : ReservedRoom{};
    const TaskId task{job.job().m_id, step.m_occurrence, step.m_step, step.m_tasks.front().m_index};
    logEvent(LogLevel::Warning,
             "task_held_back",
             {{"job", task.m_job},
              {"task", task.text()},
              {"tasks", backlog.m_taskCount},
              {"waited_ms", inMs(now - backlog.m_waitingSince)},
              {"idle_ms", backlog.m_idleSince ? inMs(now - *backlog.m_idleSince) : 0},
              {"guard", reasonOf(refusal, now)},
              {"room", refusal.workers(Room)},
              {"reservation", refusal.workers(Reservation)},
              {"unused_cpu", refusal.workers(UnusedCpu)},
              {"headroom", refusal.workers(Headroom)},
              {"trust", refusal.workers(Trust)},
              {"label", refusal.workers(Label)},
              {"step_limit", refusal.workers(StepLimit)},
              {"earlier_run", refusal.workers(EarlierRun)},
              {"unavailable", refusal.workers(Unavailable)},
              {"look_ahead", refusal.workers(LookAhead)},
              {"reserved_worker", room.m_worker},
              {"reserved_in_ms", hasRoom ? inMs(room.m_at - now) : 0},
              {"reserved_left_ms", hasRoom ? inMs(room.m_until - now) : 0},
              {"epoch", epoch}});
}
}

auto HeldTaskLog::write(const std::unordered_set<FleetJob *> &waiting, Epoch epoch, TimePoint now) -> void
{
    if (now - m_writtenAt < writeInterval) {
        return;
    }
    m_writtenAt = now;
    m_idleJobs = 0;
    m_longestIdle = {};
    std::vector<FleetJob *> due;
    for (auto *const job : waiting) {
        const auto idle = job->backlog().m_idleSince ? now - *job->backlog().m_idleSince : Duration::zero();
        m_idleJobs += idle > minWait ? 1 : 0;
        m_longestIdle = std::max(m_longestIdle, idle);
        const bool isLong = now - job->backlog().m_waitingSince > minWait;
        if (isLong && (job->m_heldLoggedAt == TimePoint{} || now - job->m_heldLoggedAt >= intervalPerJob)) {
            due.push_back(job);
        }
    }
    const auto byLastLine = [](const FleetJob *left, const FleetJob *right) {
        return std::pair(left->m_heldLoggedAt, left->backlog().m_waitingSince) < std::pair(right->m_heldLoggedAt, right->backlog().m_waitingSince);
    };
    const auto count = std::min(due.size(), maxLines);
    std::ranges::partial_sort(due, due.begin() + static_cast<std::ptrdiff_t>(count), byLastLine);
    due.resize(count);
    for (auto *const job : due) {
        job->m_heldLoggedAt = now;
        writeLine(*job, epoch, now);
    }
}
}

#include "burdockspur/fleet/stragglers/undisturbedduration.hpp"

#include "burdockspur/fleet/taskrun.hpp"

namespace Burdockspur
{
auto undisturbedDuration(const TaskRun &run, bool isWorkerTrusted, TimePoint now) noexcept -> std::optional<Duration>
{
    const bool isUndisturbed = run.m_isUndisturbed && !run.m_isServing && run.m_unansweredStarts == 0 && run.m_startSentAt != TimePoint{};
    return isUndisturbed && isWorkerTrusted ? std::optional(now - run.m_startSentAt) : std::nullopt;
}
}

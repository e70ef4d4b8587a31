#include "burdockspur/fleet/jobprogress.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace Burdockspur
{
auto phaseName(JobPhase phase) noexcept -> std::string_view
{
    constexpr std::array<std::string_view, 5> names{"queued", "running", "completed", "failed", "cancelled"};
    return names[static_cast<std::size_t>(phase)];
}

auto isFinal(JobPhase phase) noexcept -> bool
{
    return phase == JobPhase::Completed || phase == JobPhase::Failed || phase == JobPhase::Cancelled;
}

auto TaskProgress::nextRun() const noexcept -> RunNumber
{
    return std::max(m_run, m_copy.m_run) + 1;
}

auto TaskProgress::roleOf(RunNumber run) const noexcept -> RunRole
{
    if (m_phase != TaskPhase::Assigned) {
        return RunRole::None;
    }
    if (run == m_run) {
        return RunRole::Original;
    }
    return hasCopy() && run == m_copy.m_run ? RunRole::Copy : RunRole::None;
}

auto TaskProgress::assignCopy(RunNumber run, std::string_view worker, std::uint64_t incarnation) -> void
{
    m_copy = {run, std::string(worker), incarnation};
}

auto TaskProgress::release(RunNumber run) -> void
{
    const auto role = roleOf(run);
    if (role == RunRole::None) {
        return;
    }
    // The number of the copy is kept, so that no later run gets it.
    const auto worker = std::exchange(m_copy.m_worker, {});
    const auto incarnation = std::exchange(m_copy.m_incarnation, 0);
    if (role == RunRole::Copy) {
        return;
    }
    m_phase = worker.empty() ? TaskPhase::Waiting : TaskPhase::Assigned;
    m_run = worker.empty() ? m_run : m_copy.m_run;
    m_worker = worker;
    m_incarnation = incarnation;
}

auto TaskProgress::complete() -> void
{
    m_phase = TaskPhase::Done;
    m_worker.clear();
    m_incarnation = 0;
    m_checkpoint.clear();
    m_copy.m_worker.clear();
    m_copy.m_incarnation = 0;
}
}

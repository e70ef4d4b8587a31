#include "burdockspur/fleet/workerhealth.hpp"

#include <algorithm>
#include <set>

namespace Burdockspur
{
namespace
{
/// A worker is avoided after failures of this many jobs within the window; rare by chance if 5% of the runs on a sound worker fail.
constexpr std::size_t minFailingJobs = 3;
constexpr Milliseconds failureWindow{4'000};
constexpr Milliseconds initialPause{2'000};
constexpr Milliseconds maxPause{16'000};
/// A worker is trusted again after this time without a failure. A success cannot be required, because serving tasks never succeed.
constexpr Milliseconds probationPeriod{5'000};
/// Time between two tasks on probation; on a worker that fails everything, tasks fail at once.
constexpr Milliseconds probationInterval{700};
/// Short, because a new task shows within a second whether the worker is still slow.
constexpr Milliseconds slowPause{3'000};
/// A worker that sheds load usually accepts tasks again within a second.
constexpr Milliseconds refusalPause{700};
}

auto WorkerHealth::recordSuccess() noexcept -> void
{
    m_failures.clear();
    m_probationUntil = {};
    m_pause = Milliseconds{0};
}

auto WorkerHealth::distinctJobs() const -> std::size_t
{
    std::set<std::string_view> jobs;
    for (const auto &[at, job] : m_failures) {
        jobs.insert(job);
    }
    return jobs.size();
}

auto WorkerHealth::recordFailure(std::string_view job, TimePoint now) -> void
{
    std::erase_if(m_failures, [now](const Failure &failure) {
        return now - failure.first > failureWindow;
    });
    m_failures.emplace_back(now, job);
    if (distinctJobs() >= minFailingJobs || now < m_probationUntil) {
        m_pause = std::clamp(m_pause * 2, initialPause, maxPause);
        m_avoidUntil = now + m_pause;
        m_probationUntil = m_avoidUntil + probationPeriod;
        m_failures.clear();
    }
}

auto WorkerHealth::recordRefusal(TimePoint now) noexcept -> void
{
    m_avoidUntil = std::max(m_avoidUntil, now + refusalPause);
}

auto WorkerHealth::recordSlowRuns(TimePoint now) noexcept -> void
{
    m_avoidUntil = std::max(m_avoidUntil, now + slowPause);
}

auto WorkerHealth::isTrusted(TimePoint now) const noexcept -> bool
{
    const bool isOnProbation = now < m_probationUntil;
    return now >= m_avoidUntil && (!isOnProbation || now - m_assignedAt >= probationInterval);
}
}

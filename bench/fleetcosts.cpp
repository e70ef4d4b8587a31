#include "measuredcost.hpp"
#include "promptfleet.hpp"

#include <array>

namespace Burdockspur::Bench
{
namespace
{
constexpr double nanosecondsPerMicrosecond = 1e3;
/// The first deployments of the users have 48 and 66 workers, the grown ones about 490, the target about 1,000.
constexpr std::array<double, 4> workerCounts{66, 200, 490, 1000};
constexpr Milliseconds warmUp{4'000};
constexpr Milliseconds measured{6'000};

[[nodiscard]] auto cpuOfStart(double workers, const PromptLoad &load) -> double
{
    PromptFleet fleet(static_cast<std::size_t>(workers), load);
    fleet.run(warmUp);
    fleet.restartMeasurement();
    fleet.run(measured);
    return fleet.decisionNanoseconds() / static_cast<double>(fleet.starts()) / nanosecondsPerMicrosecond;
}

[[nodiscard]] auto cpuOfStartAtUsualLoad(double workers) -> double
{
    return cpuOfStart(workers, {});
}

/// More filling work than fits, so that tasks wait at every decision.
[[nodiscard]] auto cpuOfStartWithBacklog(double workers) -> double
{
    PromptLoad load;
    load.m_fillJobs *= 2;
    return cpuOfStart(workers, load);
}

constexpr std::array<MeasuredCost, 2> costs{{
    {"decisions of the owner, for each task started", "us", "workers", workerCounts, cpuOfStartAtUsualLoad},
    {"decisions of the owner with a backlog of filling tasks, for each task started", "us", "workers", workerCounts, cpuOfStartWithBacklog},
}};
}

auto fleetCosts() noexcept -> std::span<const MeasuredCost>
{
    return costs;
}
}

#include "fleetsimulation.hpp"
#include "measuredcost.hpp"

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

[[nodiscard]] auto cpuOfStart(double workers, const FleetLoad &load) -> double
{
    FleetSimulation fleet(static_cast<std::size_t>(workers), load);
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
    FleetLoad load;
    load.m_fillJobs *= 2;
    return cpuOfStart(workers, load);
}

/// Waiting tasks on a grown deployment: few, as after a short overload, and as after an owner that did not keep up.
constexpr std::array<double, 3> backlogSizes{500, 5'000, 20'000};
constexpr std::size_t grownWorkers = 490;
constexpr Milliseconds backlogWarmUp{2'000};
constexpr Milliseconds backlogMeasured{1'000};

/// The users' grown deployment with full workers while a given number of tasks waits.
[[nodiscard]] auto grownFleet(double waiting) -> FleetSimulation
{
    FleetLoad load;
    load.m_shortTasks = 10;
    load.m_shortCpu = 2'800;
    load.m_fillTasks = 20;
    load.m_servingTasks = 14;
    load.m_images = 18;
    load.m_demandSpread = 0.5;
    load.m_spreadEvery = 7;
    load.m_shortJobs = 0;
    load.m_fillJobs = 0;
    load.m_waitingTasks = static_cast<std::size_t>(waiting);
    return FleetSimulation(grownWorkers, load);
}

[[nodiscard]] auto cpuOfRound(double waiting) -> double
{
    auto fleet = grownFleet(waiting);
    fleet.run(backlogWarmUp);
    fleet.restartMeasurement();
    fleet.run(backlogMeasured);
    return fleet.decisionNanoseconds() / static_cast<double>(fleet.rounds()) / nanosecondsPerMicrosecond;
}

[[nodiscard]] auto cpuOfStartWhileTasksWait(double waiting) -> double
{
    auto fleet = grownFleet(waiting);
    fleet.run(backlogWarmUp);
    fleet.restartMeasurement();
    fleet.run(backlogMeasured);
    return fleet.decisionNanoseconds() / static_cast<double>(fleet.starts()) / nanosecondsPerMicrosecond;
}

[[nodiscard]] auto startsWhileTasksWait(double waiting) -> double
{
    auto fleet = grownFleet(waiting);
    fleet.run(backlogWarmUp);
    fleet.restartMeasurement();
    fleet.run(backlogMeasured);
    return static_cast<double>(fleet.starts());
}

constexpr std::array<MeasuredCost, 5> costs{{
    {"decisions of the owner, for each task started", "us", "workers", workerCounts, cpuOfStartAtUsualLoad},
    {"decisions of the owner with a backlog of filling tasks, for each task started", "us", "workers", workerCounts, cpuOfStartWithBacklog},
    {"round of the owner of 490 full workers", "us", "waiting tasks", backlogSizes, cpuOfRound},
    {"round of the owner of 490 full workers, for each task started", "us", "waiting tasks", backlogSizes, cpuOfStartWhileTasksWait},
    {"round of the owner of 490 full workers, starts in a second", "starts", "waiting tasks", backlogSizes, startsWhileTasksWait},
}};
}

auto fleetCosts() noexcept -> std::span<const MeasuredCost>
{
    return costs;
}
}

#include "fleetloadsimulation.hpp"
#include "measuredcost.hpp"

#include <array>

namespace Burdockspur::Bench
{
namespace
{
constexpr double nanosecondsPerMicrosecond = 1e3;
/// The users' first deployments have 48 and 66 workers and their later, larger ones about 490; the target is about 1,000.
constexpr std::array<double, 4> workerCounts{66, 200, 490, 1000};
constexpr Milliseconds warmUpTime{4'000};
constexpr Milliseconds measurementTime{6'000};

[[nodiscard]] auto cpuOfStart(double workers, const FleetLoad &load) -> double
{
    FleetLoadSimulation fleet(static_cast<std::size_t>(workers), load);
    fleet.run(warmUpTime);
    fleet.resetMeasurement();
    fleet.run(measurementTime);
    return fleet.decisionNanoseconds() / static_cast<double>(fleet.starts()) / nanosecondsPerMicrosecond;
}

[[nodiscard]] auto cpuOfStartAtDefaultLoad(double workers) -> double
{
    return cpuOfStart(workers, {});
}

/// @brief Cost of a start when more filling tasks are submitted than the workers can run, so that tasks wait at every decision.
[[nodiscard]] auto cpuOfStartWithBacklog(double workers) -> double
{
    FleetLoad load;
    load.m_fillingJobsPerSecond *= 2;
    return cpuOfStart(workers, load);
}

/// Waiting tasks of a deployment with 490 workers: a few, as many as after a short overload, and as many as after an owner that was too slow for its load.
constexpr std::array<double, 3> backlogSizes{500, 5'000, 20'000};
constexpr std::size_t grownWorkers = 490;
constexpr Milliseconds backlogWarmUp{2'000};
constexpr Milliseconds backlogMeasured{1'000};

/// @brief Creates a simulation of the users' larger deployment, whose workers are full while a given number of tasks waits.
[[nodiscard]] auto grownFleet(double waiting) -> FleetLoadSimulation
{
    FleetLoad load;
    load.m_shortTasksPerStep = 10;
    load.m_shortCpuMillis = 2'800;
    load.m_fillingTasksPerStep = 20;
    load.m_servingTasksPerJob = 14;
    load.m_imagesPerKind = 18;
    load.m_demandVariation = 0.5;
    load.m_spreadPeriod = 7;
    load.m_shortJobsPerSecond = 0;
    load.m_fillingJobsPerSecond = 0;
    load.m_minWaitingTasks = static_cast<std::size_t>(waiting);
    return FleetLoadSimulation(grownWorkers, load);
}

[[nodiscard]] auto cpuOfRound(double waiting) -> double
{
    auto fleet = grownFleet(waiting);
    fleet.run(backlogWarmUp);
    fleet.resetMeasurement();
    fleet.run(backlogMeasured);
    return fleet.decisionNanoseconds() / static_cast<double>(fleet.rounds()) / nanosecondsPerMicrosecond;
}

[[nodiscard]] auto cpuOfStartWhileTasksWait(double waiting) -> double
{
    auto fleet = grownFleet(waiting);
    fleet.run(backlogWarmUp);
    fleet.resetMeasurement();
    fleet.run(backlogMeasured);
    return fleet.decisionNanoseconds() / static_cast<double>(fleet.starts()) / nanosecondsPerMicrosecond;
}

[[nodiscard]] auto startsWhileTasksWait(double waiting) -> double
{
    auto fleet = grownFleet(waiting);
    fleet.run(backlogWarmUp);
    fleet.resetMeasurement();
    fleet.run(backlogMeasured);
    return static_cast<double>(fleet.starts());
}

constexpr std::array<MeasuredCost, 5> costs{{
    {"decisions of the owner, for each task started", "us", "workers", workerCounts, cpuOfStartAtDefaultLoad},
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

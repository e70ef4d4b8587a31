#include "burdockspur/shard/jobbatchcodec.hpp"
#include "measuredcost.hpp"
#include "resourceusage.hpp"
#include "shardsimulation.hpp"

#include <array>

namespace Burdockspur::Bench
{
namespace
{
constexpr double bytesPerKilobyte = 1e3;
constexpr double nanosecondsPerMicrosecond = 1e3;
constexpr double nanosecondsPerMillisecond = 1e6;
constexpr std::array<double, 4> jobCounts{1000, 2000, 4000, 8000};
constexpr std::array<double, 4> taskCounts{5, 10, 20, 40};
constexpr std::array<double, 5> shardWorkers{8, 16, 32, 64, 128};
constexpr std::array<double, 4> rowCounts{1, 10, 50, 200};
constexpr std::array<double, 4> backlogs{250, 500, 1000, 2000};

[[nodiscard]] auto memoryOfJobs(double size) -> double
{
    constexpr std::size_t workers = 32;
    ShardSimulation fleet(workers);
    const std::size_t constructed = heapBytes();
    fleet.recoverRunningJobs(static_cast<std::size_t>(size));
    // The simulated workers keep a report for each job; an equal vector measures how much memory that takes.
    std::vector<AttemptReport> reports;
    const std::size_t recovered = heapBytes();
    reports.reserve(static_cast<std::size_t>(size));
    for (std::size_t i = 0; i < static_cast<std::size_t>(size); ++i) {
        reports.push_back({.m_attempt = {.m_job = std::string(33, 'j'), .m_number = 1},
                           .m_state = AttemptState::Running,
                           .m_progressPercent = 0,
                           .m_checkpoint = {},
                           .m_result = {},
                           .m_usage = {}});
    }
    const std::size_t modelBytes = heapBytes() - recovered;
    return (static_cast<double>(recovered) - static_cast<double>(constructed) - static_cast<double>(modelBytes)) / bytesPerKilobyte;
}

[[nodiscard]] auto cpuOfRenewal(double size) -> double
{
    constexpr std::size_t workers = 32;
    constexpr int ticks = 2'000;
    ShardSimulation fleet(workers);
    fleet.recoverRunningJobs(static_cast<std::size_t>(size) * workers);
    const std::uint64_t renewalsBefore = fleet.renewals();
    const double begin = threadCpuNanoseconds();
    for (int i = 0; i < ticks; ++i) {
        fleet.runTick();
    }
    return (threadCpuNanoseconds() - begin) / static_cast<double>(fleet.renewals() - renewalsBefore) / nanosecondsPerMicrosecond;
}

[[nodiscard]] auto cpuOfStart(double size) -> double
{
    constexpr int ticks = 200;
    constexpr std::size_t startsPerTick = 2;
    ShardSimulation fleet(static_cast<std::size_t>(size));
    fleet.recoverRunningJobs(0);
    fleet.completeStarted();
    const double begin = threadCpuNanoseconds();
    for (int i = 0; i < ticks; ++i) {
        fleet.submit(startsPerTick);
        fleet.runTick();
    }
    return (threadCpuNanoseconds() - begin) / static_cast<double>(fleet.starts()) / nanosecondsPerMicrosecond;
}

[[nodiscard]] auto cpuOfIdleTick(double size) -> double
{
    constexpr std::size_t workers = 32;
    constexpr int ticks = 90;
    ShardSimulation fleet(workers);
    fleet.recoverRunningJobs(static_cast<std::size_t>(size));
    const double begin = threadCpuNanoseconds();
    for (int i = 0; i < ticks; ++i) {
        fleet.runTick();
    }
    return (threadCpuNanoseconds() - begin) / ticks / nanosecondsPerMicrosecond;
}

[[nodiscard]] auto bytesOfRow(double size) -> double
{
    std::vector<JobRecord> records(static_cast<std::size_t>(size));
    for (std::size_t i = 0; i < records.size(); ++i) {
        records[i].m_job.m_id = jobIdOf("dispatch", std::to_string(i));
        records[i].m_job.m_worker = "worker-123";
        records[i].m_job.m_spec.m_caller = "dispatch";
        records[i].m_job.m_spec.m_class = "reconciliation";
        records[i].m_job.m_spec.m_team = "stock";
        records[i].m_job.m_spec.m_payload = "filling-room-12";
    }
    return static_cast<double>(encodeJobBatch("host-1-0123456789abcdef", records).size());
}

[[nodiscard]] auto timeOfRecovery(double size) -> double
{
    constexpr std::size_t workers = 32;
    ShardSimulation fleet(workers);
    const double begin = threadCpuNanoseconds();
    fleet.recoverRunningJobs(static_cast<std::size_t>(size));
    return (threadCpuNanoseconds() - begin) / nanosecondsPerMillisecond;
}

constexpr std::array<MeasuredCost, 6> costTable{{
    {"shard: memory of running jobs", "KB", "jobs", jobCounts, &memoryOfJobs},
    {"shard: CPU of a lease renewal and its report", "us", "tasks on the worker", taskCounts, &cpuOfRenewal},
    {"shard: CPU of a start, from submission to completion", "us", "workers of the shard", shardWorkers, &cpuOfStart},
    {"shard: CPU of a tick, renewals included", "us", "running jobs", backlogs, &cpuOfIdleTick},
    {"shard: journal row", "bytes", "changed jobs", rowCounts, &bytesOfRow},
    {"shard: CPU of recovery", "ms", "jobs", jobCounts, &timeOfRecovery},
}};
}

auto shardCosts() noexcept -> std::span<const MeasuredCost>
{
    return costTable;
}
}

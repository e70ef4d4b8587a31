#include "burdockspur/core/boundedring.hpp"
#include "endpointlist.hpp"
#include "loadduty.hpp"

#include <QCoreApplication>

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(entry, "", "entry daemons, ADDRESS:PORT separated by commas");
DEFINE_string(worker, "", "workers to call directly, ADDRESS:PORT separated by commas");
DEFINE_string(service, "check", "service to call");
DEFINE_double(rate, 1000, "requests per second");
DEFINE_uint32(callers, 64, "callers, each with its own connections");
DEFINE_uint32(seconds, 5, "duration of each phase, in seconds");
DEFINE_uint32(rounds, 3, "number of rounds, each with a direct and a forwarded phase");
DEFINE_uint64(seed, 1, "seed of the request schedule");
DEFINE_bool(find_limit, false, "raise the rate by 25% until p99 exceeds 10 ms");

namespace
{
using namespace Burdockspur;
using namespace Burdockspur::Bench;

constexpr double limitP99Ms = 10.0;
constexpr double rateStep = 1.25;

/// @brief Runs one phase to its end.
/// @returns its result, or an empty one when it does not end within a minute after its duration
[[nodiscard]] auto runPhase(const LoadPlan &plan) -> LoadResult
{
    BoundedRing<LoadResult> results(1);
    LoadDuty duty(plan, results);
    duty.start();
    std::vector<LoadResult> taken;
    results.takeUntil(Clock::now() + plan.m_duration + std::chrono::minutes(1), taken);
    duty.stop();
    return taken.empty() ? LoadResult{} : std::move(taken.front());
}

auto addResult(LoadResult &sum, const LoadResult &part) -> void
{
    sum.m_latency.merge(part.m_latency);
    sum.m_sendDelay.merge(part.m_sendDelay);
    sum.m_sent += part.m_sent;
    sum.m_answered += part.m_answered;
    sum.m_refused += part.m_refused;
    sum.m_lost += part.m_lost;
    sum.m_different += part.m_different;
}

auto printHeader() -> void
{
    std::cout << "| phase | rate/s | sent | answered | refused | lost | different | p50 ms | p99 ms | p99.9 ms |\n"
              << "|---|---|---|---|---|---|---|---|---|---|\n";
}

auto printRow(std::string_view name, double rate, const LoadResult &result) -> void
{
    std::cout << "| " << name << " | " << rate << " | " << result.m_sent << " | " << result.m_answered << " | " << result.m_refused << " | " << result.m_lost
              << " | " << result.m_different << " | " << result.m_latency.quantileMs(0.5) << " | " << result.m_latency.quantileMs(0.99) << " | "
              << result.m_latency.quantileMs(0.999) << " |" << std::endl;
}

[[nodiscard]] auto isClean(const LoadResult &result) -> bool
{
    return result.m_sent > 0 && result.m_answered == result.m_sent;
}

/// @brief Compares direct with forwarded calls.
///
/// The phases alternate, so that changes in the load of the machine affect both alike.
[[nodiscard]] auto compare(LoadPlan direct, LoadPlan forwarded) -> int
{
    LoadResult directSum;
    LoadResult forwardedSum;
    for (std::uint32_t round = 0; round < FLAGS_rounds; ++round) {
        direct.m_seed = forwarded.m_seed = FLAGS_seed + round;
        addResult(directSum, runPhase(direct));
        addResult(forwardedSum, runPhase(forwarded));
    }
    printHeader();
    printRow(direct.m_name, direct.m_requestsPerSecond, directSum);
    printRow(forwarded.m_name, forwarded.m_requestsPerSecond, forwardedSum);
    std::cout << "added p50 ms: " << forwardedSum.m_latency.quantileMs(0.5) - directSum.m_latency.quantileMs(0.5)
              << "\nadded p99 ms: " << forwardedSum.m_latency.quantileMs(0.99) - directSum.m_latency.quantileMs(0.99)
              << "\nsend delay p99 ms: " << forwardedSum.m_sendDelay.quantileMs(0.99) << std::endl;
    return isClean(directSum) && isClean(forwardedSum) ? 0 : 1;
}

/// @brief Raises the rate until p99 exceeds the limit or a request is not answered.
[[nodiscard]] auto findLimit(LoadPlan plan) -> int
{
    double highestCleanRate = 0.0;
    printHeader();
    while (true) {
        const LoadResult result = runPhase(plan);
        printRow(plan.m_name, plan.m_requestsPerSecond, result);
        if (!isClean(result) || result.m_latency.quantileMs(0.99) > limitP99Ms) {
            break;
        }
        highestCleanRate = plan.m_requestsPerSecond;
        plan.m_requestsPerSecond *= rateStep;
    }
    std::cout << "highest rate with p99 under " << limitP99Ms << " ms and every request answered: " << highestCleanRate << " requests/s" << std::endl;
    return highestCleanRate > 0 ? 0 : 1;
}
}

auto main(int argc, char **argv) -> int
{
    gflags::SetUsageMessage("measures latency through entry daemons against calling workers directly");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    // Qt event loops in other threads need an application object.
    const QCoreApplication application(argc, argv);
    const auto entries = parseEndpoints(FLAGS_entry);
    const auto workers = parseEndpoints(FLAGS_worker);
    if (!entries || (!workers && !FLAGS_find_limit) || FLAGS_rate <= 0 || FLAGS_callers == 0) {
        std::cerr << "expected --entry and --worker as ADDRESS:PORT,..., a positive --rate and --callers" << std::endl;
        return 2;
    }
    LoadPlan forwarded{.m_name = "through entry",
                       .m_servers = *entries,
                       .m_service = FLAGS_service,
                       .m_requestsPerSecond = FLAGS_rate,
                       .m_callers = FLAGS_callers,
                       .m_duration = std::chrono::seconds(FLAGS_seconds),
                       .m_seed = FLAGS_seed};
    if (FLAGS_find_limit) {
        return findLimit(std::move(forwarded));
    }
    LoadPlan direct = forwarded;
    direct.m_name = "direct";
    direct.m_servers = *workers;
    return compare(std::move(direct), std::move(forwarded));
}

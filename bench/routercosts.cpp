#include "measuredcost.hpp"

#include "benchmarkhosts.hpp"
#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/host/requestrouter.hpp"
#include "resourceusage.hpp"

#include <array>

namespace Burdockspur::Bench
{
namespace
{
constexpr std::size_t bodyBytes = 128;
constexpr double bytesPerKilobyte = 1e3;
constexpr double nanosecondsPerMicrosecond = 1e3;
constexpr int requestsMeasured = 20'000;
constexpr std::array<double, 5> workerCounts{65, 125, 250, 500, 1000};
constexpr std::array<double, 4> requestCounts{500, 1000, 1500, 2000};

[[nodiscard]] auto requestOf(std::uint64_t number, TimePoint now) -> ServiceRequest
{
    ServiceRequest request;
    request.m_id = hexOf(number);
    request.m_service = "check";
    request.m_caller = "caller-" + std::to_string(number % 64);
    request.m_deadline = now + std::chrono::seconds(5);
    request.m_body.assign(bodyBytes, '.');
    return request;
}

/// @brief Replies to every forwarded request and clears the commands.
auto answerForwards(RequestRouter &router, TimePoint now, RandomSource &random, std::vector<RouterCommand> &commands) -> void
{
    std::vector<RouterCommand> answers;
    for (RouterCommand &command : commands) {
        if (auto *const forward = std::get_if<ForwardOrder>(&command); forward != nullptr) {
            TargetReply reply{.m_dispatch = forward->m_dispatch,
                              .m_status = TargetReply::Status::Answered,
                              .m_body = std::move(forward->m_body),
                              .m_error = {},
                              .m_incarnation = {}};
            router.handle(TargetReplied{std::move(reply)}, now, random, answers);
        }
    }
    commands.clear();
}

[[nodiscard]] auto cpuOfRequest(double size) -> double
{
    RandomSource random(1);
    const TimePoint now{std::chrono::hours(1)};
    std::vector<RouterCommand> commands;
    RequestRouter router(RouterLimits{}, "zone-0");
    router.handle(HostsChanged{makeBenchmarkHosts(static_cast<std::size_t>(size))}, now, random, commands);
    const double begin = threadCpuNanoseconds();
    for (int i = 0; i < requestsMeasured; ++i) {
        const auto number = static_cast<std::uint64_t>(i);
        router.handle(RequestArrived{number, requestOf(number, now)}, now, random, commands);
        answerForwards(router, now, random, commands);
    }
    return (threadCpuNanoseconds() - begin) / requestsMeasured / nanosecondsPerMicrosecond;
}

[[nodiscard]] auto memoryOfWorkers(double size) -> double
{
    RandomSource random(1);
    std::vector<RouterCommand> commands;
    const std::size_t before = heapBytes();
    RequestRouter router(RouterLimits{}, "zone-0");
    router.handle(HostsChanged{makeBenchmarkHosts(static_cast<std::size_t>(size))}, TimePoint{std::chrono::hours(1)}, random, commands);
    return static_cast<double>(heapBytes() - before) / bytesPerKilobyte;
}

[[nodiscard]] auto memoryOfRequests(double size) -> double
{
    constexpr std::size_t workers = 1000;
    RandomSource random(1);
    const TimePoint now{std::chrono::hours(1)};
    RequestRouter router(RouterLimits{}, "zone-0");
    {
        std::vector<RouterCommand> commands;
        router.handle(HostsChanged{makeBenchmarkHosts(workers)}, now, random, commands);
    }
    const std::size_t before = heapBytes();
    for (std::uint64_t number = 0; number < static_cast<std::uint64_t>(size); ++number) {
        std::vector<RouterCommand> commands;
        router.handle(RequestArrived{number, requestOf(number, now)}, now, random, commands);
    }
    return static_cast<double>(heapBytes() - before) / bytesPerKilobyte;
}

constexpr std::array<MeasuredCost, 3> costTable{{
    {"router: CPU of a request", "us", "workers", workerCounts, &cpuOfRequest},
    {"router: memory for workers", "KB", "workers", workerCounts, &memoryOfWorkers},
    {"router: memory for requests in progress", "KB", "requests", requestCounts, &memoryOfRequests},
}};
}

auto routerCosts() noexcept -> std::span<const MeasuredCost>
{
    return costTable;
}
}

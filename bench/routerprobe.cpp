#include "routerprobe.hpp"

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/host/requestrouter.hpp"
#include "fleet.hpp"
#include "resourceusage.hpp"

namespace Burdockspur::Bench
{
namespace
{
constexpr std::size_t bodyBytes = 128;
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

/// @brief Answers every forward at once.
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
}

auto RouterCpuProbe::name() const noexcept -> std::string_view
{
    return "router: CPU of a request";
}

auto RouterCpuProbe::unit() const noexcept -> std::string_view
{
    return "us";
}

auto RouterCpuProbe::sizeName() const noexcept -> std::string_view
{
    return "workers";
}

auto RouterCpuProbe::sizes() const noexcept -> std::span<const double>
{
    return workerCounts;
}

auto RouterCpuProbe::measure(double size) -> double
{
    constexpr double nanosecondsPerMicrosecond = 1e3;
    RandomSource random(1);
    const TimePoint now{std::chrono::hours(1)};
    std::vector<RouterCommand> commands;
    RequestRouter router(RouterLimits{}, "zone-0");
    router.handle(HostsChanged{fleetOf(static_cast<std::size_t>(size))}, now, random, commands);
    const double begin = threadCpuNanoseconds();
    for (int i = 0; i < requestsMeasured; ++i) {
        const auto number = static_cast<std::uint64_t>(i);
        router.handle(RequestArrived{number, requestOf(number, now)}, now, random, commands);
        answerForwards(router, now, random, commands);
    }
    return (threadCpuNanoseconds() - begin) / requestsMeasured / nanosecondsPerMicrosecond;
}

auto RouterWorkerMemoryProbe::name() const noexcept -> std::string_view
{
    return "router: memory for workers";
}

auto RouterWorkerMemoryProbe::unit() const noexcept -> std::string_view
{
    return "KB";
}

auto RouterWorkerMemoryProbe::sizeName() const noexcept -> std::string_view
{
    return "workers";
}

auto RouterWorkerMemoryProbe::sizes() const noexcept -> std::span<const double>
{
    return workerCounts;
}

auto RouterWorkerMemoryProbe::measure(double size) -> double
{
    constexpr double bytesPerKilobyte = 1e3;
    RandomSource random(1);
    std::vector<RouterCommand> commands;
    const std::size_t before = heapBytes();
    RequestRouter router(RouterLimits{}, "zone-0");
    router.handle(HostsChanged{fleetOf(static_cast<std::size_t>(size))}, TimePoint{std::chrono::hours(1)}, random, commands);
    return static_cast<double>(heapBytes() - before) / bytesPerKilobyte;
}

auto RouterRequestMemoryProbe::name() const noexcept -> std::string_view
{
    return "router: memory for requests in progress";
}

auto RouterRequestMemoryProbe::unit() const noexcept -> std::string_view
{
    return "KB";
}

auto RouterRequestMemoryProbe::sizeName() const noexcept -> std::string_view
{
    return "requests";
}

auto RouterRequestMemoryProbe::sizes() const noexcept -> std::span<const double>
{
    return requestCounts;
}

auto RouterRequestMemoryProbe::measure(double size) -> double
{
    constexpr std::size_t workers = 1000;
    constexpr double bytesPerKilobyte = 1e3;
    RandomSource random(1);
    const TimePoint now{std::chrono::hours(1)};
    RequestRouter router(RouterLimits{}, "zone-0");
    {
        std::vector<RouterCommand> commands;
        router.handle(HostsChanged{fleetOf(workers)}, now, random, commands);
    }
    const std::size_t before = heapBytes();
    for (std::uint64_t number = 0; number < static_cast<std::uint64_t>(size); ++number) {
        std::vector<RouterCommand> commands;
        router.handle(RequestArrived{number, requestOf(number, now)}, now, random, commands);
    }
    return static_cast<double>(heapBytes() - before) / bytesPerKilobyte;
}
}

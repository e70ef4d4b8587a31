#include "worlds.hpp"

#include "claimworld.hpp"
#include "faultmatrix/faulttable.hpp"
#include "requestworld.hpp"
#include "shardfaults.hpp"

#include <stdexcept>

namespace Burdockspur::Testing
{
namespace
{
constexpr int generatorSize = 100; // largest size that RapidCheck uses by default

/// @brief Runs a world and returns its counts, even if it throws because of a violation.
template<typename World>
[[nodiscard]] auto runAndCount(World &world, auto &&run) -> WorldRun
{
    WorldRun result;
    try {
        run(world);
    } catch (const std::runtime_error &violation) {
        result.m_violations.emplace_back(violation.what());
    }
    result.m_steps = world.m_steps;
    result.m_injectedFaults = world.m_injectedFaults;
    return result;
}
}

auto runShardWorld(std::uint64_t seed, const Guards &guards) -> WorldRun
{
    constexpr std::uint64_t lossLimit = 10;
    constexpr int jobs = 40;
    const auto faults = rc::gen::container<std::vector<ShardWorld::Fault>>(anyShardFault())(rc::Random(seed), generatorSize).value();
    ShardWorld world(seed, static_cast<std::uint32_t>(seed % lossLimit), guards);
    return runAndCount(world, [&](ShardWorld &running) {
        running.run(jobs, faults);
    });
}

auto runRequestWorld(std::uint64_t seed, const Guards &guards) -> WorldRun
{
    const auto scenario = anyScenario()(rc::Random(seed), generatorSize).value();
    RequestWorld world(scenario, guards);
    return runAndCount(world, [](RequestWorld &running) {
        running.run();
        running.check();
    });
}

auto runFaultPair(std::uint64_t seed, const Guards &guards) -> WorldRun
{
    using namespace FaultMatrix;
    RandomSource random(seed);
    const auto &first = faultRows[random.below(faultRows.size())];
    const auto &second = faultRows[random.below(faultRows.size())];
    const auto step = stepColumns[random.below(stepColumns.size())].m_step;
    FaultWorld world(seed, guards);
    world.arm(step, first.m_injector, 0);
    world.arm(step, second.m_injector, static_cast<int>(random.below(2)));
    world.run(step);
    WorldRun result;
    result.m_steps = world.steps();
    result.m_injectedFaults = static_cast<std::size_t>(world.injectedFaults());
    for (const auto &violation : world.violations()) {
        result.m_violations.push_back(std::string(first.m_name) + "/" + std::string(stepName(step)) + "/" + std::string(second.m_name) + ": " + violation);
    }
    return result;
}

auto runClaimWorld(std::uint64_t seed, const Guards &guards) -> WorldRun
{
    ClaimWorld world(seed, guards);
    return runAndCount(world, [](ClaimWorld &running) {
        running.run();
    });
}
}

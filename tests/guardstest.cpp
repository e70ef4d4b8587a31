#include "worlds.hpp"

#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/operations/configurationwatcher.hpp"
#include "linktesting.hpp"
#include "scriptedtablestore.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <ranges>

using namespace Burdockspur;
using namespace Burdockspur::Testing;

namespace
{
using Guard = bool Guards::*;
using RunFunction = WorldRun (*)(std::uint64_t, const Guards &);

[[nodiscard]] auto without(Guard guard) -> Guards
{
    Guards guards;
    guards.*guard = false;
    return guards;
}

/// @brief Checks that a run reports a violation without the guard, and none with it.
auto expectGuards(Guard guard, RunFunction run, std::uint64_t seed, std::string_view violation) -> void
{
    const auto found = run(seed, without(guard)).m_violations;
    const bool isReported = std::ranges::any_of(found, [&](const std::string &text) {
        return text.contains(violation);
    });
    EXPECT_TRUE(isReported) << "without the guard, seed " << seed << " does not report: " << violation;
    const auto clean = run(seed, {}).m_violations;
    EXPECT_TRUE(clean.empty()) << "with all guards, seed " << seed << ": " << clean.front();
}

/// @brief Checks that a run aborts at an invariant without the guard, and reports no violation with it.
auto expectInvariant(Guard guard, RunFunction run, std::uint64_t seed, const std::string &invariant) -> void
{
    EXPECT_DEATH(static_cast<void>(run(seed, without(guard))), "event=invariant_broken name=" + invariant);
    const auto clean = run(seed, {}).m_violations;
    EXPECT_TRUE(clean.empty()) << "with all guards, seed " << seed << ": " << clean.front();
}
}

// Guards against an owner that continues after a takeover: its answers and starts would be missing in the journal.
TEST(GuardsTest, EpochCheckKeepsAFormerOwnerFromActing)
{
    expectGuards(&Guards::m_epochCheck, &runShardWorld, 271, "j16 was lost");
    expectGuards(&Guards::m_epochCheck, &runShardWorld, 815, "j12 was lost");
}

// Guards against starting a second attempt while the first one may still run.
TEST(GuardsTest, TombstoneWaitKeepsAttemptsApart)
{
    expectGuards(&Guards::m_tombstoneWait, &runShardWorld, 9, "j36 runs in two places");
    expectGuards(&Guards::m_tombstoneWait, &runShardWorld, 34, "j19 runs in two places");
}

// Guards against starting an attempt before its assignment is durable, so that a takeover would miss the start.
TEST(GuardsTest, WriteAheadKeepsStartsBehindTheJournal)
{
    expectInvariant(&Guards::m_writeAhead, &runShardWorld, 1, "start_after_durable_assignment");
    expectInvariant(&Guards::m_writeAhead, &runFaultPair, 1, "start_after_durable_assignment");
}

// Guards against a scheduler that, after a lost answer, mistakes the row of another scheduler for its own.
TEST(GuardsTest, OperationIdIdentifiesTheOwnWrite)
{
    expectGuards(&Guards::m_operationId, &runClaimWorld, 2, "epoch 2 was acquired by");
    expectGuards(&Guards::m_operationId, &runShardWorld, 155, "j27 was lost");
}

// Guards against an entry host that sends a worker more requests than it has slots.
TEST(GuardsTest, SlotBoundKeepsRequestsWithinTheWorkersSlots)
{
    expectInvariant(&Guards::m_slotBound, &runRequestWorld, 1, "target_slots");
}

// Guards against trusting a restarted worker about a request that its previous process may have run.
TEST(GuardsTest, IncarnationCheckRejectsAnswersOfARestartedWorker)
{
    expectGuards(&Guards::m_incarnationCheck, &runRequestWorld, 205, "a non-idempotent request ran twice");
    expectGuards(&Guards::m_incarnationCheck, &runRequestWorld, 85, "a refused request ran");
}

// Guards against a second entry host that sends the same key after its worker restarted, or to another worker.
TEST(GuardsTest, KeyMapKeepsAKeyAtOneEntryHost)
{
    expectGuards(&Guards::m_keyMap, &runRequestWorld, 111, "a non-idempotent request ran twice");
}

// Guards against a late or stale read of the table that puts an earlier preset in force again.
TEST(GuardsTest, VersionFloorKeepsTheConfigurationFromGoingBack)
{
    constexpr std::uint64_t seed = 1;
    constexpr int readCount = 200;
    requireApplication();
    // Each read returns one of the latest versions at random, as lagging replicas and late answers do.
    const auto timesBack = [](const Guards &guards) {
        RandomSource random(seed);
        ScriptedTableStore store;
        std::vector<ConfigVersion> delivered;
        ConfigurationWatcher watcher(
            store,
            {.m_pollInterval = Milliseconds(0), .m_readBackAttempts = 1, .m_readBackPause = Milliseconds(0), .m_seed = seed, .m_guards = guards},
            [&](const Configuration &configuration) {
                delivered.push_back(configuration.m_version);
            });
        store.put("config", R"({"shards": 4, "preset_in_force": "a", "presets": [{"name": "a"}]})");
        watcher.start();
        ConfigVersion latest = 1;
        while (store.m_reads < readCount) {
            const int reads = store.m_reads;
            latest += random.below(2);
            store.m_rows["config"].m_version = latest - std::min<ConfigVersion>(latest - 1, random.below(3));
            waitUntil([&] {
                return store.m_reads > reads;
            });
        }
        EXPECT_GT(delivered.size(), 10U);
        return std::ranges::count(std::views::iota(std::size_t{1}, delivered.size()), true, [&](std::size_t i) {
            return delivered[i] < delivered[i - 1];
        });
    };
    EXPECT_GT(timesBack(without(&Guards::m_versionFloor)), 0);
    EXPECT_EQ(timesBack({}), 0);
}

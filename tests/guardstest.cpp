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
using RunMember = WorldRun (*)(std::uint64_t, const Guards &);

[[nodiscard]] auto without(Guard guard) -> Guards
{
    Guards guards;
    guards.*guard = false;
    return guards;
}

/// @brief Requires that a run breaks a guarantee without the guard, and that the same run is clean with it.
auto expectGuards(Guard guard, RunMember run, std::uint64_t seed, std::string_view violation) -> void
{
    const auto found = run(seed, without(guard)).m_violations;
    const bool isReported = std::ranges::any_of(found, [&](const std::string &text) {
        return text.contains(violation);
    });
    EXPECT_TRUE(isReported) << "without the guard, seed " << seed << " does not report: " << violation;
    const auto clean = run(seed, {}).m_violations;
    EXPECT_TRUE(clean.empty()) << "with all guards, seed " << seed << ": " << clean.front();
}

/// @brief Requires that the program ends itself at an invariant without the guard, and that the same run is clean with it.
auto expectInvariant(Guard guard, RunMember run, std::uint64_t seed, const std::string &invariant) -> void
{
    EXPECT_DEATH(static_cast<void>(run(seed, without(guard))), "event=invariant_broken name=" + invariant);
    const auto clean = run(seed, {}).m_violations;
    EXPECT_TRUE(clean.empty()) << "with all guards, seed " << seed << ": " << clean.front();
}
}

// Guards against an owner that goes on after a takeover: what it answers and starts is not in the journal.
TEST(GuardsTest, EpochCheckKeepsAFormerOwnerFromActing)
{
    expectGuards(&Guards::m_epochCheck, &runShardWorld, 271, "j16 was lost");
    expectGuards(&Guards::m_epochCheck, &runShardWorld, 815, "j12 was lost");
}

// Guards against a second attempt while the first one still runs.
TEST(GuardsTest, TombstoneWaitKeepsAttemptsApart)
{
    expectGuards(&Guards::m_tombstoneWait, &runShardWorld, 9, "j36 runs in two places");
    expectGuards(&Guards::m_tombstoneWait, &runShardWorld, 34, "j19 runs in two places");
}

// Guards against a start that a takeover does not know of.
TEST(GuardsTest, WriteAheadKeepsStartsBehindTheJournal)
{
    expectInvariant(&Guards::m_writeAhead, &runShardWorld, 1, "start_after_durable_assignment");
    expectInvariant(&Guards::m_writeAhead, &runFaultPair, 1, "start_after_durable_assignment");
}

// Guards against a scheduler that takes the row of another one for its own after a lost answer.
TEST(GuardsTest, OperationIdTellsTheOwnWriteFromAnother)
{
    expectGuards(&Guards::m_operationId, &runClaimWorld, 2, "epoch 2 was acquired by");
    expectGuards(&Guards::m_operationId, &runShardWorld, 155, "j27 was lost");
}

// Guards against an entry host that sends a worker more requests than it has slots.
TEST(GuardsTest, SlotBoundKeepsRequestsWithinTheWorkersSlots)
{
    expectInvariant(&Guards::m_slotBound, &runRequestWorld, 1, "target_slots");
}

// Guards against the word of a restarted worker about a request that its former process ran.
TEST(GuardsTest, IncarnationCheckRejectsTheWordOfARestartedWorker)
{
    expectGuards(&Guards::m_incarnationCheck, &runRequestWorld, 205, "a non-idempotent request ran twice");
    expectGuards(&Guards::m_incarnationCheck, &runRequestWorld, 85, "a refused request ran");
}

// Guards against a key that another entry host sends after its worker restarted, or to another worker.
TEST(GuardsTest, KeyMapKeepsAKeyAtOneHome)
{
    expectGuards(&Guards::m_keyMap, &runRequestWorld, 111, "a non-idempotent request ran twice");
}

// Guards against a late or lagging read of the table that puts an earlier preset in force again.
TEST(GuardsTest, VersionFloorKeepsTheConfigurationFromGoingBack)
{
    constexpr std::uint64_t seed = 1;
    constexpr int readCount = 200;
    requireApplication();
    // Random reads of one of the last versions, as replicas and late answers give them.
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

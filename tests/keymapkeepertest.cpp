#include "burdockspur/host/keymapkeeper.hpp"

#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/host/keymapstore.hpp"

#include <gtest/gtest.h>

#include <algorithm>

using namespace Burdockspur;
using namespace std::chrono_literals;

namespace
{
using Kind = KeyMapChange::Kind;

[[nodiscard]] auto listing(std::uint64_t generation, std::initializer_list<std::string_view> workers, std::initializer_list<std::string_view> entries)
    -> HostListing
{
    HostListing list{generation, {}};
    for (const auto name : workers) {
        list.m_hosts.emplace_back().m_name = name;
    }
    for (const auto name : entries) {
        auto &host = list.m_hosts.emplace_back();
        host.m_name = name;
        host.m_role = HostRole::Entry;
    }
    return list;
}

class KeyMapKeeperTest : public testing::Test
{
protected:
    /// @brief Advances the time until a keeper may propose, and writes its proposal to the table.
    /// @returns false if it proposed nothing
    auto proposeAndWrite(KeyMapKeeper &keeper) -> bool
    {
        m_now = std::max(m_now, keeper.nextDeadline() == TimePoint::max() ? m_now : keeper.nextDeadline());
        std::vector<KeyMapCommand> commands;
        keeper.proposeIfDue(m_now, m_random, commands);
        if (commands.size() != 1 || !std::holds_alternative<ProposeKeyMap>(commands.front())) {
            return false;
        }
        m_table = std::get<ProposeKeyMap>(commands.front()).m_next;
        readTable(keeper);
        return true;
    }

    auto readTable(KeyMapKeeper &keeper) -> void
    {
        keeper.updateMap(KeyMap(m_table), m_now, m_random);
    }

    /// @brief Passes two workers to a keeper and writes the first map.
    auto writeFirstMap(KeyMapKeeper &keeper) -> void
    {
        readTable(keeper);
        keeper.updateHosts(listing(1, {"w1", "w2"}, {"h1", "h2"}), m_now, m_random);
        keeper.recordWorkerIncarnation("w1", "a", m_now, m_random);
        keeper.recordWorkerIncarnation("w2", "a", m_now, m_random);
        EXPECT_TRUE(proposeAndWrite(keeper));
    }

    [[nodiscard]] auto kinds() const -> std::vector<Kind>
    {
        std::vector<Kind> kinds;
        std::ranges::transform(m_table.m_changes, std::back_inserter(kinds), &KeyMapChange::m_kind);
        return kinds;
    }

    KeyMapKeeper m_one{{"h1", "boot-1"}, 10min};
    KeyMapKeeper m_two{{"h2", "boot-1"}, 10min};
    KeyMap m_table;
    RandomSource m_random{3};
    TimePoint m_now{1h};
};
}

// Guards against a new deployment that rejects keys, and against proposing a first map before the table was read.
TEST_F(KeyMapKeeperTest, FirstMapHasNoRecentChanges)
{
    m_one.updateHosts(listing(1, {"w1"}, {"h1"}), m_now, m_random);
    m_one.recordWorkerIncarnation("w1", "a", m_now, m_random);
    m_now += 1min;
    EXPECT_FALSE(proposeAndWrite(m_one));
    readTable(m_one);
    EXPECT_FALSE(m_one.isUsable());
    EXPECT_TRUE(proposeAndWrite(m_one));
    EXPECT_TRUE(m_one.isUsable());
    EXPECT_TRUE(kinds().empty());
    EXPECT_EQ(m_one.homeOf("key", {}).m_worker->m_name, "w1");
    EXPECT_TRUE(m_one.homeOf("key", {}).m_isStable);
}

// Guards against a key that runs again on its restarted home, or on the next worker after its home was removed.
TEST_F(KeyMapKeeperTest, HomeIsNotStableWhileARecentChangeAffectsIt)
{
    writeFirstMap(m_one);
    const std::string home = m_one.homeOf("key", {}).m_worker->m_name;
    const std::string other = home == "w1" ? "w2" : "w1";
    m_one.recordWorkerIncarnation(other, "b", m_now, m_random);
    ASSERT_TRUE(proposeAndWrite(m_one));
    EXPECT_TRUE(m_one.homeOf("key", {}).m_isStable) << "the other worker comes after the home in the order";
    EXPECT_FALSE(m_one.homeOf("key", std::vector{home}).m_isStable);
    m_one.recordWorkerIncarnation(home, "b", m_now, m_random);
    ASSERT_TRUE(proposeAndWrite(m_one));
    EXPECT_FALSE(m_one.homeOf("key", {}).m_isStable);
    m_now += 11min;
    ASSERT_TRUE(proposeAndWrite(m_one));
    EXPECT_TRUE(kinds().empty());
    EXPECT_TRUE(m_one.homeOf("key", {}).m_isStable);
    m_one.updateHosts(listing(2, {other}, {"h1", "h2"}), m_now, m_random);
    ASSERT_TRUE(proposeAndWrite(m_one));
    EXPECT_EQ(m_one.homeOf("key", {}).m_worker->m_name, other);
    EXPECT_FALSE(m_one.homeOf("key", {}).m_isStable);
}

// Guards against a change that stops being recent too early because another daemon read it first.
TEST_F(KeyMapKeeperTest, AChangeIsRecentFromItsFirstReadByEachDaemon)
{
    writeFirstMap(m_one);
    m_one.recordWorkerIncarnation("w1", "b", m_now, m_random);
    ASSERT_TRUE(proposeAndWrite(m_one));
    m_now += 9min;
    m_two.updateHosts(listing(1, {"w1", "w2"}, {"h1", "h2"}), m_now, m_random);
    readTable(m_two);
    ASSERT_TRUE(proposeAndWrite(m_two));
    EXPECT_EQ(kinds(), (std::vector{Kind::WorkerRestarted, Kind::EntryAdded}));
    m_now += 2min;
    EXPECT_FALSE(proposeAndWrite(m_two) && kinds().empty());
    m_now += 9min;
    readTable(m_two);
    EXPECT_TRUE(kinds().empty() || proposeAndWrite(m_two));
    EXPECT_TRUE(kinds().empty());
}

// Guards against a daemon that sends before its incarnation is in the map, and against a restart that is not recorded.
TEST_F(KeyMapKeeperTest, ADaemonSendsOnlyAsAMember)
{
    writeFirstMap(m_one);
    m_two.updateHosts(listing(1, {"w1", "w2"}, {"h1", "h2"}), m_now, m_random);
    readTable(m_two);
    EXPECT_FALSE(m_two.isUsable());
    ASSERT_TRUE(proposeAndWrite(m_two));
    EXPECT_TRUE(m_two.isUsable());
    KeyMapKeeper restarted({"h2", "boot-2"}, 10min);
    restarted.updateHosts(listing(1, {"w1", "w2"}, {"h1", "h2"}), m_now, m_random);
    readTable(restarted);
    EXPECT_FALSE(restarted.isUsable());
    ASSERT_TRUE(proposeAndWrite(restarted));
    EXPECT_EQ(kinds(), (std::vector{Kind::EntryAdded, Kind::EntryReplaced}));
    EXPECT_TRUE(restarted.hasLostEntry());
}

// Guards against a send according to a map after another daemon has reported a higher generation.
TEST_F(KeyMapKeeperTest, ARequiredGenerationMakesTheOldMapUnusable)
{
    writeFirstMap(m_one);
    std::vector<KeyMapCommand> commands;
    m_one.requireGeneration(2, commands);
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<ReadKeyMap>(commands.front()));
    EXPECT_FALSE(m_one.isUsable());
    m_table.m_generation = 2;
    readTable(m_one);
    EXPECT_TRUE(m_one.isUsable());
}

// Guards against a daemon with an older host list or incarnation that undoes the changes of another.
TEST_F(KeyMapKeeperTest, OlderInformationChangesNothing)
{
    writeFirstMap(m_two);
    m_two.updateHosts(listing(2, {"w1", "w2", "w3"}, {"h1", "h2"}), m_now, m_random);
    m_two.recordWorkerIncarnation("w3", "a", m_now, m_random);
    m_two.recordWorkerIncarnation("w1", "b", m_now, m_random);
    ASSERT_TRUE(proposeAndWrite(m_two));
    m_one.updateHosts(listing(1, {"w1", "w2"}, {"h1", "h2"}), m_now, m_random);
    m_one.recordWorkerIncarnation("w1", "a", m_now, m_random);
    readTable(m_one);
    ASSERT_TRUE(proposeAndWrite(m_one));
    EXPECT_EQ(m_table.m_workers, (std::vector<KeyMapMember>{{"w1", "b"}, {"w2", "a"}, {"w3", "a"}}));
}

// Guards against repeated writes during an outage of the table service.
TEST_F(KeyMapKeeperTest, AFailedProposalWaitsForARead)
{
    writeFirstMap(m_one);
    m_one.recordWorkerIncarnation("w1", "b", m_now, m_random);
    std::vector<KeyMapCommand> commands;
    m_now = m_one.nextDeadline();
    m_one.proposeIfDue(m_now, m_random, commands);
    ASSERT_EQ(commands.size(), 1U);
    m_one.handleFailedProposal(m_now, m_random, commands);
    EXPECT_EQ(m_one.nextDeadline(), TimePoint::max());
    readTable(m_one);
    EXPECT_TRUE(proposeAndWrite(m_one));
}

// Guards against decoding a row to another map than was encoded, and against accepting an invalid row.
TEST_F(KeyMapKeeperTest, RowIsReadAsItWasWritten)
{
    writeFirstMap(m_one);
    m_one.recordWorkerIncarnation("w1", "b", m_now, m_random);
    ASSERT_TRUE(proposeAndWrite(m_one));
    const auto decoded = decodeKeyMap(encodeKeyMap(m_table));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(*decoded, m_table);
    const auto invalid =
        decodeKeyMap(R"({"generation":1,"hosts_generation":1,"workers":[{"name":"w1"}],"entries":[],"changes":[{"name":"w1","generation":1,"kind":"moved"}]})");
    ASSERT_FALSE(invalid);
    EXPECT_NE(invalid.error().m_message.find("workers[0].incarnation"), std::string::npos) << invalid.error().m_message;
    EXPECT_NE(invalid.error().m_message.find("changes[0].kind"), std::string::npos) << invalid.error().m_message;
}

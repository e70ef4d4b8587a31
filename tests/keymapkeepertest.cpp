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
    /// @brief Lets a keeper propose, and writes the proposal.
    auto write(KeyMapKeeper &keeper) -> bool
    {
        m_now = std::max(m_now, keeper.nextDeadline() == TimePoint::max() ? m_now : keeper.nextDeadline());
        std::vector<KeyMapCommand> commands;
        keeper.passTime(m_now, m_random, commands);
        if (commands.size() != 1 || !std::holds_alternative<ProposeKeyMap>(commands.front())) {
            return false;
        }
        m_table = std::get<ProposeKeyMap>(commands.front()).m_next;
        read(keeper);
        return true;
    }

    auto read(KeyMapKeeper &keeper) -> void
    {
        keeper.takeMap(KeyMap(m_table), m_now, m_random);
    }

    /// @brief Gives a keeper two workers and writes its first map.
    auto begin(KeyMapKeeper &keeper) -> void
    {
        read(keeper);
        keeper.takeHosts(listing(1, {"w1", "w2"}, {"h1", "h2"}), m_now, m_random);
        keeper.noteWorker("w1", "a", m_now, m_random);
        keeper.noteWorker("w2", "a", m_now, m_random);
        EXPECT_TRUE(write(keeper));
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

// Guards against a new deployment that refuses keys, and against a map before the table said that it holds none.
TEST_F(KeyMapKeeperTest, FirstMapHasNoRecentChanges)
{
    m_one.takeHosts(listing(1, {"w1"}, {"h1"}), m_now, m_random);
    m_one.noteWorker("w1", "a", m_now, m_random);
    m_now += 1min;
    EXPECT_FALSE(write(m_one));
    read(m_one);
    EXPECT_FALSE(m_one.isUsable());
    EXPECT_TRUE(write(m_one));
    EXPECT_TRUE(m_one.isUsable());
    EXPECT_TRUE(kinds().empty());
    EXPECT_EQ(m_one.homeOf("key", {}).m_worker->m_name, "w1");
    EXPECT_TRUE(m_one.homeOf("key", {}).m_isSettled);
}

// Guards against a key that runs again on a worker that restarted, or on the next one when its home has gone.
TEST_F(KeyMapKeeperTest, HomeIsNotSettledWhileAChangeConcernsIt)
{
    begin(m_one);
    const std::string home = m_one.homeOf("key", {}).m_worker->m_name;
    const std::string other = home == "w1" ? "w2" : "w1";
    m_one.noteWorker(other, "b", m_now, m_random);
    ASSERT_TRUE(write(m_one));
    EXPECT_TRUE(m_one.homeOf("key", {}).m_isSettled) << "the other worker was not asked before the home";
    EXPECT_FALSE(m_one.homeOf("key", std::vector{home}).m_isSettled);
    m_one.noteWorker(home, "b", m_now, m_random);
    ASSERT_TRUE(write(m_one));
    EXPECT_FALSE(m_one.homeOf("key", {}).m_isSettled);
    m_now += 11min;
    ASSERT_TRUE(write(m_one));
    EXPECT_TRUE(kinds().empty());
    EXPECT_TRUE(m_one.homeOf("key", {}).m_isSettled);
    m_one.takeHosts(listing(2, {other}, {"h1", "h2"}), m_now, m_random);
    ASSERT_TRUE(write(m_one));
    EXPECT_EQ(m_one.homeOf("key", {}).m_worker->m_name, other);
    EXPECT_FALSE(m_one.homeOf("key", {}).m_isSettled);
}

// Guards against a change that ends early because another daemon saw it first.
TEST_F(KeyMapKeeperTest, AChangeIsRecentFromTheTimeAtWhichItWasFirstSeen)
{
    begin(m_one);
    m_one.noteWorker("w1", "b", m_now, m_random);
    ASSERT_TRUE(write(m_one));
    m_now += 9min;
    m_two.takeHosts(listing(1, {"w1", "w2"}, {"h1", "h2"}), m_now, m_random);
    read(m_two);
    ASSERT_TRUE(write(m_two));
    EXPECT_EQ(kinds(), (std::vector{Kind::WorkerRestarted, Kind::EntryAdded}));
    m_now += 2min;
    EXPECT_FALSE(write(m_two) && kinds().empty());
    m_now += 9min;
    read(m_two);
    EXPECT_TRUE(kinds().empty() || write(m_two));
    EXPECT_TRUE(kinds().empty());
}

// Guards against a daemon that sends before its incarnation is in the map, and against a restart that nobody sees.
TEST_F(KeyMapKeeperTest, ADaemonSendsOnlyAsAMember)
{
    begin(m_one);
    m_two.takeHosts(listing(1, {"w1", "w2"}, {"h1", "h2"}), m_now, m_random);
    read(m_two);
    EXPECT_FALSE(m_two.isUsable());
    ASSERT_TRUE(write(m_two));
    EXPECT_TRUE(m_two.isUsable());
    KeyMapKeeper restarted({"h2", "boot-2"}, 10min);
    restarted.takeHosts(listing(1, {"w1", "w2"}, {"h1", "h2"}), m_now, m_random);
    read(restarted);
    EXPECT_FALSE(restarted.isUsable());
    ASSERT_TRUE(write(restarted));
    EXPECT_EQ(kinds(), (std::vector{Kind::EntryAdded, Kind::EntryReplaced}));
    EXPECT_TRUE(restarted.lostEntry());
}

// Guards against a send by a map that another daemon knows to be old.
TEST_F(KeyMapKeeperTest, AnAdoptedGenerationStopsTheOldMap)
{
    begin(m_one);
    std::vector<KeyMapCommand> commands;
    m_one.adopt(2, commands);
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<ReadKeyMap>(commands.front()));
    EXPECT_FALSE(m_one.isUsable());
    m_table.m_generation = 2;
    read(m_one);
    EXPECT_TRUE(m_one.isUsable());
}

// Guards against two daemons that undo each other's changes, one of them with an older host list or incarnation.
TEST_F(KeyMapKeeperTest, OlderKnowledgeChangesNothing)
{
    begin(m_two);
    m_two.takeHosts(listing(2, {"w1", "w2", "w3"}, {"h1", "h2"}), m_now, m_random);
    m_two.noteWorker("w3", "a", m_now, m_random);
    m_two.noteWorker("w1", "b", m_now, m_random);
    ASSERT_TRUE(write(m_two));
    m_one.takeHosts(listing(1, {"w1", "w2"}, {"h1", "h2"}), m_now, m_random);
    m_one.noteWorker("w1", "a", m_now, m_random);
    read(m_one);
    ASSERT_TRUE(write(m_one));
    EXPECT_EQ(m_table.m_workers, (std::vector<KeyMapMember>{{"w1", "b"}, {"w2", "a"}, {"w3", "a"}}));
}

// Guards against a write with each try during an outage of the table.
TEST_F(KeyMapKeeperTest, AFailedProposalWaitsForARead)
{
    begin(m_one);
    m_one.noteWorker("w1", "b", m_now, m_random);
    std::vector<KeyMapCommand> commands;
    m_now = m_one.nextDeadline();
    m_one.passTime(m_now, m_random, commands);
    ASSERT_EQ(commands.size(), 1U);
    m_one.proposalFailed(m_now, m_random, commands);
    EXPECT_EQ(m_one.nextDeadline(), TimePoint::max());
    read(m_one);
    EXPECT_TRUE(write(m_one));
}

// Guards against a row that a reader takes for another map, or that it takes although it is not valid.
TEST_F(KeyMapKeeperTest, RowIsReadAsItWasWritten)
{
    begin(m_one);
    m_one.noteWorker("w1", "b", m_now, m_random);
    ASSERT_TRUE(write(m_one));
    const auto decoded = decodeKeyMap(encodeKeyMap(m_table));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(*decoded, m_table);
    const auto invalid =
        decodeKeyMap(R"({"generation":1,"hosts_generation":1,"workers":[{"name":"w1"}],"entries":[],"changes":[{"name":"w1","generation":1,"kind":"moved"}]})");
    ASSERT_FALSE(invalid);
    EXPECT_NE(invalid.error().m_message.find("workers[0].incarnation"), std::string::npos) << invalid.error().m_message;
    EXPECT_NE(invalid.error().m_message.find("changes[0].kind"), std::string::npos) << invalid.error().m_message;
}

#include "burdockspur/operations/configurationwatcher.hpp"
#include "burdockspur/operations/configurationdocument.hpp"

#include "linktesting.hpp"
#include "scriptedtablestore.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;
using namespace Burdockspur::Testing;

namespace
{
constexpr std::string_view ordinary = R"({"shards": 4, "preset_in_force": "ordinary", "presets": [{"name": "ordinary"}, {"name": "peak"}]})";
constexpr std::string_view peak = R"({"shards": 4, "preset_in_force": "peak", "presets": [{"name": "ordinary"}, {"name": "peak"}]})";
using Fault = ScriptedTableStore::Fault;

class ConfigurationWatcherTest : public testing::Test
{
protected:
    ConfigurationWatcherTest()
    {
        requireApplication();
    }

    auto create(Milliseconds interval) -> ConfigurationWatcher &
    {
        return m_watcher.emplace(m_store, ConfigurationWatcherOptions{interval, 3, Milliseconds(0), 1}, [this](const Configuration &configuration) {
            m_delivered.push_back(configuration.m_version);
        });
    }

    auto waitForVersion(ConfigVersion version) -> void
    {
        waitUntil([&] {
            return !m_delivered.empty() && m_delivered.back() == version;
        });
    }

    // Waits for the result of a change: the version, or the name of the error.
    auto awaitResult(const std::function<void(ConfigurationWatcher::ChangeCallback)> &begin) -> std::string
    {
        std::optional<std::string> text;
        begin([&](Result<ConfigVersion> &&result) {
            m_message = result ? "" : result.error().m_message;
            text = result ? std::to_string(*result) : std::string(errorName(result.error().m_code));
        });
        EXPECT_FALSE(text) << "the callback ran before the call returned";
        waitUntil([&] {
            return text.has_value();
        });
        return *text;
    }

    auto change(ConfigVersion expected, std::string_view document) -> std::string
    {
        return awaitResult([&](auto callback) {
            m_watcher->change(expected, document, std::move(callback));
        });
    }

    auto switchPreset(ConfigVersion expected, std::string_view preset) -> std::string
    {
        return awaitResult([&](auto callback) {
            m_watcher->switchPreset(expected, preset, std::move(callback));
        });
    }

    // The preset in force in the stored row.
    auto storedPreset() -> std::string
    {
        return ConfigurationDocument::parse(m_store.m_rows["config"].m_value, 1).value().m_configuration.m_presetInForce;
    }

    ScriptedTableStore m_store;
    std::vector<ConfigVersion> m_delivered;
    std::string m_message;
    std::optional<ConfigurationWatcher> m_watcher;
};

constexpr Milliseconds noDelay{0}; // poll interval
// Longer than any test, so that every read after the first has been requested.
constexpr Milliseconds neverPolls{3'600'000};
}

// Guards against new versions that are never delivered, or that are delivered twice.
TEST_F(ConfigurationWatcherTest, EachNewVersionIsDeliveredOnce)
{
    create(noDelay).start();
    waitUntil([&] {
        return m_store.m_reads > 2;
    });
    EXPECT_TRUE(m_delivered.empty());
    m_store.put("config", ordinary);
    waitForVersion(1);
    m_store.put("config", peak);
    waitForVersion(2);
    EXPECT_EQ(m_delivered, (std::vector<ConfigVersion>{1, 2}));
    EXPECT_EQ(m_watcher->current()->m_presetInForce, "peak");
}

// Guards against an older row, e.g. of a lagging replica, or an invalid document that replaces the current configuration.
TEST_F(ConfigurationWatcherTest, OlderAndInvalidRowsAreNotDelivered)
{
    m_store.put("config", ordinary);
    m_store.put("config", peak);
    create(noDelay).start();
    waitForVersion(2);
    m_store.m_rows["config"].m_version = 1;
    const auto waitForReads = [this](int count) {
        const int reads = m_store.m_reads;
        waitUntil([&] {
            return m_store.m_reads > reads + count;
        });
    };
    waitForReads(3);
    m_store.m_rows["config"].m_version = 2;
    m_store.put("config", "{}");
    waitForReads(3);
    m_store.m_failingReads = 3;
    waitForReads(4);
    EXPECT_EQ(m_watcher->current()->m_version, 2U);
    EXPECT_EQ(m_delivered, std::vector<ConfigVersion>{2});
    m_store.put("config", ordinary);
    waitForVersion(4);
}

// Guards against a change that takes effect only at the next poll although a peer has reported it, and against a read for each message of a peer.
TEST_F(ConfigurationWatcherTest, AHigherVersionOfAPeerIsReadAtOnceAndOnlyOnce)
{
    m_store.put("config", ordinary);
    create(neverPolls).start();
    waitForVersion(1);
    m_watcher->notifyPeerVersion(1);
    m_store.put("config", peak);
    m_watcher->notifyPeerVersion(2);
    waitForVersion(2);
    const int reads = m_store.m_reads;
    EXPECT_EQ(reads, 2);
    m_watcher->notifyPeerVersion(9);
    waitUntil([&] {
        return m_store.m_reads == reads + 1;
    });
    for (int i = 0; i < 5; ++i) {
        m_watcher->notifyPeerVersion(9);
        QCoreApplication::processEvents();
    }
    EXPECT_EQ(m_store.m_reads, reads + 1);
}

// Guards against an accepted change that is not in force on the host that accepted it.
TEST_F(ConfigurationWatcherTest, AcceptedChangesAreInForceAtOnce)
{
    create(neverPolls).start();
    EXPECT_EQ(change(0, ordinary), "1");
    EXPECT_EQ(m_watcher->current()->m_version, 1U);
    EXPECT_EQ(switchPreset(1, "peak"), "2");
    EXPECT_EQ(m_watcher->current()->m_presetInForce, "peak");
    EXPECT_EQ(m_delivered, (std::vector<ConfigVersion>{1, 2}));
    EXPECT_EQ(m_store.m_rows["config"].m_version, 2U);
}

// Guards against changes that take effect although an error was returned.
TEST_F(ConfigurationWatcherTest, RefusedChangesWriteNothing)
{
    m_store.put("config", ordinary);
    create(neverPolls).start();
    waitForVersion(1);
    EXPECT_EQ(change(1, "{}"), "bad_request");
    EXPECT_EQ(change(1, R"({"shards": 8, "preset_in_force": "a", "presets": [{"name": "a"}]})"), "bad_request");
    EXPECT_EQ(m_message, "shards: found 8, expected the current count 4");
    EXPECT_EQ(switchPreset(1, "night"), "unknown_preset");
    EXPECT_EQ(m_message, "there is no preset 'night', expected one of: ordinary, peak");
    EXPECT_EQ(switchPreset(3, "peak"), "conflict");
    EXPECT_EQ(m_message, "the configuration has version 1, not the expected 3");
    m_store.m_failingReads = 1;
    EXPECT_EQ(switchPreset(1, "peak"), "unavailable");
    EXPECT_EQ(m_store.m_commits, 0);
    m_store.m_commitFaults = {Fault::RateLimited};
    EXPECT_EQ(switchPreset(1, "peak"), "rate_limited");
    EXPECT_EQ(m_store.m_rows["config"].m_version, 1U);
}

// Guards against two concurrent changes that are both accepted.
TEST_F(ConfigurationWatcherTest, TheLoserOfARaceGetsTheCurrentVersion)
{
    m_store.put("config", ordinary);
    create(neverPolls).start();
    m_store.m_beforeCommit = [this] {
        m_store.put("config", ordinary);
    };
    EXPECT_EQ(switchPreset(1, "peak"), "conflict");
    EXPECT_EQ(m_message, "the configuration has version 2, not the expected 1");
    EXPECT_EQ(storedPreset(), "ordinary");
}

// Guards against a change that took effect and is reported as failed, or that was lost and is reported as accepted.
TEST_F(ConfigurationWatcherTest, UnknownResultsAreDeterminedByReadingTheRowBack)
{
    m_store.put("config", ordinary);
    create(neverPolls).start();
    m_store.m_commitFaults = {Fault::AnswerLost};
    EXPECT_EQ(switchPreset(1, "peak"), "2");
    m_store.m_commitFaults = {Fault::RequestLost};
    EXPECT_EQ(switchPreset(2, "ordinary"), "3");
    EXPECT_EQ(storedPreset(), "ordinary");
    m_store.m_commitFaults = {Fault::RequestDelayed};
    EXPECT_EQ(switchPreset(3, "peak"), "4");
    EXPECT_EQ(m_store.m_rows["config"].m_version, 4U);
    m_store.m_commitFaults = {Fault::RequestLost, Fault::RateLimited};
    EXPECT_EQ(switchPreset(4, "ordinary"), "5");
    m_store.m_commitFaults = {Fault::AnswerLost};
    m_store.m_beforeCommit = [this] {
        m_store.put("config", ordinary);
    };
    EXPECT_EQ(switchPreset(5, "peak"), "conflict");
    EXPECT_EQ(m_message, "the configuration has version 6, not the expected 5");
}

// Guards against a change that is reported as lost because a later change has already replaced its content.
TEST_F(ConfigurationWatcherTest, AChangeBeforeALaterOneIsRecognised)
{
    m_store.put("config", ordinary);
    create(neverPolls).start();
    m_store.m_commitFaults = {Fault::AnswerLost};
    m_store.m_afterCommit = [this] {
        auto later = ConfigurationDocument::parse(m_store.m_rows["config"].m_value, 2).value();
        later.m_configuration.m_presetInForce = "ordinary";
        later.m_changeIds.insert(later.m_changeIds.begin(), "later");
        m_store.put("config", later.rowBytes());
    };
    EXPECT_EQ(switchPreset(1, "peak"), "2");
    EXPECT_EQ(storedPreset(), "ordinary");
}

// Guards against a definite result of a change that is older than all the changes that the row lists.
TEST_F(ConfigurationWatcherTest, AChangeOlderThanTheListedOnesIsUnknown)
{
    m_store.put("config", ordinary);
    create(neverPolls).start();
    m_store.m_commitFaults = {Fault::AnswerLost};
    m_store.m_afterCommit = [this] {
        m_store.put("config", ordinary);
        m_store.m_rows["config"].m_version += 15;
    };
    EXPECT_EQ(switchPreset(1, "peak"), "outcome_unknown");
}

// Guards against a definite result of a write whose effect could not be read back.
TEST_F(ConfigurationWatcherTest, ALongOutageAfterALostAnswerIsUnknown)
{
    m_store.put("config", ordinary);
    create(neverPolls).start();
    waitForVersion(1);
    m_store.m_commitFaults = {Fault::AnswerLost};
    m_store.m_beforeCommit = [this] {
        m_store.m_failingReads = 100;
    };
    EXPECT_EQ(switchPreset(1, "peak"), "outcome_unknown");
}

// Guards against a use of the destroyed watcher by late answers of the table service.
TEST_F(ConfigurationWatcherTest, LateAnswersAfterDestructionAreIgnored)
{
    m_store.put("config", ordinary);
    create(noDelay).start();
    m_watcher->switchPreset(1, "peak", [](Result<ConfigVersion> &&) {
        ADD_FAILURE() << "called after destruction";
    });
    QCoreApplication::processEvents();
    m_watcher.reset();
    for (int i = 0; i < 10; ++i) {
        QCoreApplication::processEvents();
    }
}

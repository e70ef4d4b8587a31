#include "burdockspur/host/entrysettings.hpp"
#include "burdockspur/shard/schedulersettings.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace Burdockspur;

namespace
{
/// @brief Keys whose checks do not hold.
template<typename Settings>
[[nodiscard]] auto failedKeys(const Settings &settings, std::span<const SettingsCheck<Settings>> checks) -> std::vector<std::string>
{
    std::vector<std::string> keys;
    for (const auto &check : checks) {
        if (!check.m_holds(settings)) {
            keys.emplace_back(check.m_key);
        }
    }
    return keys;
}
}

// Guards against defaults that the daemons themselves refuse.
TEST(DaemonSettingsTest, DefaultsAreConsistent)
{
    EXPECT_TRUE(failedKeys(EntrySettings{}, entrySettingsChecks()).empty());
    EXPECT_TRUE(failedKeys(SchedulerSettings{}, schedulerChecks()).empty());
}

// Guards against an owner that still acts while another scheduler may already have taken its shard over.
TEST(DaemonSettingsTest, OwnerLeaseEndsBeforeATakeover)
{
    SchedulerSettings settings;
    settings.m_ownerLease = settings.m_takeover;
    EXPECT_EQ(failedKeys(settings, schedulerChecks()), std::vector<std::string>{"shard.owner_lease_ms"});
}

// Guards against a mistyped log level that --check accepts and the daemon refuses.
TEST(DaemonSettingsTest, UnknownLogLevelIsRefused)
{
    EntrySettings settings;
    settings.m_logLevel = "loud";
    EXPECT_EQ(failedKeys(settings, entrySettingsChecks()), std::vector<std::string>{"log.level"});
}

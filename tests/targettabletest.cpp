#include "burdockspur/host/targettable.hpp"
#include "burdockspur/host/routerlimits.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace Burdockspur;

namespace
{
[[nodiscard]] auto listOf(std::uint32_t entryHosts, std::uint32_t slots, std::uint32_t connections) -> std::vector<HostRecord>
{
    std::vector<HostRecord> hosts(entryHosts + 1);
    hosts[0].m_name = "worker";
    hosts[0].m_slots = slots;
    hosts[0].m_connections = connections;
    for (std::uint32_t i = 1; i <= entryHosts; ++i) {
        hosts[i].m_name = "host-" + std::to_string(i);
        hosts[i].m_role = HostRole::Entry;
    }
    return hosts;
}

[[nodiscard]] auto slotLimit(std::uint32_t entryHosts, std::uint32_t slots, std::uint32_t connections) -> std::uint32_t
{
    const RouterLimits limits;
    TargetTable table(limits, "zone-a");
    table.update(listOf(entryHosts, slots, connections));
    return table.find("worker")->m_slotLimit;
}
}

// Guards against entry hosts that together open more connections than a worker accepts.
TEST(TargetTableTest, AllHostsTogetherStayBelowTheConnectionsOfAWorker)
{
    constexpr std::uint32_t slots = 8;
    constexpr std::uint32_t connections = 64;
    constexpr std::uint32_t controlConnections = 2;
    for (std::uint32_t hosts = 1; hosts <= 9; ++hosts) {
        EXPECT_LE(hosts * (slotLimit(hosts, slots, connections) + controlConnections), connections) << hosts;
        EXPECT_GE(slotLimit(hosts, slots, connections), 5U) << hosts;
    }
}

// Guards against a worker that no host may use because its share of connections is rounded down to zero.
TEST(TargetTableTest, EveryHostMayUseEveryWorker)
{
    EXPECT_EQ(slotLimit(9, 8, 4), 1U);
    EXPECT_EQ(slotLimit(0, 8, 64), 8U);
    EXPECT_EQ(slotLimit(3, 8, 0), 8U);
}

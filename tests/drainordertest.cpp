#include "burdockspur/fleet/drainorder.hpp"

#include <gtest/gtest.h>

#include <vector>

using namespace Burdockspur;

// Guards against a planned stop that ends the process at once, with its requests cut off and its ownership held, because a duty was behind when the
// signal came; and against an order that a duty receives twice.
TEST(DrainOrderTest, IsRepeatedForTheDutyWhoseRingWasFull)
{
    FleetRings rings;
    while (rings.m_store.tryPush(StoreRequest{})) {}
    DrainOrder order(rings.m_api, rings.m_store);
    EXPECT_FALSE(order.send());
    EXPECT_FALSE(order.send());
    std::vector<FleetStoreInput> requests;
    rings.m_store.drain(requests);
    EXPECT_TRUE(order.send());
    EXPECT_TRUE(order.send());
    requests.clear();
    rings.m_store.drain(requests);
    EXPECT_EQ(requests.size(), 1U);
    std::vector<ApiInput> orders;
    rings.m_api.drain(orders);
    EXPECT_EQ(orders.size(), 1U);
}

#include "burdockspur/core/boundedring.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <thread>

using namespace Burdockspur;

// Guards against a full ring that drops or overwrites entries silently.
TEST(BoundedRingTest, FullRingRefusesAndLeavesTheEntry)
{
    BoundedRing<std::unique_ptr<int>> ring(2);
    EXPECT_TRUE(ring.tryPush(std::make_unique<int>(1)));
    EXPECT_TRUE(ring.tryPush(std::make_unique<int>(2)));
    auto third = std::make_unique<int>(3);
    EXPECT_FALSE(ring.tryPush(std::move(third)));
    EXPECT_NE(third, nullptr);
    std::vector<std::unique_ptr<int>> taken;
    EXPECT_EQ(ring.drain(taken), 2U);
    EXPECT_EQ(*taken[0], 1);
    EXPECT_EQ(*taken[1], 2);
}

// Guards against a lost wake-up, after which the consumer would wait forever.
TEST(BoundedRingTest, EveryEntryOfTwoProducersArrivesInTheirOrder)
{
    constexpr int entriesPerProducer = 20'000;
    BoundedRing<int> ring(64);
    const auto produce = [&ring](int sign) {
        for (int i = 1; i <= entriesPerProducer; ++i) {
            while (!ring.tryPush(sign * i)) {
                std::this_thread::yield();
            }
        }
    };
    std::thread first(produce, 1);
    std::thread second(produce, -1);
    int highest = 0;
    int lowest = 0;
    std::vector<int> taken;
    while (highest < entriesPerProducer || lowest > -entriesPerProducer) {
        taken.clear();
        ring.takeUntil(Clock::now() + std::chrono::hours(1), taken);
        for (const int value : taken) {
            int &last = value > 0 ? highest : lowest;
            ASSERT_EQ(value, last + (value > 0 ? 1 : -1));
            last = value;
        }
    }
    first.join();
    second.join();
}

// Guards against a duty that cannot be stopped while its ring is empty.
TEST(BoundedRingTest, CloseWakesTheConsumerAndRefusesEntries)
{
    BoundedRing<int> ring(4);
    std::vector<int> taken;
    std::thread consumer([&] {
        ring.takeUntil(Clock::now() + std::chrono::hours(1), taken);
    });
    ring.close();
    consumer.join();
    EXPECT_TRUE(taken.empty());
    EXPECT_FALSE(ring.tryPush(1));
}

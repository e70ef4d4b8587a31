#include "burdockspur/fleet/evacuation/closedzones.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
const TimePoint begin = TimePoint{} + std::chrono::hours(1);

[[nodiscard]] auto at(std::uint64_t version, Milliseconds time) -> ZoneConfirmation
{
    return {version, begin + time, begin + time + Milliseconds{5}};
}

const std::vector<ZoneRequest> closeA{{"a", true}};
const std::vector<ZoneRequest> reopenA{{"a", false}};
}

// Guards against a zone that stays closed because its request was withdrawn while the changes could not be read.
TEST(ClosedZonesTest, AListReopensWhatItDoesNotHave)
{
    ClosedZones zones;
    EXPECT_TRUE(zones.replace(std::vector<ZoneRequest>{{"a", true}, {"b", true}}, at(4, Milliseconds{0})));
    EXPECT_TRUE(zones.replace(std::vector<ZoneRequest>{{"b", true}}, at(9, Milliseconds{1'000})));
    EXPECT_FALSE(zones.isClosed("a"));
    EXPECT_TRUE(zones.isClosed("b"));
    EXPECT_FALSE(zones.replace(std::vector<ZoneRequest>{{"b", true}}, at(9, Milliseconds{2'000}))) << "nothing has changed";
}

// Guards against a start in a closed zone after an answer that was overtaken by a later one, and against a zone that is closed again by it.
TEST(ClosedZonesTest, AnAnswerThatWasOvertakenHasNoEffect)
{
    ClosedZones zones;
    EXPECT_TRUE(zones.apply(closeA, at(7, Milliseconds{500})));
    EXPECT_FALSE(zones.replace({}, at(6, Milliseconds{600})));
    EXPECT_TRUE(zones.isClosed("a"));
    EXPECT_TRUE(zones.apply(reopenA, at(8, Milliseconds{700})));
    EXPECT_FALSE(zones.apply(closeA, at(7, Milliseconds{800})));
    EXPECT_FALSE(zones.isClosed("a"));
    EXPECT_EQ(zones.confirmedAt(), begin + Milliseconds{700}) << "an old answer confirms nothing";
}

// Guards against a confirmation that is lost because the answer has no changes, and against one that goes back in time.
TEST(ClosedZonesTest, AnAnswerWithoutChangesConfirmsTheZones)
{
    ClosedZones zones;
    EXPECT_EQ(zones.confirmedAt(), TimePoint{});
    EXPECT_TRUE(zones.apply(closeA, at(7, Milliseconds{500})));
    EXPECT_FALSE(zones.apply({}, at(8, Milliseconds{1'300})));
    EXPECT_EQ(zones.confirmedAt(), begin + Milliseconds{1'300});
    EXPECT_FALSE(zones.apply(closeA, at(8, Milliseconds{900})));
    EXPECT_EQ(zones.confirmedAt(), begin + Milliseconds{1'300});
    EXPECT_EQ(zones.zones().at("a"), begin + Milliseconds{505}) << "known since the first answer";
}

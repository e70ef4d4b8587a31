#include "knownred.hpp"
#include "worlds.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>

using namespace Burdockspur::Testing;

namespace
{
/// @brief A run in which a random search found a violation in the past.
struct Finding {
    std::string_view m_world;
    std::uint64_t m_seed;
};

constexpr std::array<Finding, 4> findings{{
    {"fault", 260}, // a late copy of a journal row that a snapshot had replaced was written
    {"fault", 2309004193226245616U}, // before leases were counted from reports, a paused worker started an old attempt
    {"shard", 2724}, // as above
    {"fault", 16128289471520420741U}, // a repeated start on a worker that crashed after the first one
}};
}

// Guards against the return of faults that random runs found. Runs listed in KNOWN-RED.txt must still show the violation.
TEST(SoakFindingsTest, RunsThatOnceBrokeAGuaranteeAreClean)
{
    for (const auto &[name, seed] : findings) {
        const auto *const world = std::ranges::find(worldRows, name, &WorldRow::m_name);
        ASSERT_NE(world, worldRows.end());
        const std::string run = std::string(name) + " " + std::to_string(seed);
        const std::string red = knownRed("soakfindingstest", run);
        bool isRed = false;
        for (const auto &violation : world->m_run(seed, {}).m_violations) {
            if (!red.empty() && violation.ends_with(red)) {
                isRed = true;
                std::cout << "KNOWN RED " << run << ": " << violation << '\n';
            } else {
                ADD_FAILURE() << run << ": " << violation;
            }
        }
        EXPECT_EQ(isRed, !red.empty()) << run << " is listed in KNOWN-RED.txt and passes";
    }
}

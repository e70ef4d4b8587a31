#include "requestworld.hpp"

#include <gtest/gtest.h>

#include <cstdlib>

using namespace Burdockspur::Testing;

// Guards against a second execution, a missing, duplicate or foreign answer, and a false `refused`, under lost, late and
// reordered messages, leaving, dead, full and restarted workers, and two entry hosts that receive the same key.
TEST(RequestWorldPropertyTest, OutcomesAreTrueAndNonIdempotentRequestsRunOnce)
{
    // Fixed seed, unless the environment sets RC_PARAMS.
    ::setenv("RC_PARAMS", "seed=20261204 max_success=1500", 0);
    const bool holds = rc::check("outcomes are true", [] {
        const auto scenario = *anyScenario();
        RequestWorld world(scenario);
        world.run();
        world.check();
    });
    EXPECT_TRUE(holds);
}

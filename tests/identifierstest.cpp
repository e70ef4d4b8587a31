#include "burdockspur/core/identifiers.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

// Guards against two callers sharing a job because their names and keys join to the same text.
TEST(IdentifiersTest, JobIdsKeepCallerAndKeyApart)
{
    EXPECT_NE(jobIdOf("ab", "c"), jobIdOf("a", "bc"));
    EXPECT_EQ(jobIdOf("ab", "c"), jobIdOf("ab", "c"));
}

// Guards against a hash that differs between releases: jobs would change their shards.
TEST(IdentifiersTest, HashesAreFixed)
{
    EXPECT_EQ(hexOf(hashOf("")), "ef46db3751d8e999");
    EXPECT_EQ(hexOf(1), "0000000000000001");
    EXPECT_EQ(shardOf("worker-1", 1), 0U);
}

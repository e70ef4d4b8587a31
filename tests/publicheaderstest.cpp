#include "burdockspur/forward.hpp"

#include "burdockspur/burdockspur.hpp"

#include <gtest/gtest.h>

// Guards against public headers that cannot be included together, and against forward declarations that do not
// match the types; either fails the compilation of this file.
TEST(PublicHeadersTest, CanBeIncludedTogether)
{
    EXPECT_FALSE(Burdockspur::errorName(Burdockspur::ErrorCode::BadRequest).empty());
}

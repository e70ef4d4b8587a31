#include "burdockspur/fleet/lookahead/demandshapes.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
class DemandShapesTest : public ::testing::Test
{
protected:
    DemandShapesTest()
    {
        m_shapes.setMeanWorker({32'000, 128'000, 0});
        m_shapes.record(m_small, 100, m_now);
    }

    const Resources m_small{2'000, 8'000, 0};
    const Resources m_large{12'000, 16'000, 0};
    TimePoint m_now = TimePoint{} + std::chrono::hours(1);
    DemandShapes m_shapes{1.5};
};
}

TEST_F(DemandShapesTest, ATaskIsLargeByItsScarcerResource)
{
    EXPECT_FALSE(m_shapes.isLarge(m_small));
    EXPECT_TRUE(m_shapes.isLarge(m_large));
    EXPECT_TRUE(m_shapes.isLarge({1'000, 64'000, 0}));
    EXPECT_TRUE(m_shapes.isLarge({1'000, 1'000, 1}));
}

// Guards against small tasks that go to the one worker on which large work still fits.
TEST_F(DemandShapesTest, ATaskIsChargedForTheLargeWorkThatNoLongerFits)
{
    m_shapes.record(m_large, 4, m_now);
    EXPECT_GT(m_shapes.lossOf({13'000, 60'000, 0}, m_small), 0);
    EXPECT_EQ(m_shapes.lossOf({20'000, 60'000, 0}, m_small), 0) << "it fits beside the task";
    EXPECT_EQ(m_shapes.lossOf({8'000, 60'000, 0}, m_small), 0) << "it did not fit anyway";
    // Memory counts as well as processors.
    EXPECT_GT(m_shapes.lossOf({30'000, 20'000, 0}, m_small), 0);
}

// Guards against workers that are kept for large work that no longer comes.
TEST_F(DemandShapesTest, ShapesAreForgotten)
{
    m_shapes.record(m_large, 4, m_now);
    m_shapes.record({30'000, 100'000, 0}, 4, m_now + std::chrono::minutes(5));
    EXPECT_EQ(m_shapes.lossOf({13'000, 60'000, 0}, m_small), 0);
}

// Guards against memory and time that grow with the variety of demands.
TEST_F(DemandShapesTest, ManyDemandsShareFewShapes)
{
    for (std::int64_t i = 0; i < 1'000; ++i) {
        m_shapes.record({8'000 + i * 10, 16'000, 0}, 1, m_now);
    }
    EXPECT_LE(m_shapes.lossOf({32'000, 128'000, 0}, {32'000, 128'000, 0}), 1.0);
    EXPECT_LE(m_shapes.shapeCount(), 4U);
}

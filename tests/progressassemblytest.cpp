#include "burdockspur/fleet/progressassembly.hpp"
#include "burdockspur/fleet/fleetrows.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

// Guards against a successor that runs tasks of a job twice, because it reads some of the rows of its progress only.
TEST(ProgressAssemblyTest, AProgressWithAMissingRowIsCorrupt)
{
    constexpr std::size_t rowBytes = 100;
    JobProgress progress{JobPhase::Running, 1, {}};
    progress.m_open.emplace_back().m_steps.emplace_back().m_tasks.assign(20, {TaskPhase::Assigned, 1, 0, "i-0123456789", 1'900'000'000'000U, ""});
    const auto rows = encodeProgressRows(progress, rowBytes);
    ASSERT_GT(rows.size(), 3U);
    for (std::uint32_t missing = 0; missing <= rows.size(); ++missing) {
        ProgressAssembly assembly;
        for (std::uint32_t number = 0; number < rows.size(); ++number) {
            if (number != missing) {
                EXPECT_TRUE(assembly.add(progressRowName("job", number), rows[number]));
            }
        }
        assembly.join();
        const bool isComplete = missing == rows.size();
        EXPECT_EQ(assembly.progress().contains("job"), isComplete) << missing;
        EXPECT_EQ(assembly.corruptJobs().size(), isComplete || missing == 0 ? 0U : 1U) << "without the first row there is no progress";
    }
}

// Guards against an odd row that names billions of rows, with which an owner would be busy for minutes.
TEST(ProgressAssemblyTest, AnOddNumberOfRowsIsCorrupt)
{
    ProgressAssembly assembly;
    EXPECT_FALSE(assembly.add("a", R"({"state":"running","next":1,"rows":4294967295})"));
    EXPECT_FALSE(assembly.add("b", R"({"state":"running","next":1,"rows":2,"open":[]})"));
    for (const auto *const name : {"c.4294967295", "c.100", "c.0", "c.", "c.x", "c.1x", "c.1.2", "c.-1"}) {
        EXPECT_FALSE(assembly.add(name, "x")) << name;
    }
    EXPECT_TRUE(assembly.add("c.99", "x"));
    assembly.join();
    EXPECT_EQ(assembly.corruptJobs(), (std::vector<std::string>{"a", "b"}));
    EXPECT_EQ(assembly.continuationRowsOf("c"), 99U);
}

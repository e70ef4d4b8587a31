#include "burdockspur/contract/taskjob.hpp"
#include "burdockspur/contract/taskid.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
[[nodiscard]] auto validJob() -> TaskJob
{
    TaskJob job;
    job.m_id = "5c0e7a21d94b36f8";
    job.m_steps.resize(2);
    job.m_steps[1].m_after = {0};
    return job;
}
}

// Guards against jobs that would exhaust a host or never end; each is refused before it is stored.
TEST(TaskJobTest, NamesTheFirstFault)
{
    EXPECT_EQ(validationError(validJob()), "");
    struct Case {
        void (*m_break)(TaskJob &);
        std::string_view m_expected;
    };
    const std::array<Case, 10> cases{{
        {[](TaskJob &job) {
             job.m_id = "short";
         },
         "id"},
        {[](TaskJob &job) {
             job.m_id = "5c0e7a21d94b36f/";
         },
         "id"},
        {[](TaskJob &job) {
             job.m_payload.assign(4'001, 'x');
         },
         "payload"},
        {[](TaskJob &job) {
             job.m_steps.clear();
         },
         "steps"},
        {[](TaskJob &job) {
             job.m_steps.resize(65);
         },
         "steps"},
        {[](TaskJob &job) {
             job.m_steps[0].m_count = 0;
         },
         "count"},
        {[](TaskJob &job) {
             job.m_steps[0].m_count = 100'000;
         },
         "count"},
        {[](TaskJob &job) {
             job.m_steps[0].m_count = job.m_steps[1].m_count = 501;
         },
         "in all"},
        {[](TaskJob &job) {
             job.m_steps[1].m_after = {1};
         },
         "after"},
        {[](TaskJob &job) {
             job.m_steps[0].m_demand.m_memoryMb = -1;
         },
         "negative"},
    }};
    for (const auto &entry : cases) {
        auto job = validJob();
        entry.m_break(job);
        EXPECT_TRUE(validationError(job).contains(entry.m_expected)) << validationError(job);
    }
}

// Guards against a misread task name in a report, which would end the run of another task.
TEST(TaskJobTest, TaskNamesAreReadStrictly)
{
    const TaskId id{"5c0e7a21d94b36f8", 3, 1, 17};
    EXPECT_EQ(id.text(), "5c0e7a21d94b36f8.3.1.17");
    EXPECT_EQ(TaskId::parse(id.text()), id);
    for (const std::string_view text : {"", "a", "a.1", "a.1.2", "a.1.2.3.4", "a.1.2.x", "a.1.2.", ".1.2.3", "a.1.2.-3", "a.1.2.99999999999"}) {
        EXPECT_FALSE(TaskId::parse(text)) << text;
    }
}

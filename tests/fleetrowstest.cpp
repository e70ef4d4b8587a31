#include "burdockspur/fleet/fleetrows.hpp"
#include "burdockspur/fleet/fleetcandidaterow.hpp"

#include <gtest/gtest.h>

#include <limits>

using namespace Burdockspur;

namespace
{
constexpr auto largest = std::numeric_limits<std::int64_t>::max();

[[nodiscard]] auto sampleJob() -> TaskJob
{
    TaskJob job;
    job.m_id = "5c0e7a21d94b36f8";
    job.m_policy.m_name = "renders";
    job.m_policy.m_pool = "pool";
    job.m_policy.m_priority = 2;
    job.m_policy.m_maxAttempts = 4;
    job.m_policy.m_stretch = 1.5;
    job.m_policy.m_target = Milliseconds{300};
    job.m_payload = "a \"payload\"\n";
    job.m_repeats = 3;
    job.m_firstDue = TaskJob::WallTime(Milliseconds{1'800'000'000'000});
    job.m_interval = Milliseconds{1'000};
    job.m_acceptedAt = TaskJob::WallTime(Milliseconds{1'799'000'000'000});
    TaskStep first;
    first.m_count = 2;
    first.m_demand = {1'500, 512, 1};
    first.m_estimate = Milliseconds{900};
    first.m_requiredLabel = "a";
    first.m_preferredRack = "r1-3";
    first.m_image = "image";
    first.m_maxPerWorker = 2;
    first.m_maxUnavailable = 1;
    first.m_tailTarget = Milliseconds{50};
    first.m_savesProgress = first.m_isGang = first.m_sameRack = first.m_isSpeculative = first.m_isServing = first.m_isFilling = true;
    TaskStep second;
    second.m_after = {0};
    job.m_steps = {first, second};
    return job;
}
}

// Guards against a field that is written but not read, so that a new owner would run another job than was submitted.
TEST(FleetRowsTest, JobIsDecodedUnchanged)
{
    const auto job = sampleJob();
    const auto decoded = decodeJobRow(encodeRow(job), job.m_id);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(*decoded, job);
}

// Guards against a successor that reads an assigned task as a waiting one and starts it twice.
TEST(FleetRowsTest, ProgressIsDecodedUnchanged)
{
    JobProgress progress{JobPhase::Running, 2, {}};
    progress.m_open.push_back(
        {1, {{{TaskProgress{TaskPhase::Assigned, 7, 2, "worker", 99, "checkpoint"}, TaskProgress{}}}, {{TaskProgress{TaskPhase::Done, 1, 0, "", 0, ""}}}}});
    const auto decoded = decodeFirstProgressRow(encodeRow(progress));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->m_progress, progress);
    EXPECT_EQ(decoded->m_continuationRows, 0U);
}

// Guards against a successor that does not know the second run of a task, or reads a row of an earlier version as corrupt.
TEST(FleetRowsTest, CopiesAreDecodedUnchanged)
{
    JobProgress progress{JobPhase::Running, 1, {}};
    TaskProgress running{TaskPhase::Assigned, 7, 0, "worker", 99, "checkpoint"};
    running.assignCopy(8, "other", 100);
    TaskProgress ended{TaskPhase::Done, 7, 1, "", 0, "", 8};
    ended.m_copy.m_run = 8;
    progress.m_open.push_back({0, {{{running, ended}}}});
    const auto decoded = decodeFirstProgressRow(encodeRow(progress));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->m_progress, progress);
    EXPECT_TRUE(decodeFirstProgressRow(R"({"state":"running","next":1,"open":[{"k":0,"steps":[[[1,7,2,"w",99,"c"],[1,7,2,"w",99,"c",6]]]}]})"));
    // Two runs on one worker, a copy without an original run, a copy with an earlier number, and a cut row.
    for (const std::string_view task :
         {R"([1,7,0,"w",99,"",0,8,"w",99])", R"([0,7,0,"",0,"",0,8,"w",99])", R"([1,7,0,"w",99,"",0,7,"v",99])", R"([1,7,0,"w",99,"",0,8])"}) {
        EXPECT_FALSE(decodeFirstProgressRow(R"({"state":"running","next":1,"open":[{"k":0,"steps":[[)" + std::string(task) + "]]}]}")) << task;
    }
}

// Guards against an epoch that is truncated or lost, so that two owners would share a fencing token.
TEST(FleetRowsTest, OwnerIsDecodedUnchanged)
{
    const FleetOwnerRow row{"host-1", "0123456789abcdef", 18'446'744'073'709'551'000U, 12, {{"queue", 3}}, Milliseconds{40}};
    const auto decoded = decodeFleetOwnerRow(encodeRow(row));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(*decoded, row);
}

// Guards against a successor that does not recognise its name in the row, and against a lost best capacity.
TEST(FleetRowsTest, CapacitiesAndSuccessorAreDecodedUnchanged)
{
    FleetOwnerRow row{.m_host = {}, .m_incarnation = "1", .m_epoch = 3};
    row.m_capacity = {0.12, 10};
    row.m_best = {{0.5, 200}, Milliseconds{1'700}};
    row.m_successor = "host-2";
    row.m_successorIncarnation = "2";
    row.m_hasFailed = true;
    const auto decoded = decodeFleetOwnerRow(encodeRow(row));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(*decoded, row);
    const FleetCandidateRow candidate{"host-2", "2", {0.5, 200}, 3};
    const auto offer = decodeFleetCandidateRow(encodeRow(candidate));
    ASSERT_TRUE(offer);
    EXPECT_EQ(*offer, candidate);
    const auto earlier = decodeFleetOwnerRow(R"({"host":"h","incarnation":"1","epoch":3,"capacity":[1],"best":"all"})");
    ASSERT_TRUE(earlier) << "an unreadable capacity must be read as unknown";
    EXPECT_EQ(earlier->m_capacity, HostCapacity{});
    EXPECT_EQ(earlier->m_best, KnownCapacity{});
}

// Guards against a successor that counts a lease as over because of an odd entry (TWICE).
TEST(FleetRowsTest, SilentWorkersAreDecodedUnchanged)
{
    FleetOwnerRow row{.m_host = "host-1", .m_incarnation = "1", .m_epoch = 3};
    row.m_silentWorkers = {{"worker-1", Milliseconds{4'300}}, {"worker-2", Milliseconds{0}}};
    const auto decoded = decodeFleetOwnerRow(encodeRow(row));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(*decoded, row);
    const auto odd = decodeFleetOwnerRow(
        R"({"host":"h","incarnation":"1","epoch":3,"silent":[["a",-1],["b",1e30],["c"],[7,5],["",5],"d",["e",9223372036854775807],["f",5,6],["g",12]]})");
    ASSERT_TRUE(odd);
    EXPECT_EQ(odd->m_silentWorkers, (std::vector<SilentWorker>{{"g", Milliseconds{12}}}));
}

// Guards against missing counts that are read as zero waiting jobs (MIXED, incident of 2026-12-05).
TEST(FleetRowsTest, CountsWithoutAnAgeAreNoCounts)
{
    const FleetOwnerRow uncounted{"host-1", "0123456789abcdef", 3, 12, {}, {}};
    EXPECT_FALSE(decodeFleetOwnerRow(encodeRow(uncounted))->m_waitingAge);
    EXPECT_FALSE(decodeFleetOwnerRow(R"({"host":"h","incarnation":"1","epoch":3,"waiting":{"queue":1}})")->m_waitingAge);
}

// Guards against a model that outgrows its row, with which the store refuses the changes of all jobs (LOST, review/6): a hundred images of each kind.
TEST(FleetRowsTest, TheModelFitsIntoOneRow)
{
    constexpr std::size_t rowBytes = 65'536;
    constexpr int images = 100;
    std::vector<InterferencePair> pairs;
    for (int fill = 0; fill < images; ++fill) {
        for (int serving = 0; serving < images; ++serving) {
            pairs.push_back({"fill-" + std::to_string(fill), "serving-" + std::to_string(serving), 7.25, 0.01 * (1 + fill)});
        }
    }
    const auto row = encodeModelRow(pairs, rowBytes);
    EXPECT_LE(row.size(), rowBytes);
    EXPECT_GT(row.size(), rowBytes / 2);
    const auto decoded = decodeModelRow(row);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->front().m_fill, "fill-0") << "what is known best is kept";
    pairs.resize(1);
    EXPECT_EQ(decodeModelRow(encodeModelRow(pairs, rowBytes)), pairs);
    EXPECT_TRUE(decodeModelRow(encodeModelRow({{std::string(rowBytes, 'x'), "serving", 1.0, 0.1}}, rowBytes))->empty());
}

// Guards against a successor that has to learn the interference between images again.
TEST(FleetRowsTest, InterferencePairsAreDecodedUnchanged)
{
    const std::vector<InterferencePair> pairs{{"fill", "serving", 7.25, 0.5}};
    const auto decoded = decodeModelRow(encodeRow(std::span(pairs)));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(*decoded, pairs);
}

// Guards against rows of other writers and truncated values that are decoded in part instead of being refused.
TEST(FleetRowsTest, UnreadableRowsAreErrors)
{
    const std::string job = encodeRow(sampleJob());
    for (const std::string_view value : {std::string_view(""),
                                         std::string_view("{}"),
                                         std::string_view("[]"),
                                         std::string_view("\xff\xfe"),
                                         std::string_view(job).substr(0, job.size() / 2)}) {
        EXPECT_FALSE(decodeJobRow(value, sampleJob().m_id)) << value;
        EXPECT_FALSE(decodeFirstProgressRow(value)) << value;
        EXPECT_FALSE(decodeFleetOwnerRow(value)) << value;
        EXPECT_FALSE(decodeModelRow(value)) << value;
        EXPECT_FALSE(decodeFleetCandidateRow(value)) << value;
    }
    EXPECT_FALSE(decodeFirstProgressRow(R"({"state":"running","next":1,"open":[{"k":0,"steps":[[[9,1,0,"w",1,""]]]}]})"));
    EXPECT_FALSE(decodeFirstProgressRow(R"({"state":"unheard","next":1,"open":[]})"));
    EXPECT_FALSE(decodeJobRow(std::string(100'000, '['), sampleJob().m_id));
}

// Guards against two submissions of one id in different partitions, which would be two jobs.
TEST(FleetRowsTest, KeysOfAJobShareOnePartition)
{
    EXPECT_EQ(jobKey("5c0e7a21d94b36f8"), "jobs/5/5c0e7a21d94b36f8");
    EXPECT_EQ(cancelKey("5c0e7a21d94b36f8"), "jobs/5/5c0e7a21d94b36f8.cancel");
    EXPECT_EQ(jobKey("F000000000000000"), "jobs/f/F000000000000000");
    EXPECT_EQ(progressKey("5c0e7a21d94b36f8"), "progress/fleet/5c0e7a21d94b36f8");
    EXPECT_EQ(rowName("jobs/5/5c0e7a21d94b36f8.cancel"), "5c0e7a21d94b36f8.cancel");
    EXPECT_EQ(rowName("servers//worker"), "worker");
    EXPECT_EQ(rowName("broken"), "");
}

// Guards against final rows in another partition than their submission, and against final rows without their state.
TEST(FleetRowsTest, FinalRowsKeepTheirStateInThePartitionOfTheirSubmission)
{
    EXPECT_EQ(finalKey("5c0e7a21d94b36f8"), "final/5/5c0e7a21d94b36f8");
    const FinalRow row{JobPhase::Failed, TaskJob::WallTime(Milliseconds{1'800'000'000'000})};
    EXPECT_EQ(decodeFinalRow(encodeRow(row)).value(), row);
    EXPECT_FALSE(decodeFinalRow(encodeRow(FinalRow{JobPhase::Running, {}})));
    EXPECT_FALSE(decodeFinalRow("{}"));
}

// Guards against a row of another writer that would start a job a second time under its own id, or with values that overflow when times
// are computed from them.
TEST(FleetRowsTest, OddRowsOfJobsAreErrors)
{
    const auto id = sampleJob().m_id;
    EXPECT_FALSE(decodeJobRow(encodeRow(sampleJob()), "5c0e7a21d94b36f9"));
    const auto expectRefused = [&id](auto change) {
        auto job = sampleJob();
        change(job);
        EXPECT_FALSE(decodeJobRow(encodeRow(job), id));
    };
    expectRefused([](TaskJob &job) {
        job.m_steps[0].m_estimate = Milliseconds(largest);
    });
    expectRefused([](TaskJob &job) {
        job.m_steps[0].m_estimate = Milliseconds(-1);
    });
    expectRefused([](TaskJob &job) {
        job.m_steps[0].m_demand.m_cpuMillis = largest;
    });
    expectRefused([](TaskJob &job) {
        job.m_firstDue = TaskJob::WallTime(Milliseconds(largest));
    });
    expectRefused([](TaskJob &job) {
        job.m_interval = Milliseconds(largest);
    });
}

// Guards against a task of a row that another writer left, read as one that never ran because its number was cut to 32 bits.
TEST(FleetRowsTest, OddNumbersOfTasksAreErrors)
{
    for (const std::string_view task : {"4294967296", "-1", "0.5", "18446744073709551616", "[1,-1,0,\"w\",1,\"\"]", "[1,1,0,\"w\",1e30,\"\"]"}) {
        EXPECT_FALSE(decodeFirstProgressRow(R"({"state":"running","next":1,"open":[{"k":0,"steps":[[)" + std::string(task) + "]]}]}")) << task;
    }
}

// Guards against a row that makes every host wait for a stronger one that does not exist, or counts with an impossible age.
TEST(FleetRowsTest, OddCapacitiesAndAgesAreUnknown)
{
    const auto row = decodeFleetOwnerRow(
        R"({"host":"h","incarnation":"1","epoch":3,"capacity":[1e300,5],"best":[-1,5],"best_age":-7,"waiting_age":9223372036854775807,"waiting":{}})");
    ASSERT_TRUE(row);
    EXPECT_EQ(row->m_capacity, HostCapacity{});
    EXPECT_EQ(row->m_best, KnownCapacity{});
    EXPECT_FALSE(row->m_waitingAge);
}

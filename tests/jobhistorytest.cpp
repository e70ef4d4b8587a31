#include "burdockspur/operations/jobhistory.hpp"
#include "burdockspur/operations/log.hpp"

#include <gtest/gtest.h>

#include <sstream>

using namespace Burdockspur;

namespace
{
constexpr std::string_view prefix = "  12.5 host-a ts=2026-08-10T00:00:";

/// A log line with the prefix of a log collector.
auto line(std::string_view second, std::string_view fields) -> std::string
{
    return std::string(prefix) + std::string(second) + "Z program=burdockspur-host host=host-a level=info " + std::string(fields) + "\n";
}

auto historyOf(const std::string &logs) -> JobHistory
{
    JobHistory history("j1");
    std::istringstream stream(logs);
    history.read(stream);
    return history;
}

auto eventsOf(const JobHistory &history) -> std::string
{
    std::string events;
    for (const auto *const entry : history.lines()) {
        events.append(events.empty() ? "" : " ").append(entry->event());
    }
    return events;
}
}

// Guards against quoted values that are cut at a space or keep their escapes.
TEST(LogLineTest, QuotedValuesAreParsed)
{
    const auto read = LogLine::parse(R"(ts=2026-08-10T00:00:01.000Z event=call_answered reason="a \"late\" answer\nof two" status=503)");
    ASSERT_TRUE(read);
    EXPECT_EQ(read->value("reason"), "a \"late\" answer\nof two");
    EXPECT_EQ(read->value("status"), "503");
    EXPECT_EQ(read->value("worker"), "");
}

// Guards against values that logEvent() quotes in a way that LogLine does not parse.
TEST(LogLineTest, WrittenValuesAreParsed)
{
    const std::string_view value = "C:\\data=\"x y\"\n";
    const auto read = LogLine::parse("ts=2026-08-10T00:00:01.000Z " + formatLogLine("job_seen", {{"reason", value}, {"empty", ""}, {"steps", 2}}));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->value("reason"), value);
    EXPECT_EQ(read->value("empty"), "");
    EXPECT_EQ(read->value("steps"), "2");
}

// Guards against other text in a log that is taken for a log line.
TEST(LogLineTest, OtherTextIsNotALogLine)
{
    for (const std::string_view text : {"", "ts=", "ts=2026", "plain words", "ts=1 event", "ts=1 event=\"", "event=start"}) {
        EXPECT_FALSE(LogLine::parse(text)) << text;
    }
}

// Guards against lines in the order of the files: logs are collected host by host, so later lines may come first.
TEST(JobHistoryTest, LinesOfAllHostsAreSortedByTime)
{
    const auto history =
        historyOf(line("03.000", "event=run_ended job=j1 task=j1.0.0.0 run=1 worker=w1 how=done") + line("01.000", "event=job_seen job=j1 waiting=4")
                  + line("02.000", "event=task_assigned job=j1 task=j1.0.0.0 run=1 worker=w1"));
    EXPECT_EQ(eventsOf(history), "job_seen task_assigned run_ended");
}

// Guards against a history without the cause of a delay, which is often in a line that does not name the job: a line about
// its worker, the owner or the table service.
TEST(JobHistoryTest, LinesAboutItsWorkersAndOwnersAreIncluded)
{
    const auto history =
        historyOf(line("00.500", "event=table_unreachable") + line("01.000", "event=job_seen job=j1")
                  + line("02.000", "event=task_assigned job=j1 task=j1.0.0.0 run=1 worker=w1") + line("02.100", "event=worker_unlisted worker=w1")
                  + line("02.200", "event=worker_unlisted worker=w2") + line("02.300", "event=ownership_begun epoch=2")
                  + line("02.400", "event=task_assigned job=j2 worker=w1") + line("02.500", "event=log_suppressed lines=7")
                  + line("03.000", "event=run_lost job=j1 task=j1.0.0.0 run=1 worker=w1") + line("04.000", "event=worker_unlisted worker=w1"));
    EXPECT_EQ(eventsOf(history), "job_seen task_assigned worker_unlisted ownership_begun log_suppressed run_lost");
}

// Guards against a critical path with missing or wrong waits when a step waits for another and a run is lost.
TEST(JobHistoryTest, TheCriticalPathContainsEachWaitAndRun)
{
    // Step 1 waits for step 0, whose second task is lost once.
    const auto history = historyOf(
        line("01.000", "event=job_seen job=j1") + line("01.010", "event=task_assigned job=j1 task=j1.0.0.0 run=1 worker=w1")
        + line("01.030", "event=start_answered job=j1 task=j1.0.0.0 run=1 outcome=accepted")
        + line("01.500", "event=run_ended job=j1 task=j1.0.0.0 run=1 how=done") + line("01.010", "event=task_assigned job=j1 task=j1.0.0.1 run=1 worker=w2")
        + line("01.040", "event=start_answered job=j1 task=j1.0.0.1 run=1 outcome=accepted")
        + line("02.040", "event=run_lost job=j1 task=j1.0.0.1 run=1 reason=lease_lapsed")
        + line("02.240", "event=task_assigned job=j1 task=j1.0.0.1 run=2 worker=w1")
        + line("02.250", "event=start_answered job=j1 task=j1.0.0.1 run=2 outcome=accepted")
        + line("02.750", "event=run_ended job=j1 task=j1.0.0.1 run=2 how=done") + line("03.750", "event=task_assigned job=j1 task=j1.0.1.0 run=1 worker=w1")
        + line("03.760", "event=start_answered job=j1 task=j1.0.1.0 run=1 outcome=accepted")
        + line("04.060", "event=run_ended job=j1 task=j1.0.1.0 run=1 how=done"));
    std::vector<std::pair<std::string, std::int64_t>> path;
    for (const auto &segment : history.criticalPath()) {
        path.emplace_back(segment.m_activity, segment.m_duration.count());
    }
    const std::vector<std::pair<std::string, std::int64_t>> expected{{"wait for a worker", 10},
                                                                     {"order of run 1 to w2", 30},
                                                                     {"run 1 on w2 ended lease_lapsed", 1000},
                                                                     {"wait for a worker", 200},
                                                                     {"order of run 2 to w1", 10},
                                                                     {"run 2 on w1 ended done", 500},
                                                                     {"wait for a worker", 1000},
                                                                     {"order of run 1 to w1", 10},
                                                                     {"run 1 on w1 ended done", 300}};
    EXPECT_EQ(path, expected);
    EXPECT_NE(history.report().find("    1000 ms  j1.0.1.0  wait for a worker\n"), std::string::npos) << history.report();
}

// Guards against a long wait whose cause is only in the lines before the path: the last guard that held the job back is part of the path.
TEST(JobHistoryTest, AWaitNamesTheGuardThatHeldTheJobBack)
{
    const auto history = historyOf(
        line("01.000", "event=job_seen job=j1") + line("02.500", "event=task_held_back job=j1 task=j1.0.0.0 guard=unused_cpu unused_cpu=9 headroom=3")
        + line("07.500", "event=task_held_back job=j1 task=j1.0.0.0 guard=headroom unused_cpu=4 headroom=8 reserved_worker=\"\"")
        + line("08.000", "event=task_assigned job=j1 task=j1.0.0.0 run=1 worker=w1") + line("09.000", "event=run_ended job=j1 task=j1.0.0.0 run=1 how=done"));
    ASSERT_FALSE(history.criticalPath().empty());
    EXPECT_EQ(history.criticalPath().front().m_activity, "wait for a worker, held back by headroom");
}

// Guards against an operator who is not told where a large task will start.
TEST(JobHistoryTest, AWaitNamesTheWorkerWhoseRoomIsReserved)
{
    const auto history = historyOf(line("01.000", "event=job_seen job=j1")
                                   + line("02.500", "event=task_held_back job=j1 task=j1.0.0.0 guard=room room=9 reserved_worker=w7 reserved_in_ms=420")
                                   + line("03.000", "event=task_assigned job=j1 task=j1.0.0.0 run=1 worker=w7")
                                   + line("04.000", "event=run_ended job=j1 task=j1.0.0.0 run=1 how=done"));
    ASSERT_FALSE(history.criticalPath().empty());
    EXPECT_EQ(history.criticalPath().front().m_activity, "wait for a worker, held back by room, room on w7 expected 420 ms later");
}

// Guards against a report that fails while the job still runs or while lines are missing.
TEST(JobHistoryTest, AnUnfinishedJobIsReportedWithoutACriticalPath)
{
    const auto history = historyOf(line("01.000", "event=job_seen job=j1") + line("01.010", "event=task_assigned job=j1 task=j1.0.0.0 run=1 worker=w1"));
    EXPECT_TRUE(history.criticalPath().empty());
    EXPECT_NE(history.report().find("no run of the job has ended"), std::string::npos);
}

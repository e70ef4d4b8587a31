#include "standins/workeraudit.hpp"
#include "standins/workerfaults.hpp"
#include "standins/workermodel.hpp"
#include "standins/workerspec.hpp"

#include "burdockspur/core/randomsource.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;
using namespace Burdockspur::Standins;
using namespace std::chrono_literals;

namespace
{
/// @brief Tests a worker with 2 cores and 2 slots whose clock the test advances.
class StandinWorkerTest : public testing::Test
{
protected:
    StandinWorkerTest()
        : m_spec(smallSpec())
        , m_audit(m_spec)
        , m_random(1)
        , m_model(m_spec, m_faults, m_audit, m_random)
    {
    }

    [[nodiscard]] static auto smallSpec() -> WorkerSpec
    {
        WorkerSpec spec;
        spec.m_capacity = {2'000, 1'000, 1};
        spec.m_slots = 2;
        return spec;
    }

    auto advanceBy(Duration time) -> void
    {
        m_now += time;
        m_audit.setTime(m_now, 0);
        m_model.advance(m_now);
    }

    [[nodiscard]] auto answer(std::optional<ReportId> report, Epoch epoch = 1, std::vector<AttemptId> acknowledged = {}) -> std::expected<LeaseReport, Epoch>
    {
        return m_model.tasks().renewLease(m_now, {0, epoch, "e1", 10s, std::move(acknowledged), std::move(report)});
    }

    /// @brief Answers the latest report and, if that grants no lease, at once the report that follows.
    [[nodiscard]] auto renew(Epoch epoch, const std::vector<AttemptId> &acknowledged = {}) -> std::expected<LeaseReport, Epoch>
    {
        auto report = answer(m_latest, epoch, acknowledged);
        if (report && !report->m_granted) {
            report = answer(report->m_report, epoch);
            EXPECT_TRUE(report->m_granted);
        }
        m_latest = report ? report->m_report : m_latest;
        return report;
    }

    [[nodiscard]] auto start(std::string_view task, AttemptNumber attempt, Epoch epoch = 1) -> OrderAnswer
    {
        m_order.m_attempt = {std::string(task), attempt};
        m_order.m_epoch = epoch;
        return m_model.tasks().start(m_now, m_order);
    }

    [[nodiscard]] auto stop(std::string_view task, AttemptNumber attempt, Epoch epoch = 1) -> std::expected<AttemptReport, OrderAnswer>
    {
        return m_model.tasks().stop(m_now, {0, epoch, {std::string(task), attempt}});
    }

    [[nodiscard]] auto request(std::string_view id, std::string_view key = {}, Duration time = 5ms) -> RequestStatus
    {
        return m_model.startRequest(m_now, {id, key, "routes", "body", time});
    }

    [[nodiscard]] auto settle(std::string_view id) -> RequestState
    {
        return m_model.requests().settle(m_now, id).m_state;
    }

    static auto batchOrder() -> StartOrder
    {
        StartOrder order;
        order.m_spec.m_class = "render";
        order.m_spec.m_demand = {1'000, 100, 0};
        order.m_spec.m_durationMs = 1'000;
        order.m_spec.m_payload = "sky";
        return order;
    }

    WorkerSpec m_spec;
    WorkerFaults m_faults;
    WorkerAudit m_audit;
    RandomSource m_random;
    WorkerModel m_model;
    StartOrder m_order = batchOrder();
    std::optional<ReportId> m_latest;
    TimePoint m_now = TimePoint{} + 1h;
};
}

// Guards against completions that are reported only once, or still after they were acknowledged.
TEST_F(StandinWorkerTest, CompletionIsReportedUntilAcknowledged)
{
    ASSERT_TRUE(renew(1));
    EXPECT_EQ(start("j1", 1), OrderAnswer::Done);
    EXPECT_EQ(start("j1", 1), OrderAnswer::AlreadyKnown);
    advanceBy(500ms);
    EXPECT_EQ(renew(1)->m_attempts.at(0).m_progressPercent, 50);
    advanceBy(500ms);
    for (int i = 0; i < 2; ++i) {
        const auto report = renew(1);
        ASSERT_EQ(report->m_attempts.size(), 1U);
        EXPECT_EQ(report->m_attempts[0].m_state, AttemptState::Completed);
        EXPECT_EQ(report->m_attempts[0].m_result, hexOf(hashOf("sky")));
    }
    EXPECT_TRUE(renew(1, {{"j1", 1}})->m_attempts.empty());
    EXPECT_EQ(start("j1", 1), OrderAnswer::Tombstoned);
    EXPECT_EQ(m_audit.counts().m_completions, 1);
}

// Guards against two attempts of a task at once, and against an older attempt that starts again.
TEST_F(StandinWorkerTest, OneAttemptOfATaskAtATime)
{
    ASSERT_TRUE(renew(1));
    EXPECT_EQ(start("j1", 2), OrderAnswer::Done);
    EXPECT_EQ(start("j1", 1), OrderAnswer::Superseded);
    EXPECT_EQ(start("j1", 3), OrderAnswer::Superseded);
    EXPECT_EQ(stop("j1", 2)->m_state, AttemptState::Stopped);
    EXPECT_EQ(start("j1", 1), OrderAnswer::Superseded);
    EXPECT_EQ(start("j1", 3), OrderAnswer::Done);
}

// Guards against an attempt that starts although its stop arrived first.
TEST_F(StandinWorkerTest, StopOfAnUnknownAttemptLeavesATombstone)
{
    ASSERT_TRUE(renew(1));
    EXPECT_EQ(stop("j1", 1)->m_state, AttemptState::NeverStarted);
    EXPECT_EQ(start("j1", 1), OrderAnswer::Tombstoned);
    EXPECT_EQ(start("j1", 2), OrderAnswer::Done);
    EXPECT_EQ(m_audit.counts().m_startsAfterTombstone, 0);
}

// Guards against accepting orders from a scheduler that has lost the shard.
TEST_F(StandinWorkerTest, LowerEpochIsRefused)
{
    ASSERT_TRUE(renew(1));
    EXPECT_EQ(start("j1", 1), OrderAnswer::Done);
    EXPECT_EQ(renew(2)->m_attempts.size(), 1U);
    EXPECT_EQ(renew(1).error(), 2U);
    EXPECT_EQ(start("j2", 1), OrderAnswer::StaleEpoch);
    EXPECT_EQ(stop("j1", 1).error(), OrderAnswer::StaleEpoch);
    EXPECT_EQ(start("j2", 1, 3), OrderAnswer::NoLease);
    EXPECT_EQ(start("j2", 1, 2), OrderAnswer::Done);
}

// Guards against tasks that run after their lease has lapsed, and against losing the checkpoint when it lapses.
TEST_F(StandinWorkerTest, LapsedLeaseStopsItsTasks)
{
    m_order.m_spec.m_kind = JobKind::Watcher;
    EXPECT_EQ(start("w1", 1), OrderAnswer::NoLease);
    ASSERT_TRUE(renew(1));
    EXPECT_EQ(start("w1", 1), OrderAnswer::Done);
    EXPECT_EQ(m_model.nextEvent(), m_now + 10s);
    const auto checkpoint = m_model.tasks().checkpoint(m_now, {0, 1, {"w1", 1}});
    advanceBy(10s);
    EXPECT_EQ(start("w2", 1), OrderAnswer::NoLease);
    const auto report = renew(1);
    ASSERT_EQ(report->m_attempts.size(), 1U);
    EXPECT_EQ(report->m_attempts[0].m_state, AttemptState::Stopped);
    EXPECT_EQ(report->m_attempts[0].m_checkpoint, *checkpoint);
    EXPECT_EQ(m_audit.counts().m_lapses, 1);
    EXPECT_EQ(m_model.nextEvent(), std::nullopt);
}

// Guards against a task that continues after a pause although its lease lapsed during the pause.
TEST_F(StandinWorkerTest, PauseLongerThanTheLeaseStopsTasks)
{
    m_order.m_spec.m_durationMs = 9'000;
    ASSERT_TRUE(renew(1));
    EXPECT_EQ(start("j1", 1), OrderAnswer::Done);
    m_model.postpone(20s);
    advanceBy(20s);
    EXPECT_EQ(renew(1)->m_attempts.at(0).m_state, AttemptState::Stopped);
}

// Guards against delayed renewals and starts that renew a lapsed lease on a worker that was paused or restarted.
TEST_F(StandinWorkerTest, DelayedRenewalDoesNotRenewALapsedLease)
{
    m_model.tasks().setIncarnation("first");
    const auto first = answer(std::nullopt);
    EXPECT_FALSE(first->m_granted);
    EXPECT_EQ(start("j1", 1), OrderAnswer::NoLease);
    EXPECT_TRUE(answer(first->m_report)->m_granted);
    advanceBy(9s);
    EXPECT_TRUE(answer(first->m_report)->m_granted);
    EXPECT_EQ(start("j1", 1), OrderAnswer::Done);
    EXPECT_EQ(answer(first->m_report, 2)->m_report.m_number, 4U);
    EXPECT_EQ(start("j2", 1, 2), OrderAnswer::NoLease) << "the report was made for another epoch";
    advanceBy(1s);
    EXPECT_EQ(m_audit.counts().m_lapses + m_audit.counts().m_completions, 1) << "the lease counts from the report";
    const auto held = answer(std::nullopt, 2);
    advanceBy(10s);
    EXPECT_FALSE(answer(held->m_report, 2)->m_granted);
    EXPECT_EQ(start("j2", 1, 2), OrderAnswer::NoLease);
    const auto last = answer(std::nullopt, 2);
    m_model.crash(m_now);
    m_model.tasks().setIncarnation("second");
    const auto restarted = answer(last->m_report, 1);
    EXPECT_FALSE(restarted->m_granted) << "a former owner's renewal after the restart";
    EXPECT_FALSE(answer(ReportId{"first", restarted->m_report.m_number}, 1)->m_granted);
    EXPECT_EQ(start("j2", 1), OrderAnswer::NoLease);
    EXPECT_TRUE(answer(restarted->m_report, 1)->m_granted);
}

// Guards against memory that grows with the reports of a worker.
TEST_F(StandinWorkerTest, OnlyRecentReportsAreAnswerable)
{
    const auto first = answer(std::nullopt);
    auto last = first;
    for (int i = 0; i < 16; ++i) {
        last = answer(std::nullopt);
    }
    EXPECT_FALSE(answer(first->m_report)->m_granted);
    EXPECT_TRUE(answer(last->m_report)->m_granted);
}

// Guards against a resumed task that starts from the beginning, and a throttled task that does not slow down.
TEST_F(StandinWorkerTest, CheckpointResumesAndThrottleSlowsDown)
{
    ASSERT_TRUE(renew(1));
    EXPECT_EQ(start("j-1", 1), OrderAnswer::Done);
    advanceBy(400ms);
    const auto checkpoint = m_model.tasks().checkpoint(m_now, {0, 1, {"j-1", 1}});
    EXPECT_EQ(*checkpoint, "j-1-1-40");
    EXPECT_EQ(stop("j-1", 1)->m_checkpoint, *checkpoint);
    m_order.m_checkpoint = *checkpoint;
    EXPECT_EQ(start("j-1", 2), OrderAnswer::Done);
    EXPECT_EQ(m_model.nextEvent(), m_now + 600ms);
    EXPECT_EQ(m_model.tasks().throttle(m_now, {0, 1, {"j-1", 2}}, 50), OrderAnswer::Done);
    EXPECT_EQ(m_model.nextEvent(), m_now + 1200ms);
    EXPECT_EQ(m_model.tasks().throttle(m_now, {0, 1, {"j-1", 2}}, 0), OrderAnswer::BadOrder);
}

// Guards against starts that exceed the capacity, and starts while the worker is leaving.
TEST_F(StandinWorkerTest, CapacityAndLeavingRefuseStarts)
{
    ASSERT_TRUE(renew(1));
    EXPECT_EQ(start("j1", 1), OrderAnswer::Done);
    EXPECT_EQ(start("j2", 1), OrderAnswer::Done);
    EXPECT_EQ(start("j3", 1), OrderAnswer::NoCapacity);
    EXPECT_EQ(m_audit.counts().m_peakCpuMillis, 2'000);
    EXPECT_EQ(stop("j2", 1)->m_state, AttemptState::Stopped);
    m_faults.m_leaving.m_value = 1;
    EXPECT_EQ(start("j3", 1), OrderAnswer::Leaving);
    EXPECT_EQ(start("j1", 1), OrderAnswer::AlreadyKnown);
    EXPECT_TRUE(renew(1)->m_leaving);
    advanceBy(1s);
    EXPECT_EQ(renew(1)->m_attempts.at(0).m_state, AttemptState::Completed);
}

// Guards against task faults that have no effect.
TEST_F(StandinWorkerTest, TaskFaults)
{
    ASSERT_TRUE(renew(1));
    m_order.m_spec.m_payload = "fail after a second";
    m_faults.m_durationFactor.m_value = 3;
    EXPECT_EQ(start("j1", 1), OrderAnswer::Done);
    m_faults.m_failAllTasks.m_value = 1;
    m_order.m_spec.m_payload = "sky";
    EXPECT_EQ(start("j2", 1), OrderAnswer::Done);
    EXPECT_EQ(m_model.nextEvent(), m_now);
    advanceBy(0ms);
    EXPECT_EQ(stop("j2", 1)->m_state, AttemptState::Failed);
    EXPECT_EQ(m_model.nextEvent(), m_now + 3s);
    advanceBy(3s);
    EXPECT_EQ(stop("j1", 1)->m_state, AttemptState::Failed);
}

// Guards against usage that is reported at once despite a configured lag.
TEST_F(StandinWorkerTest, UsageIsReportedAfterTheLag)
{
    m_faults.m_usageLagMs.m_value = 300;
    m_faults.m_usageFactor.m_value = 2;
    ASSERT_TRUE(renew(1));
    EXPECT_EQ(start("j1", 1), OrderAnswer::Done);
    advanceBy(299ms);
    EXPECT_EQ(renew(1)->m_usage, Resources{});
    advanceBy(1ms);
    EXPECT_EQ(renew(1)->m_usage, (Resources{2'000, 200, 0}));
    advanceBy(900ms);
    EXPECT_EQ(renew(1)->m_usage, (Resources{2'000, 200, 0}));
    advanceBy(200ms);
    EXPECT_EQ(renew(1)->m_usage, Resources{});
}

// Guards against memory that grows with every task ever run.
TEST_F(StandinWorkerTest, AcknowledgedAttemptsAreRemoved)
{
    ASSERT_TRUE(renew(1));
    EXPECT_EQ(start("j1", 1), OrderAnswer::Done);
    EXPECT_EQ(stop("j2", 1)->m_state, AttemptState::NeverStarted);
    advanceBy(1s);
    ASSERT_TRUE(renew(1, {{"j1", 1}}));
    advanceBy(m_spec.m_attemptRetention);
    EXPECT_EQ(m_model.tasks().endedCount(), 0U);
}

// Guards against a request id or key that is executed twice, and against the answer of another request.
TEST_F(StandinWorkerTest, RequestIdsAndKeysRunOnce)
{
    const auto first = request("r1", "k1");
    EXPECT_EQ(first.m_state, RequestState::Running);
    EXPECT_EQ(request("r1").m_execution, first.m_execution);
    EXPECT_EQ(request("r2", "k1").m_execution, first.m_execution);
    EXPECT_EQ(settle("r2"), RequestState::Running);
    advanceBy(5ms);
    const auto ended = m_model.requests().takeEnded();
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(m_model.requests().body(ended[0].m_execution), "routes:" + hexOf(hashOf("body")) + ":body");
    EXPECT_EQ(request("r3", "k1").m_state, RequestState::Answered);
    EXPECT_EQ(settle("r3"), RequestState::Answered);
    EXPECT_EQ(m_audit.counts().m_requests, 1);
}

// Guards against a request that runs after a settle call reported that it never started.
TEST_F(StandinWorkerTest, SettledRequestNeverStarts)
{
    EXPECT_EQ(settle("r1"), RequestState::NeverStarted);
    EXPECT_EQ(request("r1").m_state, RequestState::NeverStarted);
    EXPECT_EQ(settle("r1"), RequestState::NeverStarted);
    EXPECT_EQ(m_audit.counts().m_requests, 0);
}

// Guards against more running requests than slots, and against request faults that have no effect.
TEST_F(StandinWorkerTest, SlotsLeavingAndFailures)
{
    m_faults.m_failRequests = {1, 1, {}};
    EXPECT_EQ(request("r1").m_state, RequestState::Running);
    EXPECT_EQ(request("r2").m_state, RequestState::Running);
    EXPECT_EQ(request("r3").m_state, RequestState::SlotsExhausted);
    advanceBy(5ms);
    EXPECT_EQ(settle("r1"), RequestState::Failed);
    EXPECT_EQ(settle("r2"), RequestState::Answered);
    m_faults.m_leaving.m_value = 1;
    EXPECT_EQ(request("r3").m_state, RequestState::Leaving);
    EXPECT_EQ(request("r2").m_state, RequestState::Answered);
    EXPECT_EQ(m_audit.counts().m_peakSlots, 2);
}

// Guards against noise that applies although no task of its class runs, and against `slow` without effect.
TEST_F(StandinWorkerTest, NoiseAndSlownessLengthenRequests)
{
    m_faults.m_noise = {3, {}, "render"};
    EXPECT_EQ(request("r1").m_state, RequestState::Running);
    EXPECT_EQ(m_model.nextEvent(), m_now + 5ms);
    advanceBy(5ms);
    ASSERT_TRUE(renew(1));
    EXPECT_EQ(start("j1", 1), OrderAnswer::Done);
    m_faults.m_slow.m_value = 2;
    EXPECT_EQ(request("r2").m_state, RequestState::Running);
    EXPECT_EQ(m_model.nextEvent(), m_now + 17ms);
}

// Guards against memory that grows with every request.
TEST_F(StandinWorkerTest, AnswersAndTombstonesAreRemoved)
{
    EXPECT_EQ(request("r1", "k1").m_state, RequestState::Running);
    EXPECT_EQ(request("r2", "k1").m_state, RequestState::Running);
    EXPECT_EQ(settle("r3"), RequestState::NeverStarted);
    advanceBy(5ms);
    advanceBy(m_spec.m_answerRetention - 1ms);
    EXPECT_EQ(m_model.requests().rememberedCount(), 2U);
    advanceBy(1ms);
    EXPECT_EQ(m_model.requests().rememberedCount(), 0U);
    EXPECT_EQ(request("r4", "k1").m_state, RequestState::Running);
    EXPECT_EQ(m_audit.counts().m_keysRepeated, 1);
}

// Guards against an audit that relies on the worker's state, which a crash drops.
TEST_F(StandinWorkerTest, AuditDetectsRepetitionsAfterACrash)
{
    ASSERT_TRUE(renew(1));
    EXPECT_EQ(start("j1", 1), OrderAnswer::Done);
    EXPECT_EQ(stop("j2", 1)->m_state, AttemptState::NeverStarted);
    EXPECT_EQ(request("r1", "k1").m_state, RequestState::Running);
    m_model.crash(m_now);
    EXPECT_EQ(m_model.tasks().assigned(), Resources{});
    ASSERT_TRUE(renew(1));
    EXPECT_EQ(start("j1", 1), OrderAnswer::Done);
    EXPECT_EQ(start("j2", 1), OrderAnswer::Done);
    EXPECT_EQ(request("r1", "k1").m_state, RequestState::Running);
    const auto &counts = m_audit.counts();
    EXPECT_EQ(counts.m_tasksCrashed, 1);
    EXPECT_EQ(counts.m_attemptsRepeated, 1);
    EXPECT_EQ(counts.m_startsAfterTombstone, 1);
    EXPECT_EQ(counts.m_requestsRepeated, 1);
    EXPECT_EQ(counts.m_keysRepeated, 1);
    const auto &entries = m_audit.journal().entries();
    EXPECT_EQ(entries.front().m_event, "task_started");
    EXPECT_EQ(entries.back().m_event, "request_started");
}

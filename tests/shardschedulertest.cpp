#include "burdockspur/shard/shardscheduler.hpp"
#include "burdockspur/shard/bestfitspread.hpp"
#include "burdockspur/shard/jobbatchcodec.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
/// @brief Runs a ShardScheduler; the tests answer its commands to the journal and the workers.
class ShardSchedulerTest : public ::testing::Test
{
protected:
    auto handle(const ShardEvent &event) -> void
    {
        m_scheduler.handle(event, m_now, m_random, m_commands);
    }

    auto tick(Milliseconds after = Milliseconds(60)) -> void
    {
        m_now += after;
        m_scheduler.tick(m_now, m_random, m_commands);
    }

    /// @brief Removes and returns the commands of one type.
    template<typename Command>
    auto takeCommands() -> std::vector<Command>
    {
        std::vector<Command> taken;
        ShardCommands left;
        for (auto &command : m_commands) {
            if (auto *const match = std::get_if<Command>(&command)) {
                taken.push_back(std::move(*match));
            } else {
                left.push_back(std::move(command));
            }
        }
        m_commands = std::move(left);
        return taken;
    }

    /// @brief Confirms all journal writes.
    /// @returns number of confirmed rows
    auto commitJournal() -> std::size_t
    {
        std::size_t rows = 0;
        for (const auto &row : takeCommands<WriteJournalRow>()) {
            ++rows;
            RowWritten answer;
            answer.m_row = ShardRow::Journal;
            answer.m_operation = row.m_operation;
            answer.m_status = CommitResult::Status::Committed;
            handle(answer);
        }
        return rows;
    }

    [[nodiscard]] static auto hostOf(std::string name, std::int64_t cpu = 4'000) -> HostRecord
    {
        HostRecord host;
        host.m_name = std::move(name);
        host.m_address = "127.0.0.1";
        host.m_port = 1;
        host.m_place.m_zone = "a";
        host.m_capacity = {.m_cpuMillis = cpu, .m_memoryMb = 8'000, .m_accelerators = 0};
        return host;
    }

    /// @brief Recovers a job that a previous owner assigned to a worker.
    auto recoverAssigned(const std::string &id, const std::string &worker) -> void
    {
        ShardContent content;
        JobRecord &record = content.m_records.emplace_back();
        record.m_job.m_id = id;
        record.m_job.m_attempt = 1;
        record.m_job.m_worker = worker;
        record.m_job.m_state = JobState::Assigned;
        m_scheduler.recover(content);
    }

    /// @brief Lists workers and answers their renewals until each has granted a lease.
    auto listWorkers(int count, std::int64_t cpu = 4'000) -> void
    {
        WorkersListed listed;
        for (int i = 0; i < count; ++i) {
            listed.m_workers.push_back(hostOf("w" + std::to_string(i), cpu));
        }
        handle(listed);
        tick();
        answerLeases({});
        // A worker grants the lease only when a renewal answers its first report.
        tick(Milliseconds(0));
        answerLeases({});
    }

    /// @brief Answers all renewals; each worker reports those of the attempts that are assigned to it.
    auto answerLeases(const std::vector<AttemptReport> &attempts) -> void
    {
        for (const auto &renewal : takeCommands<RenewLease>()) {
            LeaseReport report;
            report.m_report.m_number = ++m_reports;
            report.m_granted = renewal.m_renewal.m_answeredReport.has_value();
            for (const auto &attempt : attempts) {
                const JobEntry *const entry = std::as_const(m_scheduler).jobs().find(attempt.m_attempt.m_job);
                if (entry != nullptr && entry->m_record.m_job.m_worker == renewal.m_worker) {
                    report.m_attempts.push_back(attempt);
                }
            }
            handle(LeaseAnswered{.m_shard = 0, .m_epoch = 1, .m_worker = renewal.m_worker, .m_report = report});
        }
    }

    /// @brief Fails every renewal until the job's state changes, but no longer than a time.
    auto loseRenewals(const std::string &id, Milliseconds atMost) -> void
    {
        const JobState before = job(id).m_state;
        for (const TimePoint end = m_now + atMost; job(id).m_state == before && m_now < end;) {
            tick(Milliseconds(100));
            commitJournal();
            for (const auto &renewal : takeCommands<RenewLease>()) {
                handle(LeaseAnswered{.m_shard = 0, .m_epoch = 1, .m_worker = renewal.m_worker, .m_report = failure(ErrorCode::Timeout, "lost")});
            }
        }
    }

    auto submit(const std::string &id, std::int64_t cpu = 1'000, bool urgent = false) -> void
    {
        JobSpec spec;
        spec.m_demand = {.m_cpuMillis = cpu, .m_memoryMb = 100, .m_accelerators = 0};
        spec.m_urgent = urgent;
        handle(JobSubmitted{.m_ticket = {.m_link = 1, .m_correlation = ++m_ticket}, .m_job = id, .m_spec = spec});
    }

    auto tickAndCommit() -> void
    {
        for (int i = 0; i < 4; ++i) {
            tick();
            commitJournal();
        }
    }

    auto job(const std::string &id) -> const Job &
    {
        return m_scheduler.jobs().at(id).m_record.m_job;
    }

    auto answerStart(const StartAttempt &start, StartResult::Status status, std::string reason = {}) -> void
    {
        handle(StartAnswered{.m_shard = 0,
                             .m_epoch = 1,
                             .m_worker = start.m_worker,
                             .m_attempt = start.m_order.m_attempt,
                             .m_result = {.m_status = status, .m_reason = std::move(reason)}});
    }

    ShardSettings m_settings;
    Milliseconds m_leaseWait = m_settings.m_workerLease * 105 / 100 + Milliseconds(500); ///< longest lease by the owner's clock, with clock drift and margin
    BestFitSpread m_policy;
    RandomSource m_random{1};
    TimePoint m_now{std::chrono::hours(1)};
    ShardCommands m_commands;
    std::uint64_t m_ticket = 0;
    std::uint64_t m_reports = 0;
    ShardScheduler m_scheduler{{.m_shard = 0, .m_epoch = 1, .m_epochVersion = 1, .m_host = "h1", .m_since = m_now}, m_settings, m_policy};
};
}

// Guards against answers and starts that are sent before their journal row is durable.
TEST_F(ShardSchedulerTest, AnswersAndStartsWaitForTheJournal)
{
    listWorkers(1);
    submit("a");
    tick();
    EXPECT_TRUE(takeCommands<AnswerRequest>().empty());
    EXPECT_TRUE(takeCommands<StartAttempt>().empty());
    commitJournal();
    EXPECT_EQ(takeCommands<AnswerRequest>().size(), 1U);
    tickAndCommit();
    EXPECT_EQ(takeCommands<StartAttempt>().size(), 1U);
}

// Guards against a repeated submission that creates a second job, and against a job id that is accepted for two
// different specifications.
TEST_F(ShardSchedulerTest, SubmissionIsIdempotent)
{
    listWorkers(1);
    submit("a");
    submit("a");
    submit("a", 2'000);
    tickAndCommit();
    const auto answers = takeCommands<AnswerRequest>();
    ASSERT_EQ(answers.size(), 3U);
    EXPECT_FALSE(answers[0].m_result);
    EXPECT_EQ(m_scheduler.counters().m_submissions, 1U);
}

// Guards against a job that fits on no worker and blocks the jobs after it, or waits without a reason in its state.
TEST_F(ShardSchedulerTest, UnschedulableJobIsReportedAndBlocksNoOtherJob)
{
    listWorkers(1);
    submit("huge", 100'000);
    submit("small");
    tickAndCommit();
    EXPECT_EQ(job("huge").m_state, JobState::Unschedulable);
    EXPECT_FALSE(job("huge").m_reason.empty());
    EXPECT_EQ(job("small").m_state, JobState::Assigned);
    listWorkers(1, 200'000);
    tickAndCommit();
    EXPECT_EQ(job("huge").m_state, JobState::Assigned);
}

// Guards against batch jobs on capacity that is reserved for services.
TEST_F(ShardSchedulerTest, ServiceReservationStaysFree)
{
    handle(PolicyChanged{.m_reservation = {.m_cpuMillis = 3'000, .m_memoryMb = 0, .m_accelerators = 0}, .m_acceptBatch = true});
    listWorkers(1);
    submit("a");
    submit("b");
    tickAndCommit();
    EXPECT_EQ(job("a").m_state, JobState::Assigned);
    EXPECT_EQ(job("b").m_state, JobState::Queued);
}

// Guards against unbounded memory use while the store is unavailable, and against leases that are not renewed then.
TEST_F(ShardSchedulerTest, OutageBoundsSubmissionsAndKeepsLeases)
{
    m_settings.m_maxPendingChanges = 3;
    listWorkers(1);
    for (int i = 0; i < 5; ++i) {
        submit("j" + std::to_string(i));
    }
    const auto answers = takeCommands<AnswerRequest>();
    ASSERT_EQ(answers.size(), 2U);
    EXPECT_EQ(answers[0].m_result.error().m_code, ErrorCode::Overloaded);
    tick(m_settings.m_renewal);
    EXPECT_EQ(takeCommands<RenewLease>().size(), 1U);
}

// Guards against a start without an answer that is repeated with another attempt number or on another worker.
TEST_F(ShardSchedulerTest, AmbiguousStartIsRepeatedWithTheSameAttempt)
{
    listWorkers(2);
    submit("a");
    tickAndCommit();
    const auto first = takeCommands<StartAttempt>();
    ASSERT_EQ(first.size(), 1U);
    answerStart(first[0], StartResult::Status::Unknown);
    tick(Milliseconds(500));
    const auto second = takeCommands<StartAttempt>();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(second[0].m_order.m_attempt, first[0].m_order.m_attempt);
    EXPECT_EQ(second[0].m_worker, first[0].m_worker);
}

// Guards against a start that is repeated after a restart of the worker, where the same attempt would run again.
TEST_F(ShardSchedulerTest, RestartOfTheWorkerStopsAStartWithoutAnAnswer)
{
    listWorkers(1);
    submit("a");
    tickAndCommit();
    const auto starts = takeCommands<StartAttempt>();
    ASSERT_EQ(starts.size(), 1U);
    answerStart(starts.front(), StartResult::Status::Unknown);
    LeaseReport report;
    report.m_report = {.m_incarnation = "second", .m_number = 1};
    while (takeCommands<RenewLease>().empty()) {
        tick(Milliseconds(10));
        ASSERT_LE(takeCommands<StartAttempt>().size(), 1U) << "no renewal is sent";
    }
    handle(LeaseAnswered{.m_shard = 0, .m_epoch = 1, .m_worker = "w0", .m_report = report});
    EXPECT_EQ(takeCommands<StopAttempt>().size(), 1U);
    for (int i = 0; i < 100; ++i) {
        tick(Milliseconds(100));
        EXPECT_TRUE(takeCommands<StartAttempt>().empty());
    }
    AttemptReport end;
    end.m_attempt = starts.front().m_order.m_attempt;
    end.m_state = AttemptState::NeverStarted;
    handle(StopAnswered{.m_shard = 0, .m_epoch = 1, .m_worker = "w0", .m_attempt = end.m_attempt, .m_report = end});
    EXPECT_EQ(job("a").m_state, JobState::Queued);
}

// Guards against a completion that is acknowledged to the worker before it is durable.
TEST_F(ShardSchedulerTest, CompletionIsDurableBeforeItIsAcknowledged)
{
    listWorkers(1);
    submit("a");
    tickAndCommit();
    answerStart(takeCommands<StartAttempt>().at(0), StartResult::Status::Started);
    AttemptReport report;
    report.m_attempt = {.m_job = "a", .m_number = 1};
    report.m_state = AttemptState::Completed;
    tick(m_settings.m_renewal);
    answerLeases({report});
    tick(m_settings.m_renewal);
    const auto early = takeCommands<RenewLease>();
    ASSERT_EQ(early.size(), 1U);
    EXPECT_TRUE(early[0].m_renewal.m_acknowledged.empty());
    handle(LeaseAnswered{.m_shard = 0, .m_epoch = 1, .m_worker = "w0", .m_report = LeaseReport()});
    commitJournal();
    tick(m_settings.m_renewal);
    const auto late = takeCommands<RenewLease>();
    ASSERT_EQ(late.size(), 1U);
    ASSERT_EQ(late[0].m_renewal.m_acknowledged.size(), 1U);
    EXPECT_EQ(late[0].m_renewal.m_acknowledged[0], report.m_attempt);
}

// Guards against a second attempt while the first may still run, and against lost renewals that lengthen the wait for
// the end of the lease.
TEST_F(ShardSchedulerTest, SilentWorkerLosesItsAttemptsWhenTheAnsweredLeaseHasEnded)
{
    listWorkers(1);
    const TimePoint answered = m_now;
    submit("a");
    tickAndCommit();
    answerStart(takeCommands<StartAttempt>().at(0), StartResult::Status::Started);
    loseRenewals("a", std::chrono::minutes(5));
    // The lost renewals answer the last report received, so they do not extend the lease.
    EXPECT_GE(m_now - answered, m_leaseWait);
    EXPECT_LE(m_now - answered, m_leaseWait + Milliseconds(100));
    EXPECT_EQ(job("a").m_state, JobState::Queued);
}

// Guards against a renewed lease with which the worker accepts a delayed start of an attempt that ended by expiry.
TEST_F(ShardSchedulerTest, ExpiredAttemptGetsATombstoneBeforeTheLeaseIsRenewed)
{
    listWorkers(1);
    submit("a");
    tickAndCommit();
    const auto start = takeCommands<StartAttempt>().at(0);
    loseRenewals("a", std::chrono::minutes(5));
    ASSERT_EQ(job("a").m_state, JobState::Queued);
    handle(WorkersListed{});
    listWorkers(1);
    tick(m_settings.m_renewal);
    EXPECT_TRUE(takeCommands<RenewLease>().empty());
    const auto stops = takeCommands<StopAttempt>();
    ASSERT_FALSE(stops.empty());
    EXPECT_EQ(stops.back().m_order.m_attempt, start.m_order.m_attempt);
    handle(StopAnswered{.m_shard = 0, .m_epoch = 1, .m_worker = "w0", .m_attempt = start.m_order.m_attempt, .m_report = AttemptReport()});
    tick();
    EXPECT_EQ(takeCommands<RenewLease>().size(), 1U);
}

// Guards against a start before the worker has granted a lease to the new epoch, and against a delay between the two
// renewals that this takes.
TEST_F(ShardSchedulerTest, TakeoverNeedsTwoCallsBeforeTheFirstStart)
{
    submit("a");
    handle(WorkersListed{.m_workers = {hostOf("w0")}});
    tick();
    auto renewals = takeCommands<RenewLease>();
    ASSERT_EQ(renewals.size(), 1U);
    EXPECT_FALSE(renewals[0].m_renewal.m_answeredReport);
    LeaseReport report;
    report.m_report = {.m_incarnation = "i1", .m_number = 7};
    handle(LeaseAnswered{.m_shard = 0, .m_epoch = 1, .m_worker = "w0", .m_report = report});
    EXPECT_LE(m_scheduler.deadline(), m_now);
    tickAndCommit();
    EXPECT_TRUE(takeCommands<StartAttempt>().empty());
    renewals = takeCommands<RenewLease>();
    ASSERT_EQ(renewals.size(), 1U);
    EXPECT_EQ(renewals[0].m_renewal.m_answeredReport, report.m_report);
    // A worker that grants no lease although its report was answered gets the next renewal only after a delay.
    handle(LeaseAnswered{.m_shard = 0, .m_epoch = 1, .m_worker = "w0", .m_report = report});
    tick(Milliseconds(500));
    EXPECT_TRUE(takeCommands<RenewLease>().empty());
    tick(Milliseconds(500));
    ASSERT_EQ(takeCommands<RenewLease>().size(), 1U);
    report.m_granted = true;
    handle(LeaseAnswered{.m_shard = 0, .m_epoch = 1, .m_worker = "w0", .m_report = report});
    tickAndCommit();
    EXPECT_EQ(takeCommands<StartAttempt>().size(), 1U);
}

// Guards against a second attempt while a former owner, cut off from the table only, still renews the lease on a worker
// that the new owner cannot reach.
TEST_F(ShardSchedulerTest, ListedWorkerThatWasNeverReachedKeepsItsAttempts)
{
    recoverAssigned("a", "w0");
    handle(WorkersListed{.m_workers = {hostOf("w0"), hostOf("w1")}});
    loseRenewals("a", std::chrono::minutes(10));
    EXPECT_EQ(job("a").m_state, JobState::Assigned);
    const TimePoint missing = m_now;
    handle(WorkersListed{.m_workers = {hostOf("w1")}});
    loseRenewals("a", std::chrono::minutes(10));
    EXPECT_EQ(job("a").m_state, JobState::Queued);
    EXPECT_GE(m_now - missing, m_leaseWait + m_settings.m_unfencedWait);
    EXPECT_LE(m_now - missing, m_leaseWait + m_settings.m_unfencedWait + Milliseconds(100));
}

// Guards against an expiry that is computed too early, because a former owner may have renewed the lease until the
// worker answered the new epoch.
TEST_F(ShardSchedulerTest, FirstAnswerToANewOwnerBoundsTheFormerLease)
{
    recoverAssigned("a", "w0");
    handle(WorkersListed{.m_workers = {hostOf("w0")}});
    loseRenewals("a", std::chrono::minutes(1));
    tick(m_settings.m_renewal);
    AttemptReport running;
    running.m_attempt = {.m_job = "a", .m_number = 1};
    answerLeases({running});
    const TimePoint answered = m_now;
    EXPECT_EQ(job("a").m_state, JobState::Running);
    loseRenewals("a", std::chrono::minutes(10));
    EXPECT_GE(m_now - answered, m_leaseWait);
    EXPECT_LE(m_now - answered, m_leaseWait + Milliseconds(100));
}

// Guards against a worker that fails every task and still gets new ones, and against the quarantine of a whole zone.
TEST_F(ShardSchedulerTest, FailingWorkersAreQuarantinedUpToACap)
{
    listWorkers(4);
    WorkerTable table(m_settings, m_now);
    std::vector<HostRecord> hosts;
    for (const auto &[name, worker] : m_scheduler.workers().workers()) {
        hosts.push_back(worker.m_host);
    }
    table.update(hosts, m_now);
    for (std::uint32_t i = 1; i < m_settings.m_quarantineFailures; ++i) {
        EXPECT_FALSE(table.countFailure(table.findOrAdd("w0"), m_now));
    }
    EXPECT_TRUE(table.countFailure(table.findOrAdd("w0"), m_now));
    for (std::uint32_t i = 0; i < 2 * m_settings.m_quarantineFailures; ++i) {
        EXPECT_FALSE(table.countFailure(table.findOrAdd("w1"), m_now));
    }
}

// Guards against a job that always fails and is retried without a limit.
TEST_F(ShardSchedulerTest, FailedAttemptsAreBounded)
{
    listWorkers(8);
    submit("a");
    AttemptReport report;
    report.m_state = AttemptState::Failed;
    report.m_result = "exit 1";
    for (std::uint32_t i = 1; i <= m_settings.m_maxFailures; ++i) {
        tickAndCommit();
        const auto starts = takeCommands<StartAttempt>();
        ASSERT_EQ(starts.size(), 1U) << i;
        EXPECT_EQ(starts[0].m_order.m_attempt.m_number, i);
        answerStart(starts[0], StartResult::Status::Started);
        report.m_attempt = starts[0].m_order.m_attempt;
        tick(m_settings.m_renewal);
        answerLeases({report});
    }
    EXPECT_EQ(job("a").m_state, JobState::Failed);
    EXPECT_NE(job("a").m_reason.find("exit 1"), std::string::npos);
}

// Guards against urgent jobs that wait for ordinary ones.
TEST_F(ShardSchedulerTest, UrgentJobsComeFirst)
{
    listWorkers(1, 1'000);
    submit("ordinary");
    submit("urgent", 1'000, true);
    tickAndCommit();
    EXPECT_EQ(job("urgent").m_state, JobState::Assigned);
    EXPECT_EQ(job("ordinary").m_state, JobState::Queued);
}

// Guards against answers, starts and renewals of an owner whose epoch is no longer valid.
TEST_F(ShardSchedulerTest, FencedSchedulerAnswersNotOwnerAndStartsNothing)
{
    listWorkers(1);
    submit("a");
    tick();
    const auto rows = takeCommands<WriteJournalRow>();
    ASSERT_EQ(rows.size(), 1U);
    RowWritten conflict;
    conflict.m_row = ShardRow::Journal;
    conflict.m_operation = rows[0].m_operation;
    conflict.m_status = CommitResult::Status::Conflict;
    conflict.m_fenced = true;
    handle(conflict);
    EXPECT_TRUE(m_scheduler.isFenced());
    const auto answers = takeCommands<AnswerRequest>();
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers[0].m_result.error().m_code, ErrorCode::NotOwner);
    m_commands.clear();
    tick(m_settings.m_renewal);
    EXPECT_TRUE(m_commands.empty());
}

// Guards against jobs that are reported as unschedulable because the host list was not read yet.
TEST_F(ShardSchedulerTest, JobsWaitWhileNoWorkerIsListed)
{
    submit("a");
    tickAndCommit();
    EXPECT_EQ(job("a").m_state, JobState::Queued);
    EXPECT_EQ(job("a").m_reason, "no worker of the shard is listed");
    submit("large", 100'000);
    listWorkers(1);
    tickAndCommit();
    EXPECT_EQ(job("a").m_state, JobState::Assigned);
    EXPECT_EQ(job("large").m_state, JobState::Unschedulable);
}

// Guards against an answer with a terminal state that is not durable, which a takeover could replace by another one.
TEST_F(ShardSchedulerTest, TerminalStateIsReportedOnlyWhenItIsDurable)
{
    listWorkers(1);
    submit("a");
    tickAndCommit();
    takeCommands<AnswerRequest>();
    handle(CancelRequested{.m_ticket = {.m_link = 1, .m_correlation = 90}, .m_job = "a"});
    AttemptReport stopped;
    stopped.m_attempt = {.m_job = "a", .m_number = 1};
    stopped.m_state = AttemptState::Stopped;
    handle(StopAnswered{.m_shard = 0, .m_epoch = 1, .m_worker = "w0", .m_attempt = stopped.m_attempt, .m_report = stopped});
    EXPECT_EQ(job("a").m_state, JobState::Cancelled);
    handle(JobQueried{.m_ticket = {.m_link = 1, .m_correlation = 91}, .m_job = "a"});
    EXPECT_TRUE(takeCommands<AnswerRequest>().empty());
    tickAndCommit();
    EXPECT_EQ(takeCommands<AnswerRequest>().size(), 2U);
}

// Guards against attempts that overload a worker because jobs of their class use more than declared, and against a start
// order or a durable record that differs from the scheduler's reservation.
TEST_F(ShardSchedulerTest, LearnedUsageIsReservedOrderedAndDurable)
{
    listWorkers(1);
    submit("a");
    tickAndCommit();
    const auto first = takeCommands<StartAttempt>();
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(first[0].m_order.m_spec.m_demand.m_cpuMillis, 1'000);
    answerStart(first[0], StartResult::Status::Started);
    AttemptReport report;
    report.m_attempt = first[0].m_order.m_attempt;
    report.m_usage = {.m_cpuMillis = 2'000, .m_memoryMb = 200, .m_accelerators = 0};
    tick(m_settings.m_renewal);
    answerLeases({report});
    // The reservation is the highest usage of the class plus 25%. The worker's 4,000 hold 1,000 for the first job and
    // 2,500 for the second one, but no third one.
    submit("b");
    submit("c");
    tickAndCommit();
    const auto second = takeCommands<StartAttempt>();
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(second[0].m_order.m_spec.m_demand, (Resources{.m_cpuMillis = 2'500, .m_memoryMb = 250, .m_accelerators = 0}));
    EXPECT_EQ(m_scheduler.jobs().at("b").m_record.m_job.m_spec.m_demand.m_cpuMillis, 1'000); // the specification of the caller does not change
    EXPECT_EQ(job("c").m_state, JobState::Queued);

    // A new owner reserves the same amounts.
    const auto decoded = decodeJobBatch(encodeJobBatch("operation", m_scheduler.jobs().records()));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->m_records, m_scheduler.jobs().records());
    ShardScheduler next({.m_shard = 0, .m_epoch = 2, .m_epochVersion = 2, .m_host = "h2", .m_since = m_now}, m_settings, m_policy);
    ShardContent content;
    content.m_records = decoded->m_records;
    next.recover(content);
    EXPECT_EQ(next.workers().workers().at("w0").freeFor({}).m_cpuMillis, -3'500); // the capacity is 0, because the host list is not known yet
}

// Guards against a reservation near zero for the job classes of a worker that reports no usage.
TEST_F(ShardSchedulerTest, AbsentUsageReportsLeaveTheDeclaredSize)
{
    listWorkers(1);
    for (int i = 0; i < 25; ++i) {
        submit("a" + std::to_string(i));
        tickAndCommit();
        const auto starts = takeCommands<StartAttempt>();
        ASSERT_EQ(starts.size(), 1U);
        EXPECT_EQ(starts[0].m_order.m_spec.m_demand.m_cpuMillis, 1'000);
        answerStart(starts[0], StartResult::Status::Started);
        AttemptReport report;
        report.m_attempt = starts[0].m_order.m_attempt;
        report.m_state = AttemptState::Completed;
        tick(m_settings.m_renewal);
        answerLeases({report});
        tickAndCommit();
    }
}

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/fleet/evacuation/zoneevacuation.hpp"
#include "burdockspur/fleet/fleetsettings.hpp"
#include "burdockspur/fleet/poolcapacities.hpp"
#include "burdockspur/operations/log.hpp"
#include "fleetsimulation.hpp"

#include <gtest/gtest.h>

#include <algorithm>

using namespace Burdockspur;
using namespace Burdockspur::Testing;

namespace
{
constexpr std::uint64_t seed = 7;

[[nodiscard]] auto makeJob(std::uint64_t number, std::uint32_t tasks, std::int64_t cpuMillis) -> TaskJob
{
    TaskJob job;
    job.m_id = hexOf(number);
    TaskStep step;
    step.m_count = tasks;
    step.m_demand = {cpuMillis, 500, 0};
    step.m_estimate = Milliseconds{500};
    job.m_steps = {step};
    return job;
}

[[nodiscard]] auto closedZones(std::vector<ZoneRequest> requests, TimePoint now) -> ClosedZones
{
    ClosedZones zones;
    static_cast<void>(zones.replace(requests, {1, now, now}));
    return zones;
}

/// @brief An owner with worker-a in zone a and worker-b in zone b, whose messages the test delivers one by one.
class TwoZones
{
public:
    explicit TwoZones(const FleetLimits &limits = {})
        : m_scheduler(limits)
    {
    }

    auto begin(std::vector<StoredJob> &&jobs = {}) -> void
    {
        m_scheduler.begin(epoch, std::move(jobs), m_now, FleetScheduler::WallTime{});
        for (const std::string_view zone : {"a", "b"}) {
            const auto record = recordOf(zone);
            m_scheduler.updateWorkers(std::span(&record, 1), {}, m_now);
        }
    }

    auto close(std::vector<ZoneRequest> requests) -> void
    {
        m_scheduler.setClosedZones(closedZones(std::move(requests), m_now), m_now);
    }

    auto submit(TaskJob job) -> void
    {
        m_scheduler.addJob(std::move(job), m_now, FleetScheduler::WallTime{});
    }

    /// @brief Advances the time, and collects the commands of the scheduler.
    auto advance(Milliseconds length) -> void
    {
        m_now += length;
        static_cast<void>(m_scheduler.advance(m_now, FleetScheduler::WallTime{}));
        for (const auto &command : m_scheduler.takeCommands()) {
            if (const auto *const commit = std::get_if<CommitOrder>(&command)) {
                m_commits.push_back(*commit);
            } else if (const auto *const start = std::get_if<RunStartOrder>(&command)) {
                m_starts.push_back(*start);
            } else if (const auto *const stop = std::get_if<RunStopOrder>(&command)) {
                m_stops.push_back(*stop);
            }
        }
    }

    /// @brief Confirms all collected commits as stored.
    auto storeCommits() -> void
    {
        for (const auto &commit : std::exchange(m_commits, {})) {
            m_scheduler.handleAnswer(CommitAnswer{commit.m_number, epoch, m_now, true}, m_now);
        }
        advance(Milliseconds{0});
    }

    /// @brief Rounds in which commits are stored and idle workers report, until nothing changes any more.
    auto settle() -> void
    {
        for (int i = 0; i < 4; ++i) {
            advance(Milliseconds{250});
            storeCommits();
        }
    }

    auto report(std::string_view zone, std::vector<RunningTask> running) -> void
    {
        const auto record = recordOf(zone);
        ReportAnswer answer{{record.m_id, record.m_endpoint, record.m_incarnation, epoch}, OrderOutcome::Accepted, {}, m_now, m_now};
        answer.m_report.m_incarnation = record.m_incarnation;
        answer.m_report.m_clock = std::chrono::duration_cast<Milliseconds>(m_now - TimePoint{});
        answer.m_report.m_running = std::move(running);
        m_scheduler.handleAnswer(answer, m_now);
    }

    auto answer(const RunStartOrder &start, OrderOutcome outcome) -> void
    {
        m_scheduler.handleAnswer(StartAnswer{start.m_address, start.m_task, start.m_run, outcome, {}, m_now}, m_now);
    }

    [[nodiscard]] auto startsOn(std::string_view worker) const -> std::ptrdiff_t
    {
        return std::ranges::count_if(m_starts, [worker](const RunStartOrder &start) {
            return start.m_address.m_worker == worker;
        });
    }

    [[nodiscard]] static auto recordOf(std::string_view zone) -> WorkerRecord
    {
        WorkerRecord record;
        record.m_id = "worker-" + std::string(zone);
        record.m_zone = zone;
        record.m_endpoint = {"127.0.0.1", static_cast<std::uint16_t>(zone.front())};
        record.m_incarnation = 5;
        record.m_capacity = {16'000, 64'000, 0};
        return record;
    }

    static constexpr Epoch epoch = 3;
    TimePoint m_now = TimePoint{} + std::chrono::hours(1);
    FleetScheduler m_scheduler;
    std::vector<CommitOrder> m_commits;
    std::vector<RunStartOrder> m_starts;
    std::vector<RunStopOrder> m_stops;
};

/// @brief A job with one task that the store shows as assigned to worker-a.
[[nodiscard]] auto storedOnA() -> std::vector<StoredJob>
{
    JobProgress progress{JobPhase::Running, 1, {}};
    progress.m_open.push_back({0, {StepProgress{{TaskProgress{TaskPhase::Assigned, 1, 0, "worker-a", 5, ""}}}}});
    std::vector<StoredJob> stored;
    stored.push_back({makeJob(1, 1, 1'000), progress, false});
    return stored;
}
}

// Guards against starts in a closed zone (EVAC), and against a zone that is not used again once its request is gone.
TEST(FleetSchedulerZonesTest, NothingStartsInAClosedZoneUntilItReopens)
{
    TwoZones fleet;
    fleet.begin();
    fleet.report("a", {});
    fleet.report("b", {});
    fleet.close({{"a", true}});
    // Two tasks fill worker-b, the others wait.
    fleet.submit(makeJob(1, 4, 8'000));
    fleet.settle();
    EXPECT_EQ(fleet.startsOn("worker-b"), 2);
    EXPECT_EQ(fleet.startsOn("worker-a"), 0);
    fleet.close({});
    fleet.report("a", {});
    fleet.advance(Milliseconds{20});
    fleet.storeCommits();
    EXPECT_EQ(fleet.startsOn("worker-a"), 2) << "in the first round after the request is gone";
}

// Guards against an assignment whose commit was in flight when the request arrived and that is ordered once it is stored (EVAC).
TEST(FleetSchedulerZonesTest, AnAssignmentThatIsBeingStoredIsWithdrawn)
{
    TwoZones fleet;
    fleet.begin();
    fleet.report("a", {});
    fleet.submit(makeJob(1, 1, 1'000));
    fleet.advance(Milliseconds{1});
    ASSERT_EQ(fleet.m_commits.size(), 1U);
    fleet.report("b", {});
    fleet.close({{"a", true}});
    fleet.storeCommits();
    EXPECT_TRUE(fleet.m_starts.empty());
    fleet.settle();
    EXPECT_EQ(fleet.startsOn("worker-a"), 0);
    ASSERT_EQ(fleet.startsOn("worker-b"), 1);
    EXPECT_EQ(fleet.m_starts.front().m_run, 2U) << "the number of the withdrawn run is not used again";
}

// Guards against a gang of which some members are withdrawn and the others start alone (GANG).
TEST(FleetSchedulerZonesTest, AGangIsWithdrawnAsAWhole)
{
    TwoZones fleet;
    fleet.begin();
    fleet.report("a", {});
    fleet.report("b", {});
    auto job = makeJob(1, 2, 9'000);
    job.m_steps.front().m_isGang = true;
    fleet.submit(job);
    fleet.advance(Milliseconds{1});
    ASSERT_EQ(fleet.m_commits.size(), 1U);
    fleet.close({{"a", true}});
    fleet.advance(Milliseconds{0});
    fleet.storeCommits();
    fleet.settle();
    EXPECT_TRUE(fleet.m_starts.empty());
}

// Guards against the repetition of an unanswered start order in a closed zone (EVAC): the first one may not have arrived.
TEST(FleetSchedulerZonesTest, AnUnansweredStartOrderIsNotRepeatedInAClosedZone)
{
    TwoZones fleet;
    fleet.begin();
    fleet.report("a", {});
    fleet.submit(makeJob(1, 1, 1'000));
    fleet.advance(Milliseconds{1});
    fleet.storeCommits();
    ASSERT_EQ(fleet.startsOn("worker-a"), 1);
    fleet.report("b", {});
    fleet.close({{"a", true}});
    const auto start = fleet.m_starts.front();
    fleet.answer(start, OrderOutcome::NoAnswer);
    fleet.advance(Milliseconds{10});
    EXPECT_EQ(fleet.startsOn("worker-a"), 1);
    ASSERT_EQ(fleet.m_stops.size(), 1U) << "a late order must not be carried out";
    fleet.m_scheduler.handleAnswer(StopAnswer{start.m_address, start.m_task, start.m_run, OrderOutcome::Accepted}, fleet.m_now);
    fleet.advance(Milliseconds{100});
    fleet.report("a", {});
    fleet.settle();
    EXPECT_EQ(fleet.startsOn("worker-a"), 1);
    EXPECT_EQ(fleet.startsOn("worker-b"), 1);
}

// Guards against work that is thrown away because its zone is closed.
TEST(FleetSchedulerZonesTest, ARunInAClosedZoneGoesOn)
{
    TwoZones fleet;
    fleet.begin();
    fleet.report("a", {});
    fleet.submit(makeJob(1, 1, 1'000));
    fleet.advance(Milliseconds{1});
    fleet.storeCommits();
    ASSERT_EQ(fleet.startsOn("worker-a"), 1);
    fleet.answer(fleet.m_starts.front(), OrderOutcome::Accepted);
    fleet.report("b", {});
    fleet.close({{"a", true}});
    fleet.report("a", {{.m_task = fleet.m_starts.front().m_task, .m_run = 1}});
    fleet.settle();
    EXPECT_TRUE(fleet.m_stops.empty());
    EXPECT_EQ(fleet.m_starts.size(), 1U);
}

// Guards against a successor that starts in a zone whose request its predecessor has read: the owner dies between reading and acting, or after
// it has stored an assignment (EVAC). The successor has the request from its own feed, before its ownership.
TEST(FleetSchedulerZonesTest, ASuccessorDecidesWithTheClosedZonesFromItsFirstRound)
{
    TwoZones fleet;
    fleet.close({{"a", true}});
    fleet.m_scheduler.prepare(TwoZones::epoch, fleet.m_now, FormerOwner{fleet.m_now, {}});
    fleet.begin(storedOnA());
    fleet.report("b", {});
    fleet.submit(makeJob(2, 4, 8'000));
    fleet.report("a", {});
    fleet.settle();
    EXPECT_EQ(fleet.startsOn("worker-a"), 0);
    EXPECT_TRUE(std::ranges::any_of(fleet.m_starts, [](const RunStartOrder &start) {
        return start.m_task.m_job == hexOf(1) && start.m_run == 2;
    })) << "the assignment of the former owner is made again elsewhere";
}

// Guards against a host that forgets the closed zones when it loses the ownership, and starts there when it is the owner again (EVAC).
TEST(FleetSchedulerZonesTest, ClosedZonesOutliveAnOwnership)
{
    TwoZones fleet;
    fleet.begin();
    fleet.close({{"a", true}});
    fleet.m_scheduler.resign();
    fleet.begin();
    fleet.report("a", {});
    fleet.submit(makeJob(1, 1, 1'000));
    fleet.settle();
    EXPECT_TRUE(fleet.m_starts.empty());
}

// Guards against a name that no worker has and that holds up work, and against a request whose mistyped name nobody notices.
TEST(FleetSchedulerZonesTest, AZoneThatNobodyHasIsLoggedAndDoesNoHarm)
{
    ASSERT_TRUE(configureLogging("test", "h1", "info"));
    TwoZones fleet;
    fleet.begin();
    fleet.report("a", {});
    testing::internal::CaptureStderr();
    fleet.close({{"", true}, {"nowhere", true}});
    const auto lines = testing::internal::GetCapturedStderr();
    EXPECT_NE(lines.find("event=zone_closed zone=nowhere known_ms=0 workers=0"), std::string::npos) << lines;
    fleet.submit(makeJob(1, 1, 1'000));
    fleet.settle();
    EXPECT_EQ(fleet.startsOn("worker-a"), 1);
}

// Guards against a request whose effect an operator cannot see: what runs there, and what waits.
TEST(FleetSchedulerZonesTest, LogsWhatTheZoneHasWhenItIsClosedAndReopened)
{
    ASSERT_TRUE(configureLogging("test", "h1", "info"));
    TwoZones fleet;
    fleet.begin();
    fleet.report("a", {});
    fleet.submit(makeJob(1, 1, 1'000));
    fleet.advance(Milliseconds{1});
    fleet.storeCommits();
    fleet.answer(fleet.m_starts.front(), OrderOutcome::Accepted);
    testing::internal::CaptureStderr();
    fleet.close({{"a", true}});
    EXPECT_EQ(fleet.m_scheduler.closedZoneCounts().m_zones, 1U);
    EXPECT_EQ(fleet.m_scheduler.closedZoneCounts().m_runs, 1U);
    fleet.close({{"a", true}});
    fleet.m_now += Milliseconds{700};
    fleet.close({});
    const auto lines = testing::internal::GetCapturedStderr();
    EXPECT_NE(lines.find("event=zone_closed zone=a known_ms=0 workers=1 runs=1 waiting=0 epoch=3"), std::string::npos) << lines;
    EXPECT_EQ(lines.find("event=zone_closed"), lines.rfind("event=zone_closed")) << "once: " << lines;
    EXPECT_NE(lines.find("event=zone_reopened zone=a closed_ms=700 workers=1 runs=1 waiting=0 epoch=3"), std::string::npos) << lines;
    EXPECT_EQ(fleet.m_scheduler.closedZoneCounts().m_runs, 0U);
}

// Guards against an owner whose commits are stored while its feed of the requests is cut off: it would start in a zone that was closed long ago (EVAC).
TEST(FleetSchedulerZonesTest, NothingStartsWhileTheRequestsAreNotConfirmed)
{
    FleetSettings settings;
    settings.m_evacuate = Milliseconds{5'000};
    const auto limits = fleetLimitsOf(settings);
    ASSERT_LT(limits.m_maxZonesAge, settings.m_evacuate);
    TwoZones fleet(limits);
    fleet.close({});
    fleet.begin();
    fleet.advance(limits.m_maxZonesAge + Milliseconds{1});
    fleet.report("a", {});
    fleet.submit(makeJob(1, 1, 1'000));
    fleet.settle();
    EXPECT_TRUE(fleet.m_starts.empty());
    fleet.close({});
    fleet.report("a", {});
    fleet.advance(Milliseconds{20});
    fleet.storeCommits();
    EXPECT_EQ(fleet.m_starts.size(), 1U) << "in the first round after the confirmation";
}

// Guards against a bound that holds up a deployment which does not set one.
TEST(FleetSchedulerZonesTest, WithoutABoundNoConfirmationIsNeeded)
{
    TwoZones fleet(fleetLimitsOf(FleetSettings{}));
    fleet.begin();
    fleet.report("a", {});
    fleet.submit(makeJob(1, 1, 1'000));
    fleet.settle();
    EXPECT_EQ(fleet.m_starts.size(), 1U);
}

// Guards against capacity of a closed zone that counts as free: idle jobs would go before urgent work although nothing is free, and room would be kept
// where nothing may start.
TEST(FleetSchedulerZonesTest, AClosedZoneIsNoCapacity)
{
    const FleetLimits limits;
    const TimePoint now = TimePoint{} + std::chrono::hours(1);
    ZoneEvacuation evacuation(limits.m_maxZonesAge);
    std::map<std::string, FleetWorker, std::less<>> workers;
    for (const std::string_view zone : {"a", "b"}) {
        auto record = TwoZones::recordOf(zone);
        record.m_pool = "pool";
        auto &worker = workers.try_emplace(record.m_id, record, limits, now).first->second;
        worker.m_isListed = true;
        worker.m_hasReported = true;
        worker.m_lastReportAt = now;
    }
    TaskRun run;
    run.m_task = {hexOf(1), 0, 0, 0};
    run.m_reserved = {10'000, 1'000, 0};
    workers.at("worker-b").addRun(std::move(run));
    const auto measure = [&] {
        PoolCapacities pools(limits, evacuation, now);
        for (auto &[id, worker] : workers) {
            pools.add(worker);
        }
        return std::tuple(pools.freeCapacitiesOf("pool").size(), pools.isMostlyFree("pool"), pools.unavailableWorkersOf("pool"));
    };
    EXPECT_EQ(measure(), std::tuple(2U, true, 0U));
    EXPECT_TRUE(evacuation.update(closedZones({{"a", true}}, now), {workers, 0, 0}, now));
    EXPECT_EQ(measure(), std::tuple(1U, false, 1U)) << "10 of 16 processors of worker-b are reserved";
}

// Zones are closed and reopened while owners change, orders are lost or late, and commits fail. Guards against a start in a closed zone on any path (EVAC),
// and against jobs that wait for ever once the zones are open.
TEST(FleetSchedulerZonesTest, NoFaultLeadsToAStartInAClosedZone)
{
    constexpr std::uint64_t seeds = 20;
    constexpr std::size_t workers = 9;
    const FleetFaults faults{.m_answerLost = 0.05,
                             .m_orderLate = 0.05,
                             .m_orderLost = 0.05,
                             .m_commitFails = 0.1,
                             .m_commitLate = 0.1,
                             .m_crashesPerSecond = 0.1,
                             .m_outagesPerSecond = 0.1,
                             .m_takeoversPerSecond = 0.3,
                             .m_evacuationsPerSecond = 0.5};
    std::size_t closings = 0;
    for (std::uint64_t number = 1; number <= seeds; ++number) {
        FleetSimulation simulation(number, workers, faults);
        for (int i = 0; i < 40; ++i) {
            simulation.submitRandomJob();
            simulation.run(Milliseconds{300});
        }
        closings += simulation.zoneClosings();
        simulation.endFaults();
        simulation.run(Milliseconds{60'000});
        ASSERT_TRUE(simulation.m_violations.empty()) << "seed " << number << ": " << simulation.m_violations.front();
        for (const auto &id : simulation.m_jobs) {
            EXPECT_TRUE(isFinal(simulation.phaseOf(id)) || simulation.startsOf(id) > 0) << "seed " << number << ": job " << id << " never started";
        }
    }
    EXPECT_GT(closings, seeds) << "the days have to close zones";
}

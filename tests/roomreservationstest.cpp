#include "burdockspur/fleet/lookahead/roomreservations.hpp"
#include "burdockspur/fleet/evacuation/zoneevacuation.hpp"
#include "burdockspur/fleet/fleetjob.hpp"
#include "burdockspur/fleet/fleetlimits.hpp"
#include "burdockspur/fleet/fleetworker.hpp"
#include "burdockspur/fleet/lookahead/declareddurations.hpp"
#include "burdockspur/fleet/lookahead/demandshapes.hpp"
#include "burdockspur/fleet/lookahead/roomclaim.hpp"
#include "burdockspur/fleet/poolcapacities.hpp"
#include "burdockspur/fleet/taskkinds.hpp"

#include <gtest/gtest.h>

#include <map>
#include <memory>

using namespace Burdockspur;

namespace
{
constexpr std::size_t workerCount = 10;
constexpr Milliseconds runEstimate{1'000};
const Resources capacity{16'000, 64'000, 0};

[[nodiscard]] auto jobOf(const std::string &id, std::uint32_t tasks, const Resources &demand) -> TaskJob
{
    TaskJob job;
    job.m_id = id;
    TaskStep step;
    step.m_count = tasks;
    step.m_demand = demand;
    step.m_estimate = runEstimate;
    job.m_steps = {step};
    return job;
}

/// Ten workers, each full of a run that ends in a while, and a large step that has waited.
class RoomReservationsTest : public ::testing::Test
{
protected:
    RoomReservationsTest()
    {
        m_policy.m_pool = "pool";
        m_shapes.setMeanWorker(capacity);
        m_shapes.record({2'000, 4'000, 0}, 100, m_now);
        for (std::size_t i = 0; i < workerCount; ++i) {
            WorkerRecord record;
            record.m_id = "worker-" + std::to_string(i);
            record.m_pool = "pool";
            record.m_rack = i < workerCount / 2 ? "rack-a" : "rack-b";
            record.m_capacity = capacity;
            auto &worker = m_workers.try_emplace(record.m_id, record, m_limits, m_now).first->second;
            worker.m_isListed = worker.m_hasReported = true;
            worker.m_lastReportAt = m_now;
            fill(worker, i);
        }
    }

    auto fill(FleetWorker &worker, std::size_t index) -> void
    {
        TaskRun run;
        run.m_job = &m_runningJob;
        run.m_task = TaskId{"running", 0, 0, static_cast<std::uint32_t>(index)};
        run.m_stage = RunStage::Running;
        run.m_reserved = {14'000, 32'000, 0};
        // The higher the number of the worker, the sooner the run ends.
        run.m_assignedAt = run.m_confirmedAt = m_now - Milliseconds{100} * static_cast<std::int64_t>(index);
        worker.addRun(std::move(run));
    }

    /// @brief A job whose step is refused for want of room and has waited.
    auto addWaiting(const TaskJob &contract, Milliseconds waited = Milliseconds{500}) -> FleetJob &
    {
        auto &job = *m_jobs.emplace_back(std::make_unique<FleetJob>(contract, m_now, TaskJob::WallTime{}));
        job.openDueOccurrences(TaskJob::WallTime{});
        job.updateBacklog(m_policy, m_kinds, m_now - waited);
        return job;
    }

    /// @brief One round in which nothing is placed.
    auto round() -> void
    {
        m_pools = std::make_unique<PoolCapacities>(m_limits, m_evacuation, m_now);
        for (auto &[id, worker] : m_workers) {
            worker.m_lastReportAt = m_now;
            if (id != m_lost) {
                m_pools->add(worker);
            }
        }
        m_groups.clear();
        for (const auto &job : m_jobs) {
            for (const auto &step : job->backlog().m_steps) {
                PlacementRefusal refusal;
                refusal.count(PlacementGuard::Room, workerCount);
                refusal.m_at = m_now;
                job->m_refusal = refusal;
                m_groups.push_back({JobRank{.m_priority = m_priority, .m_cost = 10}, job.get(), &step});
            }
        }
        m_reservations.refresh(m_groups, *m_pools, m_now);
        m_reservations.plan(m_groups, *m_pools, m_shapes, m_now);
    }

    [[nodiscard]] auto capacityOf(const std::string &worker) -> FreeCapacity &
    {
        return *m_pools->find("pool", worker);
    }

    /// @brief A small task of another job.
    [[nodiscard]] auto smallClaim(Milliseconds endsIn) const -> RoomClaim
    {
        RoomClaim claim;
        claim.m_job = "small";
        claim.m_demand = {2'000, 4'000, 0};
        claim.m_priority = m_priority;
        claim.m_endsBy = m_now + endsIn;
        return claim;
    }

    TimePoint m_now = TimePoint{} + std::chrono::hours(1);
    FleetLimits m_limits;
    ZoneEvacuation m_evacuation{Milliseconds{0}};
    LookAheadLimits m_lookAhead{.m_isOn = true, .m_maxReservedShare = 0.5};
    DeclaredDurations m_durations;
    DemandShapes m_shapes{1.5};
    TaskKinds m_kinds;
    JobQueuePolicy m_policy;
    std::uint32_t m_priority = 1;
    std::string m_lost;
    FleetJob m_runningJob{jobOf("running", workerCount, {14'000, 32'000, 0}), m_now, {}};
    std::map<std::string, FleetWorker> m_workers;
    std::vector<std::unique_ptr<FleetJob>> m_jobs;
    std::unique_ptr<PoolCapacities> m_pools;
    std::vector<PlacementGroup> m_groups;
    RoomReservations m_reservations{m_lookAhead, m_durations};
};
}

TEST_F(RoomReservationsTest, TheWorkerWhoseRoomComesFirstIsReserved)
{
    auto &job = addWaiting(jobOf("large", 1, {12'000, 16'000, 0}));
    round();
    EXPECT_EQ(m_reservations.workersFor("large"), std::vector<std::string>{"worker-9"});
    ASSERT_TRUE(job.m_reservedRoom);
    EXPECT_EQ(job.m_reservedRoom->m_worker, "worker-9");
    EXPECT_GT(job.m_reservedRoom->m_at, m_now);
    EXPECT_EQ(job.m_reservedRoom->m_until, m_now + m_lookAhead.m_maxHold);
}

TEST_F(RoomReservationsTest, OnlyWorkThatEndsBeforeMayFillTheGap)
{
    addWaiting(jobOf("large", 1, {14'000, 16'000, 0}));
    round();
    auto &reserved = capacityOf("worker-9");
    // Two cores are free there now, all of them are needed when the run ends: in 1.1 s by the high quantile.
    EXPECT_TRUE(m_reservations.mayUse(reserved, smallClaim(Milliseconds{1'000})));
    EXPECT_TRUE(m_reservations.mayUse(capacityOf("worker-8"), smallClaim(Milliseconds{60'000})));
    auto wide = smallClaim(Milliseconds{60'000});
    wide.m_demand.m_cpuMillis = 3'000;
    EXPECT_FALSE(m_reservations.mayUse(reserved, wide));
    EXPECT_TRUE(m_reservations.mayUse(reserved, smallClaim(Milliseconds{60'000}))) << "two cores are spare";
}

// Reservations give way to rules and ranks. Guards against large work of a low priority that holds back urgent work, tasks that last, or idle jobs.
TEST_F(RoomReservationsTest, BetterRankedServingAndIdleWorkIsNotHeldBack)
{
    addWaiting(jobOf("large", 1, {16'000, 16'000, 0}));
    round();
    auto &reserved = capacityOf("worker-9");
    auto claim = smallClaim(Milliseconds{60'000});
    EXPECT_FALSE(m_reservations.mayUse(reserved, claim));
    claim.m_priority = 0;
    EXPECT_TRUE(m_reservations.mayUse(reserved, claim));
    claim = smallClaim(Milliseconds{60'000});
    claim.m_isServing = true;
    EXPECT_TRUE(m_reservations.mayUse(reserved, claim));
    claim = smallClaim(Milliseconds{60'000});
    claim.m_turn = PlacementTurn::IdleJob;
    EXPECT_TRUE(m_reservations.mayUse(reserved, claim));
    claim = smallClaim(Milliseconds{60'000});
    claim.m_job = "large";
    EXPECT_TRUE(m_reservations.mayUse(reserved, claim));
}

// Guards against large work that starves all other work: reserved room is bounded.
TEST_F(RoomReservationsTest, ReservedRoomIsBounded)
{
    for (int i = 0; i < 20; ++i) {
        addWaiting(jobOf("large-" + std::to_string(i), 2, {12'000, 16'000, 0}));
    }
    for (int i = 0; i < 20; ++i) {
        m_now += m_lookAhead.m_planInterval;
        round();
    }
    EXPECT_GT(m_reservations.count(), 0U);
    EXPECT_LE(m_reservations.reservedRoom().m_cpuMillis, static_cast<std::int64_t>(m_lookAhead.m_maxReservedShare * 16'000 * workerCount));
}

// Guards against room that is kept for ever: the reservation ends after a time, and the step pauses.
TEST_F(RoomReservationsTest, AnUnusedReservationEnds)
{
    addWaiting(jobOf("large", 1, {12'000, 16'000, 0}));
    round();
    const auto made = m_now;
    while (m_reservations.count() > 0) {
        m_now += Milliseconds{100};
        round();
        ASSERT_LE(m_now - made, m_lookAhead.m_maxHold);
    }
    round();
    EXPECT_EQ(m_reservations.count(), 0U);
    EXPECT_EQ(m_reservations.counters().m_expired, 1U);
    EXPECT_TRUE(m_reservations.mayUse(capacityOf("worker-9"), smallClaim(Milliseconds{60'000})));
    m_now += m_lookAhead.m_pause;
    for (auto &[id, worker] : m_workers) {
        // The next runs, because no room is expected soon from runs that are long overdue.
        worker.m_runs.begin()->second.m_confirmedAt = m_now;
    }
    round();
    EXPECT_EQ(m_reservations.count(), 1U);
}

// Guards against a reservation that waits for a worker that is away.
TEST_F(RoomReservationsTest, ALostWorkerIsReplaced)
{
    addWaiting(jobOf("large", 1, {12'000, 16'000, 0}));
    round();
    m_lost = "worker-9";
    m_now += Milliseconds{100};
    round();
    EXPECT_EQ(m_reservations.workersFor("large"), std::vector<std::string>{"worker-8"});
}

// Guards against a reservation that stays although its room comes much later than elsewhere.
TEST_F(RoomReservationsTest, LateRoomIsReservedElsewhere)
{
    addWaiting(jobOf("large", 1, {12'000, 16'000, 0}));
    round();
    auto &run = m_workers.at("worker-9").m_runs.begin()->second;
    run.m_confirmedAt = m_now - Milliseconds{10};
    m_now += m_lookAhead.m_searchInterval;
    round();
    EXPECT_EQ(m_reservations.workersFor("large"), std::vector<std::string>{"worker-8"});
}

// Guards against a gang that gets a part of its room and keeps it idle.
TEST_F(RoomReservationsTest, AGangGetsRoomForAllMembersOrNone)
{
    auto gang = jobOf("gang", 4, {12'000, 16'000, 0});
    gang.m_steps[0].m_isGang = true;
    addWaiting(gang);
    auto tooLarge = gang;
    tooLarge.m_id = "too-large";
    tooLarge.m_steps[0].m_count = 8;
    addWaiting(tooLarge);
    round();
    m_now += m_lookAhead.m_planInterval;
    round();
    EXPECT_EQ(m_reservations.workersFor("gang").size(), 4U);
    EXPECT_TRUE(m_reservations.workersFor("too-large").empty()) << "half of the pool may be reserved";
}

// Guards against a gang that is spread over racks although one rack has the room.
TEST_F(RoomReservationsTest, AGangOfOneRackGetsOneRack)
{
    auto gang = jobOf("gang", 3, {12'000, 16'000, 0});
    gang.m_steps[0].m_isGang = gang.m_steps[0].m_sameRack = true;
    addWaiting(gang);
    round();
    const auto reserved = m_reservations.workersFor("gang");
    ASSERT_EQ(reserved.size(), 3U);
    for (const auto &worker : reserved) {
        EXPECT_EQ(m_workers.at(worker).m_record.m_rack, "rack-b") << worker;
    }
}

// Guards against room that is kept although the step has started elsewhere, or was cancelled.
TEST_F(RoomReservationsTest, RoomIsReleasedWhenItIsUsedOrNoLongerWanted)
{
    addWaiting(jobOf("large", 1, {12'000, 16'000, 0}));
    round();
    RoomClaim own = smallClaim(Milliseconds{60'000});
    own.m_job = "large";
    EXPECT_TRUE(m_reservations.recordAssignment(capacityOf("worker-3"), own, m_now)) << "room became free for others";
    EXPECT_TRUE(m_reservations.workersFor("large").empty());
    m_jobs.clear();
    round();
    EXPECT_EQ(m_reservations.count(), 0U);
}

// Guards against reservations for work that small tasks do not push aside.
TEST_F(RoomReservationsTest, SmallAndRecentWorkGetsNoRoom)
{
    addWaiting(jobOf("small", 5, {2'000, 4'000, 0}));
    addWaiting(jobOf("recent", 5, {12'000, 16'000, 0}), Milliseconds{100});
    round();
    EXPECT_EQ(m_reservations.count(), 0U);
}

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/fleet/fleetscheduler.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace Burdockspur;

namespace
{
constexpr Epoch epoch = 3;
constexpr std::uint64_t former = 7'000;
/// Lower than the former one, because the wall clock of the worker has jumped back.
constexpr std::uint64_t present = 6'000;

constexpr std::uint16_t ownPort = 1;
constexpr std::uint16_t portOfAnother = 2;

/// @brief What an entry says of a worker.
struct Kind {
    std::string m_label = "a";
    std::int64_t m_cpuMillis = 16'000;
    std::string m_zone = "zone-a";
    std::optional<Milliseconds> m_drainRemaining;
    std::uint16_t m_port = ownPort;
};

/// @brief An owner with one worker, whose entries and reports the test delivers one by one; another worker answers at portOfAnother.
class OneWorker
{
public:
    OneWorker()
        : m_scheduler(FleetLimits{})
    {
        m_scheduler.begin(epoch, {}, m_now, FleetScheduler::WallTime{});
    }

    /// @brief Begins an ownership whose jobs are still being read.
    auto prepare() -> void
    {
        m_scheduler.prepare(epoch, m_now, FormerOwner{m_now, {}});
    }

    /// @brief Continues the ownership with a job whose task runs on the worker.
    auto inherit(std::uint64_t incarnation) -> void
    {
        auto job = makeJob({}, 1'000);
        const TaskId task{job.m_id, 0, 0, 0};
        JobProgress progress{JobPhase::Running, 1, {}};
        progress.m_open.push_back({0, {StepProgress{{TaskProgress{TaskPhase::Assigned, 1, 0, "worker", incarnation, ""}}}}});
        std::vector<StoredJob> stored;
        stored.push_back({std::move(job), progress, false});
        m_scheduler.begin(epoch, std::move(stored), m_now, FleetScheduler::WallTime{});
        m_running.push_back({task, 1, {}, 50.0, 500.0});
    }

    /// @brief Delivers an entry of the platform's list.
    auto list(std::uint64_t incarnation, const Kind &kind) -> void
    {
        WorkerRecord record;
        record.m_id = "worker";
        record.m_endpoint = {"127.0.0.1", kind.m_port};
        record.m_incarnation = incarnation;
        record.m_labels = {kind.m_label};
        record.m_capacity = {kind.m_cpuMillis, 64'000, 0};
        record.m_zone = kind.m_zone;
        record.m_drainRemaining = kind.m_drainRemaining;
        m_scheduler.updateWorkers(std::span(&record, 1), {}, m_now);
        advance();
    }

    /// @brief Delivers a report.
    /// @param incarnation the one that answers
    /// @param addressed the one that the order was sent to
    auto report(std::uint64_t incarnation, std::uint64_t addressed) -> void
    {
        answer(OrderOutcome::Accepted, incarnation, addressed);
    }

    /// @brief Lets this and the next report orders to the worker end without an answer.
    auto loseReport(std::uint64_t addressed) -> void
    {
        answer(OrderOutcome::NoAnswer, addressed, addressed);
    }

    /// @brief Lets an incarnation answer the report orders from now on.
    auto answerAgain(std::uint64_t incarnation) -> void
    {
        m_answering = incarnation;
    }

    /// @brief Number of report orders that were sent to a port.
    [[nodiscard]] auto reportsAt(std::uint16_t port) const -> std::size_t
    {
        return static_cast<std::size_t>(std::ranges::count(m_reportPorts, port));
    }

    /// @brief Submits a job of one task.
    /// @param label required of its worker
    auto submit(std::string_view label, std::int64_t cpuMillis = 1'000) -> void
    {
        m_scheduler.addJob(makeJob(label, cpuMillis), m_now, FleetScheduler::WallTime{});
        advance();
    }

    /// @brief Closes a zone.
    auto close(std::string_view zone) -> void
    {
        ClosedZones zones;
        const ZoneRequest request{std::string(zone)};
        static_cast<void>(zones.replace(std::span(&request, 1), {1, m_now, m_now}));
        m_scheduler.setClosedZones(std::move(zones), m_now);
        advance();
    }

    /// @brief Number of start orders so far.
    [[nodiscard]] auto starts() const noexcept -> std::size_t
    {
        return m_starts;
    }

    /// @brief Number of tasks that wait for a worker.
    [[nodiscard]] auto waiting() const noexcept -> std::size_t
    {
        return m_scheduler.waitingCount();
    }

    /// @brief Number of stop orders so far.
    [[nodiscard]] auto stops() const noexcept -> std::size_t
    {
        return m_stops;
    }

    /// @brief Lets time pass; reports of the incarnation that answers arrive meanwhile.
    auto advance(Milliseconds length = Milliseconds{1'000}) -> void
    {
        constexpr Milliseconds step{100};
        for (Milliseconds passed{0}; passed < length; passed += step) {
            m_now += step;
            static_cast<void>(m_scheduler.advance(m_now, FleetScheduler::WallTime{}));
            process(m_scheduler.takeCommands());
        }
    }

private:
    [[nodiscard]] auto makeJob(std::string_view label, std::int64_t cpuMillis) -> TaskJob
    {
        TaskJob job;
        job.m_id = hexOf(++m_jobs);
        TaskStep step;
        step.m_count = 1;
        step.m_demand = {cpuMillis, 500, 0};
        step.m_estimate = Milliseconds{60'000};
        step.m_requiredLabel = label;
        job.m_steps = {step};
        return job;
    }

    auto answer(OrderOutcome outcome, std::uint64_t incarnation, std::uint64_t addressed) -> void
    {
        m_answering = outcome == OrderOutcome::Accepted ? incarnation : 0;
        deliver(outcome, incarnation, addressed);
        advance();
    }

    auto answerOrder(const ReportOrder &order) -> void
    {
        m_reportPorts.push_back(order.m_address.m_endpoint.m_port);
        if (order.m_address.m_endpoint.m_port == portOfAnother) {
            m_scheduler.handleAnswer(ReportAnswer{order.m_address, OrderOutcome::OtherIncarnation, {}, m_now, m_now}, m_now);
        } else {
            deliver(m_answering == 0 ? OrderOutcome::NoAnswer : OrderOutcome::Accepted, m_answering, order.m_address.m_incarnation);
        }
    }

    auto deliver(OrderOutcome outcome, std::uint64_t incarnation, std::uint64_t addressed) -> void
    {
        ReportAnswer answer{{"worker", {"127.0.0.1", ownPort}, addressed, epoch}, outcome, {}, m_now, m_now};
        answer.m_report.m_incarnation = incarnation;
        answer.m_report.m_clock = std::chrono::duration_cast<Milliseconds>(m_now - TimePoint{});
        answer.m_report.m_running = m_running;
        m_scheduler.handleAnswer(answer, m_now);
    }

    auto process(std::span<const FleetCommand> commands) -> void
    {
        for (const auto &command : commands) {
            if (const auto *const commit = std::get_if<CommitOrder>(&command)) {
                m_scheduler.handleAnswer(CommitAnswer{commit->m_number, epoch, m_now, true, m_now}, m_now);
            } else if (const auto *const start = std::get_if<RunStartOrder>(&command)) {
                ++m_starts;
                m_running.push_back({start->m_task, start->m_run, {}, 50.0, 500.0});
                m_scheduler.handleAnswer(StartAnswer{start->m_address, start->m_task, start->m_run, OrderOutcome::Accepted, {}, m_now}, m_now);
            } else if (std::holds_alternative<RunStopOrder>(command)) {
                ++m_stops;
            } else if (const auto *const order = std::get_if<ReportOrder>(&command)) {
                answerOrder(*order);
            }
        }
    }

    TimePoint m_now = TimePoint{} + std::chrono::hours(1);
    FleetScheduler m_scheduler;
    std::vector<RunningTask> m_running;
    std::vector<std::uint16_t> m_reportPorts; ///< of all report orders
    std::uint64_t m_answering = 0; ///< incarnation that answers report orders; 0 for none
    std::uint64_t m_jobs = 0;
    std::size_t m_starts = 0;
    std::size_t m_stops = 0;
};

/// @brief Lets the worker restart before its new entry is read; the former incarnation is listed as a worker of a kind.
auto restart(OneWorker &fleet, const Kind &kind) -> void
{
    fleet.list(former, kind);
    fleet.report(former, former);
    fleet.loseReport(former);
    fleet.report(present, former);
}
}

// Guards against a start by the labels of an incarnation that has ended (ROUTE): the entry was kept for the next incarnation.
TEST(FleetSchedulerIncarnationTest, GetsTasksOnlyByItsOwnLabels)
{
    OneWorker fleet;
    restart(fleet, {.m_label = "a"});
    fleet.submit("a");
    EXPECT_EQ(fleet.starts(), 0U) << "the entry describes the former incarnation";
    fleet.submit("b");
    fleet.list(present, {.m_label = "b"});
    EXPECT_EQ(fleet.starts(), 1U) << "the job that requires b";
}

// Guards against starts beyond the capacity of a smaller machine (LIMIT), by the capacity of the former incarnation.
TEST(FleetSchedulerIncarnationTest, GetsTasksOnlyWithinItsOwnCapacity)
{
    OneWorker fleet;
    restart(fleet, {.m_cpuMillis = 16'000});
    fleet.submit("", 8'000);
    fleet.list(present, {.m_cpuMillis = 4'000});
    EXPECT_EQ(fleet.starts(), 0U);
    fleet.submit("", 4'000);
    EXPECT_EQ(fleet.starts(), 1U);
}

// Guards against a start in a closed zone, by the zone of the former incarnation.
TEST(FleetSchedulerIncarnationTest, GetsNoTasksInAClosedZoneThatItHasMovedTo)
{
    OneWorker fleet;
    fleet.close("zone-b");
    restart(fleet, {.m_zone = "zone-a"});
    fleet.submit("");
    fleet.list(present, {.m_zone = "zone-b"});
    EXPECT_EQ(fleet.starts(), 0U);
}

// Guards against a worker that is left idle, or whose tasks are stopped, because the former incarnation was draining.
TEST(FleetSchedulerIncarnationTest, IsNotDrainedByTheEntryOfTheFormerOne)
{
    OneWorker fleet;
    restart(fleet, {.m_drainRemaining = Milliseconds{2'000}});
    fleet.submit("");
    EXPECT_EQ(fleet.starts(), 0U);
    fleet.list(present, {});
    EXPECT_EQ(fleet.starts(), 1U);
    fleet.advance(Milliseconds{5'000});
    EXPECT_EQ(fleet.stops(), 0U);
}

// Guards against the end of a former drain for the next one: the tasks of the present incarnation were not stopped before it leaves.
TEST(FleetSchedulerIncarnationTest, IsDrainedByItsOwnEntry)
{
    OneWorker fleet;
    restart(fleet, {.m_drainRemaining = Milliseconds{60'000}});
    fleet.list(present, {});
    fleet.submit("");
    ASSERT_EQ(fleet.starts(), 1U);
    fleet.list(present, {.m_drainRemaining = Milliseconds{4'000}});
    EXPECT_EQ(fleet.stops(), 0U);
    fleet.advance(Milliseconds{4'000});
    EXPECT_GE(fleet.stops(), 1U);
}

// Guards against a successor that does not stop the tasks of a worker that was draining before the takeover: its end was counted only from a
// change that the successor saw.
TEST(FleetSchedulerIncarnationTest, IsDrainedByAnEntryThatIsReadFirst)
{
    OneWorker fleet;
    fleet.prepare();
    fleet.list(present, {.m_drainRemaining = Milliseconds{4'000}});
    fleet.report(present, present);
    fleet.inherit(present);
    EXPECT_EQ(fleet.stops(), 0U);
    fleet.advance(Milliseconds{4'000});
    EXPECT_GE(fleet.stops(), 1U);
}

// Guards against placement by a late entry of a former incarnation, or by one of another writer, while the present one answers.
TEST(FleetSchedulerIncarnationTest, IsNotDescribedByALaterEntryOfAnother)
{
    OneWorker fleet;
    restart(fleet, {.m_label = "a"});
    fleet.list(present, {.m_label = "b"});
    fleet.list(former, {.m_label = "a", .m_drainRemaining = Milliseconds{2'000}});
    fleet.submit("a");
    EXPECT_EQ(fleet.starts(), 0U);
    fleet.submit("b");
    EXPECT_EQ(fleet.starts(), 1U) << "what the present incarnation has registered holds";
}

// Guards against a new incarnation that waits for a further entry although its own was read before it answered.
TEST(FleetSchedulerIncarnationTest, IsDescribedByAnEntryThatCameBeforeItAnswered)
{
    OneWorker fleet;
    fleet.list(former, {.m_label = "a"});
    fleet.report(former, former);
    fleet.list(present, {.m_label = "b"});
    fleet.submit("b");
    EXPECT_EQ(fleet.starts(), 0U) << "the former incarnation still answers";
    fleet.report(present, former);
    EXPECT_EQ(fleet.starts(), 1U);
}

// Guards against a second run beside the first (TWICE): an entry of another writer had the address of another worker, whose refusal counted as the end
// of the incarnation.
TEST(FleetSchedulerIncarnationTest, KeepsItsRunsAndItsAddressWhenAnEntryNamesTheAddressOfAnother)
{
    for (const auto incarnation : {present, former}) {
        OneWorker fleet;
        fleet.list(present, {});
        fleet.report(present, present);
        fleet.submit("");
        ASSERT_EQ(fleet.starts(), 1U);
        const auto reports = fleet.reportsAt(ownPort);
        fleet.list(incarnation, {.m_port = portOfAnother});
        fleet.advance(Milliseconds{500});
        fleet.loseReport(present);
        fleet.answerAgain(present);
        fleet.advance(Milliseconds{10'000});
        EXPECT_EQ(fleet.waiting(), 0U) << "the run was counted as lost";
        EXPECT_GT(fleet.reportsAt(ownPort) - reports, 5U) << "the worker is asked at its own address";
    }
}

// Guards against a worker that is not found again after it has restarted at another address.
TEST(FleetSchedulerIncarnationTest, IsFoundAtTheAddressOfItsNextEntry)
{
    constexpr std::uint16_t nextPort = 3;
    OneWorker fleet;
    fleet.list(former, {});
    fleet.report(former, former);
    fleet.list(present, {.m_port = nextPort});
    fleet.loseReport(former);
    fleet.advance(Milliseconds{2'000});
    EXPECT_GT(fleet.reportsAt(nextPort), 0U);
}

#pragma once

#include "burdockspur/contract/runreport.hpp"
#include "burdockspur/contract/workerrecord.hpp"
#include "burdockspur/fleet/servingheadroom.hpp"
#include "burdockspur/fleet/taskrun.hpp"
#include "burdockspur/fleet/workerhealth.hpp"
#include "burdockspur/fleet/workerlease.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
struct FleetLimits;

/// @brief Tracks one incarnation of a worker: its runs and free resources, its lease, its health and the ends that it has reported.
class FleetWorker
{
public:
    /// @param record registration; only the id and incarnation are set for a worker that is not in the platform's list
    /// @param inheritedLeaseEnd see WorkerLease
    FleetWorker(WorkerRecord record, const FleetLimits &limits, TimePoint inheritedLeaseEnd);

    /// A registration of another incarnation than the one that answers.
    struct LaterEntry {
        WorkerRecord m_record;
        TimePoint m_receivedAt;
    };

    WorkerRecord m_record; ///< registration; what it says of the machine counts only if isDescribed()
    std::optional<LaterEntry> m_laterEntry; ///< latest registration, while m_record describes the incarnation that answers
    std::uint64_t m_incarnation; ///< incarnation that orders address; only the worker's own answers tell that it has ended
    bool m_isListed = false; ///< in the platform's list; an unlisted worker gets no new tasks
    bool m_hasReported = false; ///< has accepted an order of this owner, and therefore rejects those of earlier owners
    /// Address at which the incarnation has answered this owner, which it keeps until its end. Until then the incarnation and its address are taken from
    /// an entry or a stored task.
    std::optional<HttpEndpoint> m_answeredAt;
    bool m_reportInFlight = false;
    /// False after a report order without an accepted answer. Decides whether the lease is renewed; the time of the last report cannot
    /// decide that, because it is also long ago when the owner itself is late.
    bool m_isAnswering = false;
    std::uint32_t m_unansweredReports = 0; ///< consecutive report orders without an accepted answer
    bool m_mayHaveStops = false; ///< if false, no run is marked for a stop, and the runs need not be searched
    bool m_mayHaveUnsentRuns = false; ///< if false, no run is in RunStage::Unsent, and the runs need not be searched
    bool m_hasUnknownRuns = false; ///< the last report listed a run that the owner has not assigned; the worker gets no tasks until it has ended
    TimePoint m_drainEndsAt = TimePoint::max(); ///< earliest removal of a draining worker
    WorkerLease m_workerLease;
    WorkerHealth m_health;
    std::map<std::string, TaskRun, std::less<>> m_runs; ///< by task name

    std::uint64_t m_processedEnd = 0; ///< sequence number of the last end that was processed
    std::uint64_t m_durableEnd = 0; ///< sequence number of the last end whose effects are stored

    /// @brief True if the registration describes the incarnation that orders address.
    ///
    /// A restart may change the labels, the capacity, the zone and the pool of a worker, and ends a drain. What another incarnation has registered says
    /// nothing about this one.
    [[nodiscard]] auto isDescribed() const noexcept -> bool
    {
        return m_record.m_incarnation == m_incarnation;
    }

    /// @brief True if the incarnation is about to leave.
    [[nodiscard]] auto isDraining() const noexcept -> bool
    {
        return isDescribed() && m_record.m_drainRemaining.has_value();
    }

    /// @brief Address of the orders to the incarnation.
    [[nodiscard]] auto endpoint() const noexcept -> const HttpEndpoint &
    {
        return m_answeredAt ? *m_answeredAt : m_record.m_endpoint;
    }

    /// @brief Address of the next report order.
    ///
    /// While the incarnation does not answer, every second one goes to the address of an entry of another incarnation, where the worker may be again.
    [[nodiscard]] auto reportEndpoint() const noexcept -> const HttpEndpoint &
    {
        return isDescribed() || m_unansweredReports % 2 == 0 ? endpoint() : m_record.m_endpoint;
    }

    /// @brief Applies an entry of the platform's list; one of another incarnation is deferred while the addressed one answers.
    auto applyEntry(const WorkerRecord &entry, TimePoint now) -> void;

    /// @brief Applies the deferred entry, if any, because the addressed incarnation has ended or does not answer.
    auto applyLaterEntry() -> void;

    /// @brief Records that the ends up to m_processedEnd were processed.
    /// @param change number of the last change of any job so far, see JobChanges
    auto recordProcessedEnds(std::uint64_t change) -> void;

    /// @brief Sequence number of the last end whose effects are all older than a change; 0 if there is none.
    [[nodiscard]] auto lastEndBefore(std::uint64_t change) const noexcept -> std::uint64_t;

    /// @brief Records that the effects of all ends up to a sequence number are stored.
    auto markEndsDurable(std::uint64_t end) -> void;

    TimePoint m_reportDue; ///< when to send the next report order
    TimePoint m_lastReportAt; ///< when the last report was processed
    TimePoint m_reportOrderedAt; ///< when the last report order was decided
    std::vector<ServingHeadroom> m_servingHeadrooms; ///< cached between decisions, see PaceController::fitOf()
    TimePoint m_servingHeadroomsAt; ///< when the cache was computed; default value once the runs have changed

    /// @brief Adds a run and reserves its resources.
    auto addRun(TaskRun &&run) -> TaskRun &;

    /// @brief Removes the run of a task, if any, and frees its resources.
    auto removeRun(std::string_view task) -> void;

    /// @brief Removes and returns all runs.
    [[nodiscard]] auto removeAllRuns() -> std::map<std::string, TaskRun, std::less<>>;

    /// @brief Marks a run of this worker to be stopped.
    auto markForStop(TaskRun &run) noexcept -> void;

    /// @brief Marks the runs of a draining worker for a stop when they have to end.
    auto stopRunsForRemoval(TimePoint now) noexcept -> void;

    /// @brief Finds the run of a task; nullptr if there is none.
    [[nodiscard]] auto findRun(std::string_view task) noexcept -> TaskRun *;

    [[nodiscard]] auto hasRun(std::string_view task) const noexcept -> bool
    {
        return m_runs.contains(task);
    }

    /// @brief Capacity minus the reserved resources.
    [[nodiscard]] auto freeResources() const noexcept -> Resources;

    /// @brief Resources reserved for runs that end by themselves.
    [[nodiscard]] auto finiteResources() const noexcept -> const Resources &
    {
        return m_finiteReserved;
    }

    /// @brief Stops finite runs, the latest first, until a demand fits once they have ended. Members of gangs and runs whose start order was not sent
    /// are left alone.
    /// @param free free resources that the demand may use; may be negative
    /// @param firstPriority runs of a smaller priority number, which goes before, are left alone
    /// @returns number of runs that were marked for a stop
    auto stopFiniteRuns(const Resources &demand, Resources free, std::uint32_t firstPriority) -> std::size_t;

    /// @brief Estimated processor capacity for further filling tasks, in thousandths of a core; may be negative.
    /// @param limits assumed use of serving tasks and highest total use
    [[nodiscard]] auto freeFillingCpu(const FleetLimits &limits) const noexcept -> std::int64_t;

    /// @brief Declared demand of the yielding runs, in thousandths of a core.
    [[nodiscard]] auto yieldingCpu() const noexcept -> std::int64_t
    {
        return m_yieldingCpu;
    }

    /// @brief Lets a yielding run of this worker count as an ordinary one.
    auto admitYieldingRun(TaskRun &run) noexcept -> void;

    /// @brief Divides the processors that other runs leave among the yielding runs, see TaskRun::m_paceLimit.
    auto updatePaceLimits(const FleetLimits &limits) noexcept -> void;

    /// @brief Number of runs on this worker that belong to the same step and occurrence as a task.
    [[nodiscard]] auto countTasksOfStep(const TaskId &task) const noexcept -> std::uint32_t;

    /// @brief True if the runs of the worker have certainly ended without a report of their ends: the lease has expired and the worker does
    /// not answer.
    ///
    /// The lease alone does not decide: when the owner is late, the answers that list the ends may be waiting to be read.
    [[nodiscard]] auto hasLapsed(TimePoint now) const noexcept -> bool;

    /// @brief True if the worker may get new tasks; does not consider its health.
    [[nodiscard]] auto acceptsTasks(const FleetLimits &limits, TimePoint now) const noexcept -> bool;

private:
    auto replaceRecord(const WorkerRecord &record, TimePoint receivedAt) -> void;

    /// @brief Sum that contains the declared processors of a run.
    [[nodiscard]] auto declaredCpuOf(const TaskRun &run) noexcept -> std::int64_t &;

    /// The effects of all ends up to m_end are among the changes up to m_change.
    struct EndMark {
        std::uint64_t m_end = 0;
        std::uint64_t m_change = 0;
    };

    std::deque<EndMark> m_endMarks; ///< marks of ends that are not durable, in ascending order
    Resources m_reserved;
    Resources m_finiteReserved; ///< part of m_reserved
    std::int64_t m_servingCpu = 0; ///< declared demand of the serving runs, in thousandths of a core
    std::int64_t m_yieldingCpu = 0; ///< declared demand of the yielding runs, in thousandths of a core
    std::int64_t m_otherCpu = 0; ///< declared demand of all other runs, in thousandths of a core
};
}

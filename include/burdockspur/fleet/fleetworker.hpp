#pragma once

#include "burdockspur/contract/runreport.hpp"
#include "burdockspur/contract/workerrecord.hpp"
#include "burdockspur/fleet/servingheadroom.hpp"
#include "burdockspur/fleet/taskrun.hpp"
#include "burdockspur/fleet/workerhealth.hpp"
#include "burdockspur/fleet/workerlife.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
struct FleetLimits;

/// @brief One incarnation of a worker: what it runs, what is free, its lease and its acknowledged ends.
class FleetWorker
{
public:
    /// @param record as registered; only the id and incarnation are known for a worker that no list names
    /// @param limits bounds
    /// @param unknownUntil see WorkerLife
    FleetWorker(WorkerRecord record, const FleetLimits &limits, TimePoint unknownUntil);

    WorkerRecord m_record;
    bool m_isListed = false; ///< in the platform's list; others get no new tasks
    bool m_isTaken = false; ///< has answered this owner, which excludes orders of earlier ones
    bool m_reportInFlight = false;
    /// False once a report had no answer. Leases are renewed by this and not by the time of the last report, which is also long ago
    /// when the owner is late itself.
    bool m_isAnswering = false;
    bool m_hasStops = false; ///< some run may be wanted to stop; false spares a look at each run
    bool m_hasRecorded = false; ///< some run may wait for its assignment to be stored; false spares a look at each run
    bool m_hasForeignRuns = false; ///< runs something that no job explains; until it is gone, nothing is added
    TimePoint m_leavesAt = TimePoint::max(); ///< earliest end, once the worker drains
    WorkerLife m_life;
    WorkerHealth m_health;
    std::map<std::string, TaskRun, std::less<>> m_runs; ///< by task name

    std::uint64_t m_seenEnd = 0; ///< last end that was processed
    std::uint64_t m_durableEnd = 0; ///< last end whose consequences are stored

    /// @brief Notes that ends were processed.
    /// @param change number of the last change of any job by then, see JobChanges
    auto noteEnds(std::uint64_t change) -> void;

    /// @brief The last end all of whose consequences are older than a change.
    [[nodiscard]] auto endBefore(std::uint64_t change) const noexcept -> std::uint64_t;

    /// @brief Notes that the consequences of ends are stored.
    auto noteDurable(std::uint64_t end) -> void;

    TimePoint m_reportDue; ///< when to ask again
    TimePoint m_heardAt; ///< last report
    std::vector<ServingHeadroom> m_servingRooms; ///< kept from one decision to the next, see PaceController::fitOf()
    TimePoint m_roomsAt; ///< when they were computed; the epoch once the runs have changed

    /// @brief Adds a run and reserves its room.
    auto add(TaskRun &&run) -> TaskRun &;

    /// @brief Removes a run and frees its room.
    auto remove(std::string_view task) -> void;

    /// @brief Removes all runs.
    [[nodiscard]] auto takeRuns() -> std::map<std::string, TaskRun, std::less<>>;

    /// @brief Notes that a run of this worker has to end.
    auto wantStop(TaskRun &run) noexcept -> void;

    /// @brief The run of a task, or nullptr.
    [[nodiscard]] auto run(std::string_view task) noexcept -> TaskRun *;

    /// @brief What reserved room leaves of the capacity.
    [[nodiscard]] auto free() const noexcept -> Resources;

    /// @brief Thousandths of a core that a further filling task would find unused.
    /// @param limits assumed use of serving tasks, and the ceiling
    [[nodiscard]] auto fillRoom(const FleetLimits &limits) const noexcept -> std::int64_t;

    /// @brief Number of tasks of one step of an occurrence.
    [[nodiscard]] auto countOf(const TaskId &task) const noexcept -> std::uint32_t;

    /// @brief True when new tasks may go to the worker, whatever its health.
    [[nodiscard]] auto isOpen(const FleetLimits &limits, TimePoint now) const noexcept -> bool;

private:
    /// Ends up to m_end have changed jobs up to m_change.
    struct EndMark {
        std::uint64_t m_end = 0;
        std::uint64_t m_change = 0;
    };

    std::deque<EndMark> m_endMarks; ///< of ends that are not durable, in order
    Resources m_reserved;
    std::int64_t m_servingCpu = 0; ///< declared by the serving runs
    std::int64_t m_otherCpu = 0; ///< declared by all others
};
}

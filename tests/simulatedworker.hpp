#pragma once

#include "burdockspur/contract/runreport.hpp"
#include "burdockspur/contract/taskjob.hpp"
#include "burdockspur/contract/workerrecord.hpp"
#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/fleetcommand.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace Burdockspur::Testing
{
/// @brief A run on a simulated worker.
struct SimulatedRun {
    TaskId m_task;
    RunNumber m_run = 0;
    TimePoint m_beganAt;
    TimePoint m_endsAt;
    RunEnd m_how = RunEnd::Done;
    Resources m_reserved;
    const TaskStep *m_step = nullptr; ///< in the submitted job

    // Only with interference, see SimulatedInterference
    Milliseconds m_length{0}; ///< duration with all declared processors
    double m_workedMs = 0; ///< filling: completed part of m_length
    int m_pace = 100; ///< filling: percent, as ordered
    double m_cpuMillis = 0; ///< processors in use
    double m_headroomWithoutFills = 0; ///< serving: tail target divided by the tail if no filling tasks ran beside it
    double m_headroom = 0; ///< serving: tail target divided by the tail
    double m_meanHeadroom = 0; ///< serving: mean of m_headroom over about half a second
};

/// @brief A worker of a FleetSimulation.
struct SimulatedWorker {
    WorkerRecord m_record; ///< what the worker is now
    WorkerRecord m_entry; ///< its entry in the platform's list, which may describe a former incarnation
    TimePoint m_startedAt;
    double m_clockRate = 1.0; ///< seconds of its clock per second
    Epoch m_fencingEpoch = 0;
    Milliseconds m_leaseUntil{0};
    std::map<std::string, SimulatedRun> m_runs;
    std::map<std::string, RunNumber> m_tombstones;
    std::deque<EndedTask> m_ended;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_lastLapsedEnd = 0; ///< ends up to this sequence number precede a lapse of the lease and are not checked
    TimePoint m_unreachableUntil;
    bool m_hasHeldReport = false; ///< a report was held back until something ended, or for the time that its order allowed
};
}

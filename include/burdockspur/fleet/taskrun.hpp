#pragma once

#include "burdockspur/contract/taskid.hpp"
#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/fillinterferencemodel.hpp"
#include "burdockspur/machine/resources.hpp"

#include <cstdint>
#include <string>

namespace Burdockspur
{
class FleetJob;
struct TaskStep;

/// @brief Stage of a run as known to the owner.
enum class RunStage : std::uint8_t {
    Unsent, ///< the assignment is being stored; no start order was sent
    Starting, ///< the start order was sent; no answer yet
    Running, ///< the worker has confirmed the run
    Unconfirmed, ///< assigned by a previous owner; the worker has not reported to this owner yet
};

constexpr int fullPacePercent = 100;
/// Pace of a run that a previous owner has started, or whose last order was not answered.
constexpr int unknownPace = -1;

/// @brief One run of a task on a worker, from its assignment until its end is known to the owner.
struct TaskRun {
    /// @brief Copies the demand and the properties of the task from its step.
    /// @param images assigns the id of the step's image
    auto initFromStep(const TaskStep &step, FillInterferenceModel &images) -> void;

    FleetJob *m_job = nullptr;
    TaskId m_task;
    RunNumber m_run = 0;
    RunStage m_stage = RunStage::Unsent;
    Resources m_reserved; ///< reserved on the worker; no processors for a filling task
    std::int64_t m_cpuMillis = 0; ///< declared demand in thousandths of a core
    std::uint32_t m_priority = 0; ///< of the job's queue when the run was assigned or restored; 0 comes first
    bool m_isServing = false;
    bool m_isFilling = false;
    bool m_isCopy = false; ///< runs beside the original run of its task, whose place it has not taken
    bool m_isYielding = false; ///< filling task that was placed in spite of the guards; uses only processors that other runs leave
    int m_paceLimit = fullPacePercent; ///< highest pace in percent; below 100 only for a yielding run
    Milliseconds m_tailTarget{0};
    TimePoint m_assignedAt;
    TimePoint m_startSentAt; ///< when the last start order was sent
    TimePoint m_confirmedAt; ///< when the worker confirmed the run
    double m_percent = 0; ///< progress in the latest report
    double m_firstPercent = 0; ///< progress in the first report that listed the run
    TimePoint m_firstListedAt; ///< when the first report that listed the run was processed
    double m_load = 0; ///< see RunningTask::m_load
    ImageId m_image = 0;
    double m_headroomWithoutFills = 0; ///< serving: latest headroom without filling tasks beside it, see FillInterferenceModel; assumed until the first sample
    double m_headroomDeficit = 0; ///< serving: smoothed difference by which m_headroomWithoutFills is below that of its job
    double m_lastHeadroom = 0; ///< serving: headroom in the previous report
    TimePoint m_lowHeadroomSince; ///< serving: since when its headroom beside filling tasks is barely above the target
    std::string m_checkpoint; ///< latest known checkpoint; empty for none
    int m_pace = fullPacePercent; ///< latest pace in percent that the worker has accepted, or unknownPace
    bool m_paceInFlight = false;
    /// False once something other than its own work may have changed its duration: a pace, a checkpoint that it started from, a former owner.
    bool m_isUndisturbed = true;
    bool m_isStopRequested = false;
    bool m_stopInFlight = false;
    TimePoint m_stopSentAt;
    TimePoint m_stopAcceptedAt; ///< when the worker confirmed that the run ends or can never start
    std::uint32_t m_unansweredStarts = 0; ///< number of start orders without an answer; each may still be carried out
};
}

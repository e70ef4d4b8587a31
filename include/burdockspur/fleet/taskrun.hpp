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

/// @brief How far a run has come, as the owner knows it.
enum class RunStage : std::uint8_t {
    Recorded, ///< its assignment is being stored; no order was sent
    Starting, ///< the order was sent; no answer yet
    Running, ///< the worker has confirmed it
    Unconfirmed, ///< assigned by a previous owner; the worker has not been asked yet
};

/// @brief One run of a task on a worker, from its assignment until its end is known.
struct TaskRun {
    /// @brief Takes the demand and the kind of the task from its step.
    auto describe(const TaskStep &step, FillInterferenceModel &images) -> void;

    FleetJob *m_job = nullptr;
    TaskId m_task;
    RunNumber m_run = 0;
    RunStage m_stage = RunStage::Recorded;
    Resources m_reserved; ///< without processors for a task that fills
    std::int64_t m_cpuMillis = 0; ///< as declared
    bool m_isServing = false;
    bool m_fills = false;
    Milliseconds m_tailTarget{0};
    TimePoint m_assignedAt;
    TimePoint m_confirmedAt; ///< when the answer to the order came
    double m_percent = 0;
    double m_firstPercent = 0; ///< at the first report that listed it
    TimePoint m_firstListedAt;
    double m_load = 0; ///< see RunningTask::m_load
    ImageId m_image = 0;
    double m_freeHeadroom = 0; ///< serving: last headroom without filling neighbours, see PressureModel; 0 before the first
    double m_behindJob = 0; ///< serving: smoothed, by how much its free headroom is behind that of its job
    double m_lastHeadroom = 0; ///< serving: of the report before
    TimePoint m_tightSince; ///< serving: since when its headroom is hardly above the target beside filling tasks
    std::string m_checkpoint; ///< last known
    int m_pace = 100; ///< percent that the worker was told
    bool m_paceInFlight = false;
    bool m_stopWanted = false;
    bool m_stopInFlight = false;
    TimePoint m_stopSentAt;
    TimePoint m_stopAcceptedAt; ///< when the worker confirmed that the run ends or can never begin
    std::uint32_t m_unanswered = 0; ///< start orders without an answer; each may still be carried out
};
}

#pragma once

#include "burdockspur/contract/taskid.hpp"
#include "burdockspur/core/clock.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace Burdockspur
{
/// @brief How a run ended.
enum class RunEnd : std::uint8_t {
    Done,
    Failed, ///< the task or its worker failed
    Stopped, ///< stopped by an order
    LeaseLapsed,
    GangBroken, ///< another member of the gang ended
    GangIncomplete, ///< the other members of the gang did not start in time
};

/// @brief A task that a worker runs.
struct RunningTask {
    TaskId m_task;
    RunNumber m_run = 0;
    std::string m_checkpoint;
    double m_percent = 0; ///< completed share of its work, 0 to 100; 100 for a serving task that is serving
    double m_load = 0; ///< serving task: tail of its response times in ms; other tasks: processor use in thousandths of a core
};

/// @brief The end of a run; a worker repeats it until it is acknowledged.
struct EndedTask {
    std::uint64_t m_sequence = 0; ///< consecutive number within the worker's incarnation, from 1
    TaskId m_task;
    RunNumber m_run = 0;
    RunEnd m_cause = RunEnd::Failed;
    std::string m_checkpoint;
};

/// @brief A worker's report of its runs: those in progress, and those that ended and are not yet acknowledged.
struct RunReport {
    std::uint64_t m_incarnation = 0;
    Milliseconds m_clock{0}; ///< the worker's steady clock
    std::vector<RunningTask> m_running;
    std::vector<EndedTask> m_ended;
};
}

#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/shard/jobrecord.hpp"

#include <cstdint>

namespace Burdockspur
{
/// @brief What the owner is doing with the latest attempt of a job; not durable.
enum class AttemptPhase : std::uint8_t {
    None, ///< there is no attempt, or it is known to have ended
    Assigning, ///< the assignment is not durable yet; the start was never sent
    Starting, ///< the start was sent; the worker may run the attempt
    Running, ///< the worker has confirmed the attempt
    Checkpointing, ///< the worker writes a checkpoint before the stop
    Stopping, ///< a stop was sent and is repeated until it is acknowledged
    Reconciling, ///< assigned by a previous owner; the worker has not reported yet
};

/// @brief A job of the shard with the progress of its latest attempt.
struct JobEntry {
    JobRecord m_record;
    AttemptPhase m_phase = AttemptPhase::None;
    AttemptNumber m_durableAttempt = 0; ///< highest attempt whose assignment is durable
    std::uint32_t m_sends = 0; ///< starts sent of the latest attempt
    Resources m_peak; ///< highest reported usage of the attempt
    TimePoint m_confirmedAt; ///< when the worker confirmed the attempt
    TimePoint m_due = TimePoint::max(); ///< when the order in progress is repeated
};
}

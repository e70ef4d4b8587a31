#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/shard/jobrecord.hpp"

#include <cstdint>

namespace Burdockspur
{
/// @brief Phase of the latest attempt of a job, as known to the shard owner; not durable.
enum class AttemptPhase : std::uint8_t {
    None, ///< there is no attempt, or it is known to have ended
    Assigning, ///< the assignment is not durable yet, so the start was not sent
    Starting, ///< the start was sent; the worker may or may not run the attempt
    Running, ///< the worker has confirmed the attempt
    Checkpointing, ///< the worker writes a checkpoint before it stops the attempt
    Stopping, ///< a stop was sent and is repeated until the worker reports the end
    Reconciling, ///< assigned by a previous owner; the worker has not reported yet
};

/// @brief A job of the shard and the state of its latest attempt.
struct JobEntry {
    JobRecord m_record;
    AttemptPhase m_phase = AttemptPhase::None;
    AttemptNumber m_durableAttempt = 0; ///< highest attempt whose assignment is durable
    std::uint32_t m_startsSent = 0; ///< number of starts sent for the latest attempt
    Resources m_peakUsage; ///< highest reported usage of the latest attempt
    TimePoint m_confirmedAt; ///< when the worker confirmed that the attempt runs
    TimePoint m_due = TimePoint::max(); ///< when the order to the worker is repeated or abandoned
};
}

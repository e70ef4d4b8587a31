#pragma once

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/machine/resources.hpp"

#include <cstdint>
#include <string>

namespace Burdockspur
{
/// @brief Identifies one execution of a job on one worker.
struct AttemptId {
    std::string m_job;
    AttemptNumber m_number = 0;

    [[nodiscard]] auto operator==(const AttemptId &) const -> bool = default;
};

/// @brief State of an attempt as reported by its worker.
enum class AttemptState : std::uint8_t {
    Running,
    Completed,
    Failed,
    Stopped,
    NeverStarted, ///< tombstone: did not start and never will
};

/// @brief A worker's report about one attempt.
struct AttemptReport {
    AttemptId m_attempt;
    AttemptState m_state = AttemptState::Running;
    std::int64_t m_progressPercent = 0;
    std::string m_checkpoint;
    std::string m_result;
    Resources m_usage; ///< measured use; lags behind the actual use
};
}

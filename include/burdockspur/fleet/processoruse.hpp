#pragma once

#include "burdockspur/core/clock.hpp"

namespace Burdockspur
{
class Duty;

/// @brief The threads of a host that use its processor.
struct HostDuties {
    const Duty *m_gate = nullptr;
    const Duty *m_store = nullptr;
    const Duty *m_scheduler = nullptr;
    const Duty *m_workers = nullptr;
};

/// @brief Processor time that the threads of a host have used in a span of time.
struct ProcessorTimes {
    Duration m_process{0}; ///< of all threads, also those of libraries
    Duration m_gate{0};
    Duration m_store{0};
    Duration m_scheduler{0};
    Duration m_workers{0};
};

/// @brief Measures the processor time of the threads of a host from call to call.
class ProcessorUse
{
public:
    /// @param duties threads to measure; each must outlive the object or be nullptr
    auto watch(const HostDuties &duties) noexcept -> void;

    /// @brief Processor time since the previous call; since the start of the process at the first one.
    [[nodiscard]] auto take() noexcept -> ProcessorTimes;

private:
    HostDuties m_duties;
    ProcessorTimes m_total; ///< at the previous call
};
}

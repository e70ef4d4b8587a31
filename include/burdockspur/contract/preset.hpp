#pragma once

#include <string>

namespace Burdockspur
{
/// @brief A named policy that operators switch to; exactly one is in force.
struct Preset {
    std::string m_name; ///< e.g. `ordinary`, `peak`, `maintenance`
    double m_tailWeight = 1.0; ///< weight of tail latency, 0 to 10
    double m_batchWeight = 1.0; ///< weight of batch throughput, 0 to 10
    double m_evictionWeight = 1.0; ///< weight against evictions, 0 to 10
    bool m_acceptBatch = true; ///< start queued batch jobs

    [[nodiscard]] auto operator==(const Preset &) const -> bool = default;
};
}

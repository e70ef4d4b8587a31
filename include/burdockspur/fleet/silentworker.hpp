#pragma once

#include "burdockspur/core/clock.hpp"

#include <string>

namespace Burdockspur
{
/// @brief A worker that does not answer, as the owner's row tells a successor.
///
/// While a stored row lists a worker, the owner sends it no order with a lease, so its runs end when the last lease expires.
struct SilentWorker {
    std::string m_worker; ///< id
    Milliseconds m_leaseLeft{0}; ///< time until the lease has certainly expired, counted from the write of the row

    [[nodiscard]] auto operator==(const SilentWorker &) const -> bool = default;
};
}

#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/core/guards.hpp"

#include <cstddef>
#include <cstdint>

namespace Burdockspur
{
/// @brief Capacities, timeouts and backoffs of RequestRouter.
struct RouterLimits {
    std::size_t m_maxInFlight = 4'096; ///< callers that may wait for an answer at the same time
    std::size_t m_maxQueuedPerClass = 256; ///< requests of a service, or for a worker, that may wait for a free slot
    Milliseconds m_forwardTimeout{2'000}; ///< longest wait for a worker's answer before the request is settled
    Milliseconds m_settleReserve{250}; ///< time before the deadline reserved for settling; at most half of the remaining time
    Milliseconds m_settleTimeout{500}; ///< timeout of one settle
    Milliseconds m_settleGrace{500}; ///< period after the deadline in which settling may continue
    Milliseconds m_pauseMin{4}; ///< first backoff before a settle or forward is repeated; doubles
    Milliseconds m_pauseMax{200}; ///< longest such backoff
    Milliseconds m_leavingMark{10'000}; ///< period in which a worker that replied `leaving` receives no requests
    Milliseconds m_avoidMin{100}; ///< avoidance of a worker after its first failure; doubles with consecutive failures
    Milliseconds m_avoidMax{10'000}; ///< longest avoidance of a worker
    std::size_t m_idempotencyEntries = 16'384; ///< idempotency keys in the table
    std::size_t m_idempotencyBytes = std::size_t{32} * 1024 * 1024; ///< total size of the stored answers
    Milliseconds m_idempotencyTtl{600'000}; ///< lifetime of a finished key
    std::uint32_t m_retryPercent = 20; ///< retries allowed, as a share of a caller's recent requests
    std::uint32_t m_retryMinimum = 10; ///< retries allowed to every caller
    Milliseconds m_retryWindow{10'000}; ///< recent requests are those of the current and the previous window
    std::size_t m_retryCallers = 1'024; ///< callers with their own budget; the others share one
    Guards m_guards{};
};
}

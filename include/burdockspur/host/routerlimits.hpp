#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/core/guards.hpp"

#include <cstddef>
#include <cstdint>

namespace Burdockspur
{
/// @brief Bounds and periods of RequestRouter.
struct RouterLimits {
    std::size_t m_maxInFlight = 4'096; ///< callers waiting for an answer
    std::size_t m_maxQueuedPerClass = 256; ///< requests of a service that wait for a free slot
    Milliseconds m_forwardTimeout{2'000}; ///< longest wait for an answer before the request is settled
    Milliseconds m_settleReserve{250}; ///< part of the deadline kept for settling, at most half of it
    Milliseconds m_settleTimeout{500}; ///< of one settle
    Milliseconds m_settleGrace{500}; ///< settling may go on for so long after the deadline
    Milliseconds m_pauseMin{4}; ///< before a repeated settle or send to the same worker; doubles
    Milliseconds m_pauseMax{200};
    Milliseconds m_leavingMark{10'000}; ///< a worker that replied `leaving` gets nothing for so long
    Milliseconds m_avoidMin{100}; ///< a worker is avoided after a failure; doubles
    Milliseconds m_avoidMax{10'000};
    std::size_t m_idempotencyEntries = 16'384;
    std::size_t m_idempotencyBytes = std::size_t{32} * 1024 * 1024; ///< stored answers
    Milliseconds m_idempotencyTtl{600'000};
    std::uint32_t m_retryPercent = 20; ///< of a caller's recent requests
    std::uint32_t m_retryMinimum = 10;
    Milliseconds m_retryWindow{10'000}; ///< "recent" is one to two windows
    std::size_t m_retryCallers = 1'024; ///< callers with a budget of their own; the others share one
    Guards m_guards{};
};
}

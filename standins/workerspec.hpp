#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/machine/resources.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace Burdockspur::Standins
{
/// @brief Name, capacity and bounds of a worker.
struct WorkerSpec {
    std::string m_name = "worker";
    Resources m_capacity{16'000, 60'000, 0};
    std::size_t m_slots = 8; ///< requests that run at once
    std::size_t m_connections = 64;
    Duration m_serviceTime{0}; ///< of requests that do not state their own
    Duration m_answerRetention = std::chrono::minutes(2); ///< stored answers and request tombstones; covers every retry of a caller
    Duration m_attemptRetention = std::chrono::minutes(10); ///< acknowledged attempts and task tombstones
    std::size_t m_journalCapacity = 20'000; ///< entries of the journal
    std::size_t m_auditCapacity = 200'000; ///< ids remembered to find repetitions
};
}

#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/machine/resources.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace Burdockspur::Standins
{
/// @brief Name, capacity and limits of a worker.
struct WorkerSpec {
    std::string m_name = "worker";
    Resources m_capacity{16'000, 60'000, 0};
    std::size_t m_slots = 8; ///< maximum number of requests that run at once
    std::size_t m_connections = 64;
    Duration m_serviceTime{0}; ///< of requests without a service time of their own
    Duration m_answerRetention = std::chrono::minutes(2); ///< how long answers and request tombstones are kept; longer than callers retry
    Duration m_attemptRetention = std::chrono::minutes(10); ///< how long acknowledged attempts and task tombstones are kept
    std::size_t m_journalCapacity = 20'000; ///< maximum number of entries in the journal
    std::size_t m_auditCapacity = 200'000; ///< maximum number of ids of each kind remembered to detect duplicates
};
}

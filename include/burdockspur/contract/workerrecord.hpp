#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/link/httpclient.hpp"
#include "burdockspur/machine/resources.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Burdockspur
{
/// @brief A worker's registration.
struct WorkerRecord {
    std::string m_id;
    std::string m_pool;
    HttpEndpoint m_endpoint;
    std::string m_zone;
    std::string m_rack; ///< rack of the machine; empty if the registration names none
    std::vector<std::string> m_labels;
    Resources m_capacity;
    std::uint64_t m_incarnation = 0; ///< start of the process that the registration describes; it says nothing about any other one
    std::optional<Milliseconds> m_drainRemaining; ///< minimum time until a draining worker leaves; not set for other workers
};
}

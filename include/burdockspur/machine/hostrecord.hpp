#pragma once

#include "burdockspur/machine/resources.hpp"
#include "burdockspur/zone/place.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace Burdockspur
{
/// @brief Role of a machine in the host list.
enum class HostRole : std::uint8_t {
    Worker,
    Entry,
};

/// @brief State of a machine in the host list.
enum class HostState : std::uint8_t {
    Live,
    Leaving,
};

/// @brief One machine of the platform's host list.
struct HostRecord {
    std::string m_name;
    HostRole m_role = HostRole::Worker;
    HostState m_state = HostState::Live;
    std::string m_address; ///< IP number
    std::uint16_t m_port = 0; ///< HTTP port
    std::uint16_t m_framePort = 0; ///< frame port of the scheduler; entry hosts only
    Place m_place;
    Resources m_capacity; ///< workers only
    std::uint32_t m_slots = 0; ///< number of requests that a worker runs at once
    std::uint32_t m_connections = 0; ///< number of connections that a worker accepts

    [[nodiscard]] auto operator==(const HostRecord &) const -> bool = default;
};

/// @brief One reading of the host list; it lags behind the actual state of the machines.
struct HostListing {
    std::uint64_t m_generation = 0;
    std::vector<HostRecord> m_hosts;
};
}

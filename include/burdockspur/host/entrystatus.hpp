#pragma once

#include "burdockspur/contract/shardownership.hpp"
#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/machine/hostrecord.hpp"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief State of a worker as shown in the status report.
struct TargetStatus {
    std::string m_name;
    std::string m_zone;
    HostState m_state = HostState::Live;
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_slots = 0;
    std::uint32_t m_failures = 0;
    bool m_accepts = false; ///< whether it receives new requests
};

/// @brief Content of the status report of an entry daemon.
struct EntryReport {
    std::string m_host;
    ConfigVersion m_configVersion = 0;
    std::string m_preset;
    bool m_draining = false;
    bool m_acceptsKeys = false; ///< this daemon is a member of the current key map
    std::size_t m_requestsInFlight = 0;
    std::size_t m_requestsQueued = 0;
    std::vector<ShardOwnership> m_shards;
    std::vector<std::string> m_openLinks; ///< entry hosts with an open link to their scheduler
    std::vector<TargetStatus> m_targets;
};

/// @brief Thread-safe status report: each duty updates its part; the callers' port and the admin port read it.
class EntryStatus
{
public:
    /// @brief Calls a function with the report while the lock is held.
    template<typename Edit>
    auto update(Edit &&edit) -> void
    {
        const std::scoped_lock lock(m_mutex);
        std::forward<Edit>(edit)(m_report);
    }

    /// @brief Returns the report as JSON text.
    [[nodiscard]] auto text() const -> std::string;

    /// @brief Returns the zone of a worker, or an empty text if the report does not list it.
    [[nodiscard]] auto zoneOf(std::string_view worker) const -> std::string;

private:
    mutable std::mutex m_mutex;
    EntryReport m_report;
};
}

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
/// @brief A worker in the status of an entry daemon.
struct TargetStatus {
    std::string m_name;
    std::string m_zone;
    HostState m_state = HostState::Live;
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_slots = 0;
    std::uint32_t m_failures = 0;
    bool m_accepts = false; ///< gets new requests
};

/// @brief What an entry daemon says about itself.
struct EntryReport {
    std::string m_host;
    ConfigVersion m_configVersion = 0;
    std::string m_preset;
    bool m_draining = false;
    bool m_acceptsKeys = false; ///< registered in the key map that is in force
    std::size_t m_requestsInFlight = 0;
    std::size_t m_requestsQueued = 0;
    std::vector<ShardOwnership> m_shards;
    std::vector<std::string> m_openLinks; ///< entry hosts whose scheduler is connected
    std::vector<TargetStatus> m_targets;
};

/// @brief The report, written by the duties and read by the callers' and the admin port.
class EntryStatus
{
public:
    /// @brief Changes a part of the report.
    template<typename Edit>
    auto update(Edit &&edit) -> void
    {
        const std::scoped_lock lock(m_mutex);
        std::forward<Edit>(edit)(m_report);
    }

    /// @brief The report as JSON text.
    [[nodiscard]] auto text() const -> std::string;

    /// @brief Zone of a worker of the report, or an empty text.
    [[nodiscard]] auto zoneOf(std::string_view worker) const -> std::string;

private:
    mutable std::mutex m_mutex;
    EntryReport m_report;
};
}

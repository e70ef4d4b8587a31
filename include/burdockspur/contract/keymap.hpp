#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Burdockspur
{
/// @brief A process that the key map lists: a worker or an entry daemon.
struct KeyMapMember {
    std::string m_name;
    std::string m_incarnation; ///< empty for a worker that does not report one

    [[nodiscard]] auto operator==(const KeyMapMember &) const -> bool = default;
};

/// @brief A change of the key map after which keys may belong to another process, or an entry daemon may have lost its record
/// of the requests that it sent.
struct KeyMapChange {
    enum class Kind : std::uint8_t {
        WorkerAdded,
        WorkerRemoved,
        WorkerRestarted,
        EntryAdded,
        EntryReplaced,
        EntryRemoved,
    };

    Kind m_kind = Kind::WorkerAdded;
    std::string m_name;
    std::uint64_t m_generation = 0; ///< generation of the first map that lists the change

    [[nodiscard]] auto operator==(const KeyMapChange &) const -> bool = default;
    [[nodiscard]] auto operator<=>(const KeyMapChange &) const = default;
};

/// @brief The document from which all entry daemons derive the process that each idempotency key belongs to.
struct KeyMap {
    std::uint64_t m_generation = 0; ///< 0: the map does not exist
    std::uint64_t m_hostsGeneration = 0; ///< generation of the newest host list that the map was computed from
    std::vector<KeyMapMember> m_workers; ///< sorted by name
    std::vector<KeyMapMember> m_entries; ///< sorted by name
    std::vector<KeyMapChange> m_changes; ///< recent changes

    [[nodiscard]] auto operator==(const KeyMap &) const -> bool = default;
};
}

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Burdockspur
{
/// @brief A process of the key map: a worker or an entry daemon.
struct KeyMapMember {
    std::string m_name;
    std::string m_incarnation; ///< empty for a worker that does not tell it

    [[nodiscard]] auto operator==(const KeyMapMember &) const -> bool = default;
};

/// @brief A change of the key map that may have moved keys, or ended the memory of an entry daemon.
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
    std::uint64_t m_generation = 0; ///< of the map that first listed the change

    [[nodiscard]] auto operator==(const KeyMapChange &) const -> bool = default;
    [[nodiscard]] auto operator<=>(const KeyMapChange &) const = default;
};

/// @brief The document that tells all entry daemons to which process each idempotency key belongs.
struct KeyMap {
    std::uint64_t m_generation = 0; ///< 0: the map does not exist
    std::uint64_t m_hostsGeneration = 0; ///< of the newest host list that a proposer used
    std::vector<KeyMapMember> m_workers; ///< by name
    std::vector<KeyMapMember> m_entries; ///< by name
    std::vector<KeyMapChange> m_changes; ///< recent ones

    [[nodiscard]] auto operator==(const KeyMap &) const -> bool = default;
};
}

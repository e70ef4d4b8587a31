#pragma once

#include "burdockspur/contract/keymap.hpp"
#include "burdockspur/core/error.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
class TableStore;
struct TableRow;

/// @brief Reads the key map from the table service and writes changes by compare-and-set.
///
/// The version of the head row is the generation of the map. The members row is read only after the generation has
/// increased, and is accepted only if it contains the same generation. Must be used in the thread of its table store;
/// it has no timer of its own.
///
/// @code
/// KeyMapStore keyMap(store, incarnation, {onMap, onNotWritten});
/// keyMap.poll(); // each second
/// @endcode
class KeyMapStore
{
public:
    /// @brief Callbacks for results; never invoked from within a member function call.
    struct Listener {
        std::function<void(const KeyMap &)> m_read; ///< called after the first read, after a readNow(), and with each higher generation
        std::function<void()> m_notWritten; ///< called when a proposal was rejected or its result is unknown
    };

    /// @param store must outlive this object
    /// @param operationPrefix prefix of the operation ids; must differ between processes
    /// @param listener receives maps and failed proposals
    KeyMapStore(TableStore &store, std::string_view operationPrefix, Listener listener);

    /// @brief Reads the head row, and the members row if the generation has increased.
    auto poll() -> void;

    /// @brief Reads the map immediately and reports it even if it has not changed.
    auto readNow() -> void;

    /// @brief Writes the next map if the stored one has the preceding generation.
    auto propose(KeyMap &&next) -> void;

private:
    auto handleHead(Result<std::vector<TableRow>> &&rows) -> void;
    auto handleMembers(std::uint64_t generation, Result<std::vector<TableRow>> &&rows) -> void;
    auto report(const KeyMap &map) -> void;

    TableStore *m_store;
    std::string m_operationPrefix;
    Listener m_listener;
    std::uint64_t m_generation = 0; ///< highest generation that was reported
    std::uint64_t m_lastOperation = 0;
    std::string m_unknownOperation; ///< proposal whose result is unknown
    bool m_isReading = false;
    bool m_mustReport = true;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

/// @brief Encodes a map as the value of the row `keymap/members`.
[[nodiscard]] auto encodeKeyMap(const KeyMap &map) -> std::string;

/// @brief Decodes the value of the row `keymap/members`.
/// @returns the map, or BadRequest with the invalid JSON members
[[nodiscard]] auto decodeKeyMap(std::string_view value) -> Result<KeyMap>;
}

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

/// @brief Reads the key map of the table and writes changes by compare-and-set.
///
/// The version of the head row is the generation of the map. The members are read only when it has grown, and count
/// only when they carry it. Lives in the thread of its table store and has no timer of its own.
///
/// @code
/// KeyMapStore keyMap(store, incarnation, {onMap, onNotWritten});
/// keyMap.poll(); // each second
/// @endcode
class KeyMapStore
{
public:
    /// @brief Takes what the store learns, never from within a call.
    struct Listener {
        std::function<void(const KeyMap &)> m_read; ///< a higher generation, the first read, or a read that was ordered
        std::function<void()> m_notWritten; ///< the proposal lost, or its result is not known
    };

    /// @param store outlives this object
    /// @param operationPrefix start of the operation ids; differs between processes
    /// @param listener takes maps and failures
    KeyMapStore(TableStore &store, std::string_view operationPrefix, Listener listener);

    /// @brief Reads the head, and the members when the generation has grown.
    auto poll() -> void;

    /// @brief Reads both at once and reports the map even when it is the same.
    auto readNow() -> void;

    /// @brief Writes the next map if the current one has the generation before it.
    auto propose(KeyMap &&next) -> void;

private:
    auto takeHead(Result<std::vector<TableRow>> &&rows) -> void;
    auto takeMembers(std::uint64_t generation, Result<std::vector<TableRow>> &&rows) -> void;
    auto report(const KeyMap &map) -> void;

    TableStore *m_store;
    std::string m_operationPrefix;
    Listener m_listener;
    std::uint64_t m_generation = 0; ///< of the latest report
    std::uint64_t m_lastOperation = 0;
    std::string m_unknownOperation; ///< its answer was lost
    bool m_isReading = false;
    bool m_mustReport = true;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

/// @brief Value of the row `keymap/members`.
[[nodiscard]] auto encodeKeyMap(const KeyMap &map) -> std::string;

/// @returns the map, or BadRequest with the members that are wrong
[[nodiscard]] auto decodeKeyMap(std::string_view value) -> Result<KeyMap>;
}

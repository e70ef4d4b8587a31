#pragma once

#include "burdockspur/contract/keymap.hpp"

#include <variant>

namespace Burdockspur
{
/// @brief Order to write the next key map, unless the stored one no longer has the preceding generation.
struct ProposeKeyMap {
    KeyMap m_next;
};

/// @brief Order to read the key map immediately and to report it even if it has not changed.
struct ReadKeyMap {
};

/// @brief Orders that KeyMapKeeper issues.
using KeyMapCommand = std::variant<ProposeKeyMap, ReadKeyMap>;
}

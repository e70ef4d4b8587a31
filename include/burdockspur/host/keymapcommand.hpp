#pragma once

#include "burdockspur/contract/keymap.hpp"

#include <variant>

namespace Burdockspur
{
/// @brief Writes the next key map if the current one still has the generation before it.
struct ProposeKeyMap {
    KeyMap m_next;
};

/// @brief Reads the key map at once, and reports it even when it is the same.
struct ReadKeyMap {
};

/// @brief Everything that KeyMapKeeper orders.
using KeyMapCommand = std::variant<ProposeKeyMap, ReadKeyMap>;
}

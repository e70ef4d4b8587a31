#pragma once

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/host/keymapcommand.hpp"
#include "burdockspur/host/routerevent.hpp"

#include <string>
#include <variant>

namespace Burdockspur
{
/// @brief Puts another preset in force.
struct SwitchPreset {
    CallerTicket m_ticket = 0;
    ConfigVersion m_expectedVersion = 0;
    std::string m_preset;
};

/// @brief Replaces the configuration document.
struct ReplaceConfiguration {
    CallerTicket m_ticket = 0;
    ConfigVersion m_expectedVersion = 0;
    std::string m_document;
};

/// @brief A peer knows this version of the configuration.
struct VersionSeen {
    ConfigVersion m_version = 0;
};

/// @brief Everything that the platform duty takes from its ring.
using PlatformCommand = std::variant<VersionSeen, SwitchPreset, ReplaceConfiguration, ProposeKeyMap, ReadKeyMap>;
}

#pragma once

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/host/keymapcommand.hpp"
#include "burdockspur/host/routerevent.hpp"

#include <string>
#include <variant>

namespace Burdockspur
{
/// @brief Order of an operator to put another preset in force.
struct SwitchPreset {
    CallerTicket m_ticket = 0;
    ConfigVersion m_expectedVersion = 0;
    std::string m_preset;
};

/// @brief Order of an operator to replace the configuration document.
struct ReplaceConfiguration {
    CallerTicket m_ticket = 0;
    ConfigVersion m_expectedVersion = 0;
    std::string m_document;
};

/// @brief A scheduler reported a higher configuration version than the one in force in this daemon.
struct ConfigVersionReported {
    ConfigVersion m_version = 0;
};

/// @brief Commands that PlatformDuty reads from its ring.
using PlatformCommand = std::variant<ConfigVersionReported, SwitchPreset, ReplaceConfiguration, ProposeKeyMap, ReadKeyMap>;
}

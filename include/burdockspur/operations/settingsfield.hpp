#pragma once

#include "burdockspur/core/clock.hpp"

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace Burdockspur
{
/// @brief Type of the value of a setting.
enum class SettingKind : std::uint8_t {
    Text,
    IpAddress, ///< IPv4 or IPv6 in numeric form
    Integer,
    DurationMs, ///< integer, milliseconds
    Number,
    Boolean,
};

/// @brief Whether a file may omit a setting.
enum class SettingPresence : std::uint8_t {
    Required,
    Optional, ///< the default is the member's initialiser
};

/// @brief Inclusive limits of a setting; for text, limits of its length in bytes.
struct SettingRange {
    double m_minimum = -std::numeric_limits<double>::infinity();
    double m_maximum = std::numeric_limits<double>::infinity();
};

/// @brief Value of a setting; a duration is an integer in milliseconds.
using SettingValue = std::variant<std::string, std::int64_t, double, bool>;

/// @brief One row of a settings table, independent of the type of the settings structure.
struct SettingDescription {
    std::string_view m_key;
    SettingKind m_kind = SettingKind::Text;
    SettingPresence m_presence = SettingPresence::Optional;
    SettingRange m_range;
    std::string_view m_unit;
    std::string_view m_help;
    SettingValue m_default;
};

/// @brief One row of a settings table: a dotted key and the member that stores its value.
///
/// Rows are built at compile time; a kind that does not match the type of the member is a compile error.
///
/// @code
/// constexpr std::array<SettingsField<EntrySettings>, 2> entryFields{{
///     {"callers.address", &EntrySettings::m_callersAddress, SettingKind::IpAddress, SettingPresence::Required, {}, "", "Address for callers"},
///     {"callers.idle_ms", &EntrySettings::m_idle, SettingKind::DurationMs, SettingPresence::Optional, {100, 600'000}, "ms", "Idle limit"},
/// }};
/// @endcode
template<typename Settings>
class SettingsField
{
public:
    /// @param key dotted key in the file, e.g. `callers.port`
    /// @param member stores the value; its initialiser is the default
    /// @param kind type of the value in the file
    /// @param presence whether the key may be absent
    /// @param range limits; the limits of the member's type apply as well
    /// @param unit e.g. `ms`; may be empty
    /// @param help meaning of the setting in one line
    template<typename Value, typename Owner>
        requires std::derived_from<Settings, Owner>
    consteval SettingsField(std::string_view key,
                            Value Owner::*member,
                            SettingKind kind,
                            SettingPresence presence,
                            SettingRange range,
                            std::string_view unit,
                            std::string_view help)
        : m_key(key)
        , m_member(static_cast<Value Settings::*>(member))
        , m_kind(kind)
        , m_presence(presence)
        , m_range(rangeWithin<Value>(range))
        , m_unit(unit)
        , m_help(help)
    {
        if (!kindFits<Value>(kind)) {
            kindDoesNotFitTheMember();
        }
    }

    /// @brief The row without the type of the settings structure.
    /// @param defaults settings that hold the default values
    [[nodiscard]] auto describe(const Settings &defaults) const -> SettingDescription
    {
        auto value = std::visit(
            [&defaults](auto member) {
                return valueOf(defaults.*member);
            },
            m_member);
        return {m_key, m_kind, m_presence, m_range, m_unit, m_help, std::move(value)};
    }

    /// @brief Stores a value in the member.
    /// @param value must be of the row's kind and within its range
    auto assign(Settings &settings, const SettingValue &value) const -> void
    {
        std::visit(
            [&settings, &value](auto member) {
                store(settings.*member, value);
            },
            m_member);
    }

private:
    using Member = std::variant<std::string Settings::*,
                                bool Settings::*,
                                double Settings::*,
                                Milliseconds Settings::*,
                                int Settings::*,
                                std::int64_t Settings::*,
                                std::uint16_t Settings::*,
                                std::uint32_t Settings::*,
                                std::uint64_t Settings::*>;

    template<typename Value>
    static constexpr bool isInteger = std::integral<Value> && !std::same_as<Value, bool>;

    // Not constexpr: a call of it in the consteval constructor is a compile error that shows this name.
    static auto kindDoesNotFitTheMember() -> void
    {
    }

    template<typename Value>
    static consteval auto kindFits(SettingKind kind) -> bool
    {
        switch (kind) {
        case SettingKind::Text:
        case SettingKind::IpAddress:
            return std::same_as<Value, std::string>;
        case SettingKind::Integer:
            return isInteger<Value>;
        case SettingKind::DurationMs:
            return std::same_as<Value, Milliseconds>;
        case SettingKind::Number:
            return std::same_as<Value, double>;
        case SettingKind::Boolean:
            return std::same_as<Value, bool>;
        }
        return false;
    }

    template<typename Value>
    static consteval auto rangeWithin(SettingRange range) -> SettingRange
    {
        if constexpr (isInteger<Value>) {
            range.m_minimum = std::max(range.m_minimum, static_cast<double>(std::numeric_limits<Value>::min()));
            range.m_maximum = std::min(range.m_maximum, static_cast<double>(std::numeric_limits<Value>::max()));
        } else if constexpr (std::same_as<Value, Milliseconds>) {
            range.m_minimum = std::max(range.m_minimum, 0.0);
        }
        return range;
    }

    template<typename Value>
    static auto valueOf(const Value &value) -> SettingValue
    {
        if constexpr (std::same_as<Value, Milliseconds>) {
            return static_cast<std::int64_t>(value.count());
        } else if constexpr (isInteger<Value>) {
            return static_cast<std::int64_t>(value);
        } else {
            return value;
        }
    }

    template<typename Value>
    static auto store(Value &target, const SettingValue &value) -> void
    {
        if constexpr (std::same_as<Value, Milliseconds>) {
            target = Milliseconds(std::get<std::int64_t>(value));
        } else if constexpr (isInteger<Value>) {
            target = static_cast<Value>(std::get<std::int64_t>(value));
        } else {
            target = std::get<Value>(value);
        }
    }

    std::string_view m_key;
    Member m_member;
    SettingKind m_kind;
    SettingPresence m_presence;
    SettingRange m_range;
    std::string_view m_unit;
    std::string_view m_help;
};
}

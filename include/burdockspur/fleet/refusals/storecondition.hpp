#pragma once

#include "burdockspur/core/clock.hpp"

#include <cstdint>
#include <string_view>

namespace Burdockspur
{
/// @brief How the store answers the calls of this host.
enum class StoreCondition : std::uint8_t {
    Answering,
    Silent, ///< calls get no answer, so their outcome is not known
    Refusing, ///< calls fail at once: refused, or their connection is closed
};

/// @brief Name of a condition in logs, e.g. `silent`.
[[nodiscard]] auto conditionName(StoreCondition condition) noexcept -> std::string_view;

/// @brief What a host has observed of the store.
struct StoreReport {
    StoreCondition m_condition = StoreCondition::Answering;
    TimePoint m_since; ///< start of the outage, or of the current condition when the store answers
    Duration m_lastOutage{0}; ///< length of the outage before; 0 when none was observed
    TimePoint m_silentUntil; ///< calls that were sent before the end of the last silence, at this time, will not be answered
};
}

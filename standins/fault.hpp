#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Burdockspur
{
class RandomSource;
}

namespace Burdockspur::Standins
{
/// @brief One fault that a test switches at run time.
///
/// The value is a factor, a number of milliseconds, a rate or a share from 0 to 1, as the fault's table says.
struct Fault {
    double m_value = 0; ///< 0: off
    std::optional<std::uint64_t> m_count; ///< times that the fault still strikes; unlimited when empty
    std::string m_match; ///< limits the fault to a part of a path or a class of tasks; empty for all

    /// @brief True while the fault is in force.
    [[nodiscard]] auto isOn() const noexcept -> bool
    {
        return m_value != 0;
    }

    /// @brief The value of a fault that multiplies; 1 when it is off.
    [[nodiscard]] auto factor() const noexcept -> double
    {
        return isOn() ? m_value : 1.0;
    }

    /// @brief Decides whether the fault strikes this time, and counts it.
    /// @param random decides for shares below 1
    /// @param subject what the match is searched in
    [[nodiscard]] auto strikes(RandomSource &random, std::string_view subject = {}) -> bool;
};

/// @brief Names a fault of a set of faults.
template<typename Faults>
struct FaultEntry {
    std::string_view m_name;
    Fault Faults::*m_fault;
};
}

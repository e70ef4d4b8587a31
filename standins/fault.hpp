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
/// @brief A fault that a test switches on and off at run time.
///
/// The value is a factor, a number of milliseconds, a rate, or a share from 0 to 1; see WorkerFaults and PlatformFaults.
struct Fault {
    double m_value = 0; ///< 0: off
    std::optional<std::uint64_t> m_count; ///< how many more times the fault takes effect; unlimited when empty
    std::string m_match; ///< limits the fault to subjects that contain this text, e.g. paths; empty matches all

    /// @brief True while the fault is switched on.
    [[nodiscard]] auto isOn() const noexcept -> bool
    {
        return m_value != 0;
    }

    /// @brief The value as a multiplier; 1 when the fault is off.
    [[nodiscard]] auto factor() const noexcept -> double
    {
        return isOn() ? m_value : 1.0;
    }

    /// @brief Decides whether the fault takes effect this time, and decrements its count if so.
    /// @param random source of the decision for shares below 1
    /// @param subject text that must contain the match
    [[nodiscard]] auto triggers(RandomSource &random, std::string_view subject = {}) -> bool;
};

/// @brief Maps the name of a fault to its member in a struct of faults.
template<typename Faults>
struct FaultEntry {
    std::string_view m_name;
    Fault Faults::*m_fault;
};
}

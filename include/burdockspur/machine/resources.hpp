#pragma once

#include <cstdint>

namespace Burdockspur
{
/// @brief Amounts of processor time, memory and accelerators, either a capacity or a demand.
struct Resources {
    std::int64_t m_cpuMillis = 0; ///< thousandths of a core
    std::int64_t m_memoryMb = 0; ///< megabytes
    std::int64_t m_accelerators = 0; ///< whole devices

    [[nodiscard]] auto operator==(const Resources &) const noexcept -> bool = default;

    /// @brief True when this demand fits into the free resources.
    [[nodiscard]] auto fitsInto(const Resources &free) const noexcept -> bool
    {
        return m_cpuMillis <= free.m_cpuMillis && m_memoryMb <= free.m_memoryMb && m_accelerators <= free.m_accelerators;
    }

    /// Largest valid amount; sums over all tasks of a fleet cannot overflow.
    static constexpr std::int64_t maxAmount = 1'000'000'000'000;

    /// @brief True when every amount is between zero and maxAmount.
    [[nodiscard]] auto isValid() const noexcept -> bool
    {
        const auto isInRange = [](std::int64_t amount) {
            return amount >= 0 && amount <= maxAmount;
        };
        return isInRange(m_cpuMillis) && isInRange(m_memoryMb) && isInRange(m_accelerators);
    }

    auto operator+=(const Resources &other) noexcept -> Resources &
    {
        m_cpuMillis += other.m_cpuMillis;
        m_memoryMb += other.m_memoryMb;
        m_accelerators += other.m_accelerators;
        return *this;
    }

    auto operator-=(const Resources &other) noexcept -> Resources &
    {
        m_cpuMillis -= other.m_cpuMillis;
        m_memoryMb -= other.m_memoryMb;
        m_accelerators -= other.m_accelerators;
        return *this;
    }
};
}

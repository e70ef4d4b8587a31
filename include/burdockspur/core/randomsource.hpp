#pragma once

#include <pcg_random.hpp>

#include <cstdint>

namespace Burdockspur
{
/// @brief Seeded random numbers; decision code gets one as an argument so that a seed reproduces a run.
class RandomSource
{
public:
    /// @param seed the same seed gives the same numbers
    explicit RandomSource(std::uint64_t seed) noexcept
        : m_engine(seed)
    {
    }

    /// @brief Uniform number below a bound.
    /// @param bound at least 1
    /// @returns a number from 0 to bound - 1
    [[nodiscard]] auto below(std::uint32_t bound) noexcept -> std::uint32_t
    {
        return bound <= 1 ? 0 : m_engine(bound);
    }

    /// @brief Uniform number in [0, 1).
    [[nodiscard]] auto unit() noexcept -> double
    {
        constexpr double range = 4294967296.0;
        return m_engine() / range;
    }

    /// @brief Uniform 64-bit number.
    [[nodiscard]] auto next64() noexcept -> std::uint64_t
    {
        const std::uint64_t high = m_engine();
        return (high << 32U) | m_engine();
    }

private:
    pcg32 m_engine;
};
}

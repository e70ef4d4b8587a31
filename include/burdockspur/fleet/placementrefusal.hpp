#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/placementguard.hpp"

#include <array>
#include <cstdint>

namespace Burdockspur
{
/// @brief How many workers each guard has excluded in the search for a worker.
class PlacementRefusal
{
public:
    /// @brief Counts workers that a guard has excluded.
    auto count(PlacementGuard guard, std::uint32_t workers = 1) noexcept -> void
    {
        m_workers[static_cast<std::size_t>(guard)] += workers;
    }

    /// @brief Number of workers that a guard has excluded. A worker counts for the first guard that excludes it; a later one is not examined.
    [[nodiscard]] auto workers(PlacementGuard guard) const noexcept -> std::uint32_t
    {
        return m_workers[static_cast<std::size_t>(guard)];
    }

    /// @brief The guard that has excluded the most workers.
    [[nodiscard]] auto mainGuard() const noexcept -> PlacementGuard;

    TimePoint m_at; ///< time of the search; the default value before the first one

private:
    std::array<std::uint32_t, placementGuardCount> m_workers{};
};
}

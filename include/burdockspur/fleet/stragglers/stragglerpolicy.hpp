#pragma once

#include "burdockspur/fleet/stragglers/copyworth.hpp"

#include <cstddef>
#include <optional>

namespace Burdockspur
{
struct StragglerSituation;

/// @brief Decides which running tasks are worth a copy, and how many copies may run.
class StragglerPolicy
{
public:
    /// @brief Judges a running task of a step that allows copies and has none.
    /// @returns the worth of a copy; empty if none is to run now
    [[nodiscard]] auto worthOf(const StragglerSituation &situation) const -> std::optional<CopyWorth>;

    /// @brief True if a copy is projected to end after the original run: its task takes long on every worker.
    [[nodiscard]] auto isNoFaster(const StragglerSituation &copy, const StragglerSituation &original) const -> bool;

    /// @brief Number of further copies that may be started in a round.
    /// @param copies copies that run
    /// @param runs all runs
    /// @param startRoom further start orders that may be sent, see StartWindow::room()
    [[nodiscard]] auto allowance(std::size_t copies, std::size_t runs, std::size_t startRoom) const noexcept -> std::size_t;
};
}

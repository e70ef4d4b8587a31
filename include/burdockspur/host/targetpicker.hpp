#pragma once

#include "burdockspur/core/clock.hpp"

#include <span>
#include <string>
#include <string_view>

namespace Burdockspur
{
class RandomSource;
class TargetTable;
struct Target;

/// @brief Conditions for the choice of a worker.
struct PickCriteria {
    TimePoint m_now;
    std::string_view m_affinity; ///< requests with equal text get the same worker; used by RendezvousPicker only
    std::span<const std::string> m_excluded; ///< names of workers that must not be picked
};

/// @brief Strategy that chooses the worker of a request.
class TargetPicker
{
public:
    TargetPicker() = default;
    virtual ~TargetPicker() = default;
    TargetPicker(const TargetPicker &) = delete;
    TargetPicker(TargetPicker &&) = delete;
    auto operator=(const TargetPicker &) -> TargetPicker & = delete;
    auto operator=(TargetPicker &&) -> TargetPicker & = delete;

    /// @brief Picks a worker.
    /// @returns nullptr if no worker is eligible
    [[nodiscard]] virtual auto pick(const TargetTable &table, const PickCriteria &criteria, RandomSource &random) const -> Target * = 0;
};
}

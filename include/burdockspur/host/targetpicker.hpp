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

/// @brief What a choice of target depends on besides the table.
struct PickCriteria {
    TimePoint m_now;
    std::string_view m_affinity; ///< same text, same worker; used by RendezvousPicker
    std::span<const std::string> m_excluded; ///< names of workers that are not an option
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

    /// @brief Chooses a worker.
    /// @returns nullptr when there is no choice
    [[nodiscard]] virtual auto pick(const TargetTable &table, const PickCriteria &criteria, RandomSource &random) const -> Target * = 0;
};
}

#pragma once

#include "burdockspur/fleet/lookahead/declareddurations.hpp"
#include "burdockspur/fleet/lookahead/rundurations.hpp"

namespace Burdockspur
{
class DurationModel;

/// @brief Durations as learned from the runs of the same kind; as declared while too few are known.
class LearnedDurations : public RunDurations
{
public:
    /// @param model must outlive the object
    explicit LearnedDurations(const DurationModel &model) noexcept;

    [[nodiscard]] auto rangeOf(const TaskJob &job, std::uint32_t step) const -> DurationRange override;

private:
    const DurationModel &m_model;
    DeclaredDurations m_declared;
};
}

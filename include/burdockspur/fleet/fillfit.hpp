#pragma once

namespace Burdockspur
{
/// @brief Predicted effect of one more filling task on the serving tasks of a worker.
struct FillFit {
    double m_slack = 0; ///< smallest headroom above the required one that a serving task would keep; below 0 the task does not fit
    double m_cost = 0; ///< largest headroom that any of the serving tasks would lose

    /// @brief Preference for the worker; larger is better.
    ///
    /// A low cost outweighs a large slack: beside serving tasks that this image slows much, the spare headroom is better used by
    /// other images.
    [[nodiscard]] auto rank() const noexcept -> double;
};
}

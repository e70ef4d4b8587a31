#include "burdockspur/fleet/lookahead/learneddurations.hpp"

#include "burdockspur/fleet/stragglers/durationmodel.hpp"

namespace Burdockspur
{
LearnedDurations::LearnedDurations(const DurationModel &model) noexcept
    : m_model(model)
{
}

auto LearnedDurations::rangeOf(const TaskJob &job, std::uint32_t step) const -> DurationRange
{
    const auto forecast = m_model.forecast(DurationKey::of(job, step));
    if (!forecast) {
        return m_declared.rangeOf(job, step);
    }
    return {std::chrono::ceil<Milliseconds>(forecast->m_median), std::chrono::ceil<Milliseconds>(forecast->m_high), true};
}
}

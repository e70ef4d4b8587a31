#include "burdockspur/fleet/stragglers/stepdurations.hpp"

#include "burdockspur/contract/taskid.hpp"
#include "burdockspur/fleet/stragglers/durationsamples.hpp"

#include <chrono>

namespace Burdockspur
{
auto StepDurations::record(const TaskId &task, std::uint32_t count, Duration duration) -> void
{
    auto &millis = m_millis[{task.m_occurrence, task.m_step}];
    millis.resize(count);
    if (task.m_index < count) {
        millis[task.m_index] = std::chrono::duration<float, std::milli>(duration).count();
    }
}

auto StepDurations::forecastFor(const TaskId &task) const -> std::optional<DurationForecast>
{
    const auto step = m_millis.find({task.m_occurrence, task.m_step});
    if (step == m_millis.end()) {
        return std::nullopt;
    }
    std::vector<float> siblings;
    siblings.reserve(step->second.size());
    for (std::uint32_t index = 0; index < step->second.size(); ++index) {
        if (index != task.m_index && step->second[index] > 0) {
            siblings.push_back(step->second[index]);
        }
    }
    return siblings.size() < minSiblings ? std::nullopt : DurationSamples::forecastOf(siblings);
}

auto StepDurations::forgetBefore(std::uint32_t occurrence) -> void
{
    m_millis.erase(m_millis.begin(), m_millis.lower_bound({occurrence, 0}));
}
}

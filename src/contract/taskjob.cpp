#include "burdockspur/contract/taskjob.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
/// Bounds that keep one job from exhausting the memory of an entry host.
constexpr std::size_t maxSteps = 64;
constexpr std::uint32_t maxRepeats = 100'000;
constexpr std::size_t maxPayloadBytes = 4'000;
constexpr std::size_t idDigits = 16;
/// Longest time in a step; the sum over all steps, in nanoseconds, fits into a time point.
constexpr Milliseconds maxStepTime{10'000'000'000};
/// Latest due time, and longest interval: the year 2096.
constexpr Milliseconds maxDueTime{4'000'000'000'000};

[[nodiscard]] auto isInRange(Milliseconds time, Milliseconds longest) noexcept -> bool
{
    return time.count() >= 0 && time <= longest;
}

[[nodiscard]] auto isHexDigit(char character) noexcept -> bool
{
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f') || (character >= 'A' && character <= 'F');
}

[[nodiscard]] auto validationError(const TaskStep &step, std::size_t number) -> std::string
{
    const std::string name = "step " + std::to_string(number);
    if (step.m_count == 0 || step.m_count > maxOpenTasks) {
        return name + ": count is not between 1 and " + std::to_string(maxOpenTasks);
    }
    if (!step.m_demand.isValid()) {
        return name + ": a demand is negative or too large";
    }
    if (!isInRange(step.m_estimate, maxStepTime) || !isInRange(step.m_tailTarget, maxStepTime)) {
        return name + ": a time is negative or too long";
    }
    // Steps may depend on earlier steps only, which rules out cycles.
    const bool refersBack = std::ranges::all_of(step.m_after, [number](std::uint32_t earlier) {
        return earlier < number;
    });
    return refersBack ? std::string() : name + ": after names a step that is not an earlier one";
}
}

auto validationError(const TaskJob &job) -> std::string
{
    if (job.m_id.size() != idDigits || !std::ranges::all_of(job.m_id, isHexDigit)) {
        return "the job id is not " + std::to_string(idDigits) + " hexadecimal digits";
    }
    if (job.m_payload.size() > maxPayloadBytes) {
        return "the payload is longer than " + std::to_string(maxPayloadBytes) + " bytes";
    }
    if (job.m_steps.empty() || job.m_steps.size() > maxSteps) {
        return "the number of steps is not between 1 and " + std::to_string(maxSteps);
    }
    if (job.m_repeats > maxRepeats || !isInRange(job.m_interval, maxDueTime)) {
        return "the number or the interval of the occurrences is out of range";
    }
    if (!isInRange(job.m_firstDue.time_since_epoch(), maxDueTime)) {
        return "the first due time is out of range";
    }
    for (std::size_t i = 0; i < job.m_steps.size(); ++i) {
        if (auto fault = validationError(job.m_steps[i], i); !fault.empty()) {
            return fault;
        }
    }
    std::uint64_t tasks = 0;
    for (const auto &step : job.m_steps) {
        tasks += step.m_count;
    }
    return tasks <= maxOpenTasks ? std::string() : "the steps have more than " + std::to_string(maxOpenTasks) + " tasks in all";
}
}

#include "burdockspur/placement/sizeestimator.hpp"

#include "burdockspur/contract/job.hpp"

#include <algorithm>
#include <cmath>

namespace Burdockspur
{
namespace
{
constexpr double quantile = 0.95;
constexpr double permillePerUnit = 1'000.0;
constexpr double margin = 1.25; // factor on an estimate from few samples
constexpr std::uint32_t enoughSamples = 20; // fewer do not resolve a 95% quantile
constexpr std::chrono::hours halfLife{6}; // samples of nightly jobs keep part of their weight until the next night
// Bounds the memory, about 12 KB a class, because callers choose the class names. Further classes reserve their declared sizes.
constexpr std::size_t maxClasses = 1'024;

[[nodiscard]] auto amountOf(double value) noexcept -> std::int64_t
{
    return static_cast<std::int64_t>(std::ceil(value));
}

[[nodiscard]] auto permille(std::int64_t used, std::int64_t declared) noexcept -> double
{
    return permillePerUnit * static_cast<double>(used) / static_cast<double>(std::max<std::int64_t>(declared, 1));
}

/// @brief Smaller of the two bounds on the usage, see SizeEstimator.
[[nodiscard]] auto boundOf(const DecayingQuantile &usage, const DecayingQuantile &proportion, std::int64_t declared) noexcept -> double
{
    return std::min(usage.at(quantile), proportion.at(quantile) * static_cast<double>(std::max<std::int64_t>(declared, 1)) / permillePerUnit);
}
}

auto SizeEstimator::historyOf(std::string_view jobClass) -> History *
{
    const auto found = m_classes.find(jobClass);
    if (found != m_classes.end()) {
        return &found->second;
    }
    return m_classes.size() < maxClasses ? &m_classes[std::string(jobClass)] : nullptr;
}

auto SizeEstimator::observe(std::string_view jobClass, const Resources &usage) -> void
{
    if (History *const history = historyOf(jobClass)) {
        history->m_highest.m_cpuMillis = std::max(history->m_highest.m_cpuMillis, usage.m_cpuMillis);
        history->m_highest.m_memoryMb = std::max(history->m_highest.m_memoryMb, usage.m_memoryMb);
    }
}

auto SizeEstimator::addAttempt(const JobSpec &spec, const Resources &peak, Milliseconds runTime, TimePoint now) -> void
{
    observe(spec.m_class, peak);
    if (History *const history = historyOf(spec.m_class)) {
        history->m_cpuMillis.add(static_cast<double>(peak.m_cpuMillis), now, halfLife);
        history->m_memoryMb.add(static_cast<double>(peak.m_memoryMb), now, halfLife);
        history->m_cpuPermille.add(permille(peak.m_cpuMillis, spec.m_demand.m_cpuMillis), now, halfLife);
        history->m_memoryPermille.add(permille(peak.m_memoryMb, spec.m_demand.m_memoryMb), now, halfLife);
        history->m_runTimeMs.add(static_cast<double>(runTime.count()), now, halfLife);
        ++history->m_samples;
    }
}

auto SizeEstimator::reservationFor(const JobSpec &spec, const Resources &largest) const noexcept -> Resources
{
    const auto found = m_classes.find(spec.m_class);
    if (found == m_classes.end()) {
        return spec.m_demand;
    }
    const History &history = found->second;
    const bool isKnown = history.m_samples >= enoughSamples;
    // With too few samples for the quantile, the highest report is used instead.
    const double cpu =
        isKnown ? boundOf(history.m_cpuMillis, history.m_cpuPermille, spec.m_demand.m_cpuMillis) : margin * static_cast<double>(history.m_highest.m_cpuMillis);
    const double memory =
        isKnown ? boundOf(history.m_memoryMb, history.m_memoryPermille, spec.m_demand.m_memoryMb) : margin * static_cast<double>(history.m_highest.m_memoryMb);
    Resources reserved = spec.m_demand;
    const std::int64_t estimatedCpu = std::min(amountOf(cpu), largest.m_cpuMillis);
    reserved.m_cpuMillis = isKnown ? estimatedCpu : std::max(estimatedCpu, spec.m_demand.m_cpuMillis);
    const std::int64_t estimatedMemory = std::min(std::max(amountOf(memory), history.m_highest.m_memoryMb), largest.m_memoryMb);
    reserved.m_memoryMb = isKnown ? estimatedMemory : std::max(estimatedMemory, spec.m_demand.m_memoryMb);
    return reserved;
}

auto SizeEstimator::runTimeOf(std::string_view jobClass) const noexcept -> Milliseconds
{
    const auto found = m_classes.find(jobClass);
    return Milliseconds(found == m_classes.end() ? 0 : amountOf(found->second.m_runTimeMs.at(quantile)));
}
}

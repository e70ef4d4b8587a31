#include "simulatedinterference.hpp"

#include "burdockspur/core/identifiers.hpp"
#include "simulatedworker.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace Burdockspur::Testing
{
namespace
{
constexpr double fullPacePercent = 100.0;
/// Lower bound of a headroom; beyond it, a tail is twenty times its target.
constexpr double smallestHeadroom = 0.05;
/// Share of its declared processors that a serving task uses at its mean load.
constexpr double servingUse = 0.5;
/// A reported tail is measured over half a second.
constexpr double tailWindowSeconds = 0.5;
/// Largest error of a reported tail, relative to it.
constexpr double largestNoise = 0.2;

// Ranges of the random weights and waves.
constexpr double smallWeight = 0.1;
constexpr double leastLargeWeight = 2.0;
constexpr double mostLargeWeight = 9.0;
constexpr double leastMeanHeadroom = 1.2;
constexpr double mostMeanHeadroom = 2.4;
constexpr double mostAmplitude = 0.25; ///< relative to the mean
constexpr double leastPeriodSeconds = 8.0;
constexpr double mostPeriodSeconds = 12.0;

[[nodiscard]] auto between(double low, double high, RandomSource &random) -> double
{
    return low + (high - low) * random.unit();
}
}

SimulatedInterference::SimulatedInterference(std::uint64_t seed)
    : m_seed(seed)
    , m_noise(hashOf("noise", seed))
{
}

auto SimulatedInterference::Wave::at(TimePoint now) const noexcept -> double
{
    const auto seconds = std::chrono::duration<double>(now.time_since_epoch()).count();
    return m_mean + m_amplitude * std::sin(2 * std::numbers::pi * seconds / m_periodSeconds + m_phase);
}

auto SimulatedInterference::setWeight(std::string_view fill, std::string_view serving, double weight) -> void
{
    m_weights[{std::string(fill), std::string(serving)}] = weight;
}

auto SimulatedInterference::setHeadroom(std::string_view job, double headroom) -> void
{
    m_waves.insert_or_assign(std::string(job), Wave{.m_mean = headroom});
}

auto SimulatedInterference::weight(std::string_view fill, std::string_view serving) -> double
{
    const auto [entry, isNew] = m_weights.try_emplace({std::string(fill), std::string(serving)}, 0.0);
    if (isNew) {
        RandomSource random(hashOf(fill, hashOf(serving, m_seed)));
        const bool isSmall = random.below(2) == 0;
        entry->second = isSmall ? smallWeight * random.unit() : between(leastLargeWeight, mostLargeWeight, random);
    }
    return entry->second;
}

auto SimulatedInterference::waveOf(std::string_view job) -> const Wave &
{
    const auto known = m_waves.find(job);
    if (known != m_waves.end()) {
        return known->second;
    }
    RandomSource random(hashOf(job, m_seed));
    Wave wave;
    wave.m_mean = between(leastMeanHeadroom, mostMeanHeadroom, random);
    wave.m_amplitude = wave.m_mean * mostAmplitude * random.unit();
    wave.m_periodSeconds = between(leastPeriodSeconds, mostPeriodSeconds, random);
    wave.m_phase = 2 * std::numbers::pi * random.unit();
    return m_waves.emplace(job, wave).first->second;
}

auto SimulatedInterference::shareProcessors(SimulatedWorker &worker, TimePoint now) -> void
{
    auto left = static_cast<double>(worker.m_record.m_capacity.m_cpuMillis);
    double wanted = 0;
    for (auto &[name, run] : worker.m_runs) {
        const auto declared = static_cast<double>(run.m_step->m_demand.m_cpuMillis);
        if (run.m_step->m_isFilling) {
            run.m_cpuMillis = declared * run.m_pace / fullPacePercent;
            wanted += run.m_cpuMillis;
            continue;
        }
        run.m_cpuMillis = declared;
        if (run.m_step->m_isServing) {
            // A higher load lowers the headroom.
            const auto &wave = waveOf(run.m_task.m_job);
            run.m_cpuMillis = std::min(declared, declared * servingUse * wave.m_mean / std::max(smallestHeadroom, wave.at(now)));
        }
        left -= run.m_cpuMillis;
    }
    const double granted = wanted <= 0 ? 1.0 : std::clamp(left / wanted, 0.0, 1.0);
    for (auto &[name, run] : worker.m_runs) {
        if (run.m_step->m_isFilling) {
            run.m_cpuMillis *= granted;
        }
    }
}

auto SimulatedInterference::advance(SimulatedWorker &worker, TimePoint now, Milliseconds elapsed) -> void
{
    shareProcessors(worker, now);
    const auto capacity = static_cast<double>(worker.m_record.m_capacity.m_cpuMillis);
    const double smoothing = std::min(1.0, std::chrono::duration<double>(elapsed).count() / (tailWindowSeconds / 2));
    for (auto &[name, run] : worker.m_runs) {
        if (run.m_step->m_isFilling) {
            const auto declared = static_cast<double>(run.m_step->m_demand.m_cpuMillis);
            run.m_workedMs += static_cast<double>(elapsed.count()) * (declared > 0 ? run.m_cpuMillis / declared : 1.0);
            if (run.m_workedMs >= static_cast<double>(run.m_length.count())) {
                run.m_endsAt = std::min(run.m_endsAt, now);
            }
        } else if (run.m_step->m_isServing) {
            const bool isFirst = run.m_headroom <= 0;
            run.m_headroomWithoutFills = std::max(smallestHeadroom, waveOf(run.m_task.m_job).at(now));
            double loss = 0;
            for (const auto &[otherName, other] : worker.m_runs) {
                if (other.m_step->m_isFilling) {
                    loss += weight(other.m_step->m_image, run.m_step->m_image) * other.m_cpuMillis / capacity;
                }
            }
            run.m_headroom = std::max(smallestHeadroom, run.m_headroomWithoutFills - loss);
            run.m_meanHeadroom = isFirst ? run.m_headroom : run.m_meanHeadroom + smoothing * (run.m_headroom - run.m_meanHeadroom);
        }
    }
}

auto SimulatedInterference::reportedLoad(const SimulatedRun &run) -> double
{
    if (!run.m_step->m_isServing) {
        return run.m_cpuMillis;
    }
    if (run.m_meanHeadroom <= 0) {
        return 0;
    }
    const double noise = between(-largestNoise, largestNoise, m_noise);
    return std::round(static_cast<double>(run.m_step->m_tailTarget.count()) / run.m_meanHeadroom * (1.0 + noise));
}
}

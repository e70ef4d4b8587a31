#include "burdockspur/fleet/stragglers/stragglerpolicy.hpp"

#include "burdockspur/fleet/stragglers/stragglersituation.hpp"

#include <algorithm>
#include <chrono>

namespace Burdockspur
{
namespace
{
using RealSeconds = std::chrono::duration<double>;

/// Time to store the assignment of a copy, to order its start, and to learn of its end.
constexpr Milliseconds startCost{150};
/// A run is observed for this time and for this share of the expected duration before it is judged: progress is reported in whole percents.
constexpr Milliseconds minObservation{200};
constexpr double minObservationShare = 0.25;
/// Less progress than this counts as this much, so that a run that stands still has a projected end.
constexpr double leastPercent = 1.0;
/// A copy is started only if the run is projected to take this many times as long as the copy. The more uncertain the expected duration, the larger
/// the factor: a copy that ends hardly sooner is thrown away.
constexpr double siblingsFactor = 1.5;
constexpr double learnedFactor = 2.0;
constexpr double estimateFactor = 3.0;
/// A run whose projected duration is below this multiple of what nine of ten such runs take may have more work than they, and would take as long elsewhere.
constexpr double ordinaryFactor = 2.0;
/// A job whose end with the copy exceeds the objective by this share may still meet it: the caller's objective follows the true durations, of which
/// the declared ones are a rough estimate.
constexpr double objectiveTolerance = 1.15;
/// Bounds of the ratio between measured and declared durations that corrects the objective.
constexpr double minScale = 0.5;
constexpr double maxScale = 3.0;
/// The slowest ordinary task of a step determines its share of the chain; beyond this multiple of the median it is a straggler itself.
constexpr double maxOrdinary = 2.0;
/// A job that takes longer than this multiple of its objective has lost all of its worth (platform's rule).
constexpr double expiryFactor = 3.0;
/// Two runs of a task may both fail, and one attempt has to be left then: a copy must not make a job fail that would have succeeded without.
constexpr std::uint32_t attemptsAtRisk = 2;
/// Share of all runs that may be copies, and copies that may run on a fleet of any size.
constexpr double maxCopyShare = 0.05;
constexpr std::size_t minCopies = 2;
/// A round uses one of this many start orders for copies, so that these do not delay the answers to ranked work.
constexpr std::size_t startsPerCopy = 8;

/// @brief Expected duration of a run, how far it is to be trusted, and the ratio of measured to declared durations.
struct Expectation {
    Duration m_median{0};
    Duration m_ordinary{0}; ///< longest duration of a run that is no straggler
    double m_factor = estimateFactor;
    double m_scale = 1.0;
};

[[nodiscard]] auto scaled(Duration duration, double factor) -> Duration
{
    return std::chrono::duration_cast<Duration>(RealSeconds(duration) * factor);
}

[[nodiscard]] auto expectationOf(const StragglerSituation &situation) -> Expectation
{
    const auto forecast = situation.m_siblings ? situation.m_siblings : situation.m_learned;
    if (!forecast) {
        return {situation.m_estimate, situation.m_estimate, estimateFactor, 1.0};
    }
    const auto slowest = std::min(forecast->m_high, scaled(forecast->m_median, maxOrdinary));
    Expectation expected{forecast->m_median, scaled(slowest, ordinaryFactor), situation.m_siblings ? siblingsFactor : learnedFactor, 1.0};
    if (situation.m_estimate.count() > 0) {
        expected.m_scale = std::clamp(RealSeconds(slowest) / RealSeconds(situation.m_estimate), minScale, maxScale);
    }
    return expected;
}

/// @brief Projected time until a run ends, by its progress; empty if it was observed for too short a time.
[[nodiscard]] auto remainingTime(const StragglerSituation &situation, Duration expected) -> std::optional<Duration>
{
    if (situation.m_observed < std::max<Duration>(minObservation, scaled(expected, minObservationShare))) {
        return std::nullopt;
    }
    constexpr double whole = 100.0;
    const double left = std::max(0.0, whole - situation.m_percent) / std::max(leastPercent, situation.m_gainedPercent);
    return std::max(Duration::zero(), scaled(situation.m_observed, left) - situation.m_sinceReport);
}
}

auto StragglerPolicy::worthOf(const StragglerSituation &situation) const -> std::optional<CopyWorth>
{
    if (situation.m_failures + attemptsAtRisk >= situation.m_maxAttempts) {
        return std::nullopt;
    }
    const auto expected = expectationOf(situation);
    const Duration copyTakes = expected.m_median + startCost;
    auto remaining = remainingTime(situation, expected.m_median);
    if (situation.m_leaseLeft) {
        // The task runs again only when its run is known to be over. Both times rest on the same duration, so its uncertainty does not matter.
        remaining = std::max(*situation.m_leaseLeft, Duration::zero()) + copyTakes;
    } else if (remaining && situation.m_observed + situation.m_sinceReport + *remaining < expected.m_ordinary) {
        return std::nullopt;
    }
    if (!remaining || *remaining < scaled(copyTakes, situation.m_leaseLeft ? siblingsFactor : expected.m_factor)) {
        return std::nullopt;
    }
    const auto objective = scaled(situation.m_declaredObjective - situation.m_target, expected.m_scale) + situation.m_target;
    const auto after = scaled(situation.m_declaredAfter, expected.m_scale);
    const auto endWithout = situation.m_age + *remaining + after;
    const auto endWith = situation.m_age + copyTakes + after;
    if (endWithout <= objective) {
        return std::nullopt;
    }
    if (endWith <= scaled(objective, objectiveTolerance)) {
        return CopyWorth{*remaining, copyTakes, true};
    }
    const auto expiry = scaled(objective, expiryFactor);
    return endWithout > expiry && endWith <= expiry ? std::optional(CopyWorth{*remaining, copyTakes, false}) : std::nullopt;
}

auto StragglerPolicy::isNoFaster(const StragglerSituation &copy, const StragglerSituation &original) const -> bool
{
    const auto expected = expectationOf(copy).m_median;
    const auto copyLeft = remainingTime(copy, expected);
    const auto originalLeft = remainingTime(original, expected);
    return copyLeft && originalLeft && !original.m_leaseLeft && *copyLeft >= *originalLeft;
}

auto StragglerPolicy::allowance(std::size_t copies, std::size_t runs, std::size_t startRoom) const noexcept -> std::size_t
{
    const auto most = std::max(minCopies, static_cast<std::size_t>(maxCopyShare * static_cast<double>(runs)));
    return copies >= most ? 0 : std::min(most - copies, startRoom / startsPerCopy);
}
}

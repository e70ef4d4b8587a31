#pragma once

#include "burdockspur/contract/preset.hpp"
#include "burdockspur/core/clock.hpp"
#include "burdockspur/shard/placementpolicy.hpp"

#include <cstddef>

namespace Burdockspur
{
class ClassSpread;
class InterferenceModel;

/// @brief Chooses the candidate with the lowest weighted sum of expected interference, fit and concentration.
///
/// Scores a bounded number of candidates for each job, so that the time of a decision does not grow with the number of workers.
class ScoredPolicy : public PlacementPolicy
{
public:
    /// @param model must outlive the policy
    /// @param spread must outlive the policy
    ScoredPolicy(const InterferenceModel &model, const ClassSpread &spread) noexcept;

    /// @brief Sets the preset whose weights the score uses.
    auto setPreset(const Preset &preset) -> void;

    /// @brief Sets the time for which learned effects are evaluated.
    auto setTime(TimePoint now) noexcept -> void;

    [[nodiscard]] auto choose(const JobSpec &spec, std::span<const PlacementCandidate> candidates, RandomSource &random) const
        -> std::optional<std::size_t> override;

    static constexpr std::size_t maxCandidates = 24; ///< scored for one job

private:
    /// Weighted sum for a candidate; lower is better.
    [[nodiscard]] auto scoreOf(const JobSpec &spec, const PlacementCandidate &candidate) const -> double;
    /// False when the job would disturb the services of the candidate too much.
    [[nodiscard]] auto isAllowed(const JobSpec &spec, const PlacementCandidate &candidate) const -> bool;
    /// Sometimes chooses a random candidate where the effect of the job's class is still unknown, so that it gets measured.
    [[nodiscard]] auto explore(const JobSpec &spec, std::span<const PlacementCandidate> candidates, RandomSource &random) const -> std::optional<std::size_t>;

    const InterferenceModel &m_model;
    const ClassSpread &m_spread;
    Preset m_preset;
    TimePoint m_now;
};
}

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
/// At most a bounded number of candidates is scored for each job, so that the time of a decision does not
/// grow with the number of workers.
class ScoredPolicy : public PlacementPolicy
{
public:
    /// @param model kept by reference
    /// @param spread kept by reference
    ScoredPolicy(const InterferenceModel &model, const ClassSpread &spread) noexcept;

    /// @brief Sets the weights of the preset in force.
    auto setPreset(const Preset &preset) -> void;

    /// @brief Sets the time at which learned effects are read.
    auto setTime(TimePoint now) noexcept -> void;

    [[nodiscard]] auto choose(const JobSpec &spec, std::span<const PlacementCandidate> candidates, RandomSource &random) const
        -> std::optional<std::size_t> override;

    static constexpr std::size_t maxCandidates = 24;

private:
    [[nodiscard]] auto scoreOf(const JobSpec &spec, const PlacementCandidate &candidate) const -> double;
    [[nodiscard]] auto isAllowed(const JobSpec &spec, const PlacementCandidate &candidate) const -> bool;
    [[nodiscard]] auto explore(const JobSpec &spec, std::span<const PlacementCandidate> candidates, RandomSource &random) const -> std::optional<std::size_t>;

    const InterferenceModel &m_model;
    const ClassSpread &m_spread;
    Preset m_preset;
    TimePoint m_now;
};
}

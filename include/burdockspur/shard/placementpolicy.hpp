#pragma once

#include "burdockspur/machine/resources.hpp"

#include <cstddef>
#include <optional>
#include <span>

namespace Burdockspur
{
class RandomSource;
class Worker;
struct JobSpec;

/// @brief A worker on which a job fits, with its free capacity.
struct PlacementCandidate {
    const Worker *m_worker = nullptr;
    Resources m_free; ///< free capacity, without the reservation for services
};

/// @brief Interface that chooses the worker of a new attempt.
class PlacementPolicy
{
public:
    PlacementPolicy() = default;
    virtual ~PlacementPolicy() = default;
    PlacementPolicy(const PlacementPolicy &) = delete;
    PlacementPolicy(PlacementPolicy &&) = delete;
    auto operator=(const PlacementPolicy &) -> PlacementPolicy & = delete;
    auto operator=(PlacementPolicy &&) -> PlacementPolicy & = delete;

    /// @brief Chooses one of the candidates.
    /// @param spec specification of the job
    /// @param candidates workers on which the job fits
    /// @param random breaks ties
    /// @returns index of the candidate, or nothing to leave the job queued
    [[nodiscard]] virtual auto choose(const JobSpec &spec, std::span<const PlacementCandidate> candidates, RandomSource &random) const
        -> std::optional<std::size_t> = 0;
};
}

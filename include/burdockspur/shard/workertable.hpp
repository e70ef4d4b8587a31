#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/shard/placementpolicy.hpp"
#include "burdockspur/shard/shardsettings.hpp"
#include "burdockspur/shard/worker.hpp"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
class RandomSource;

/// @brief The workers of one shard.
class WorkerTable
{
public:
    using Workers = std::map<std::string, Worker, std::less<>>;

    /// @param settings kept by reference
    /// @param ownedSince begin of the ownership
    WorkerTable(const ShardSettings &settings, TimePoint ownedSince) noexcept;

    /// @brief Takes the workers of the host list; those that are missing keep their reservations until they end.
    auto update(std::span<const HostRecord> hosts, TimePoint now) -> void;

    /// @brief The worker of a name; an unknown one is added without an address.
    [[nodiscard]] auto at(std::string_view name) -> Worker &;

    [[nodiscard]] auto find(std::string_view name) -> Worker *;

    /// @brief Removes a worker that is no longer listed and has nothing left to settle.
    auto removeIfGone(std::string_view name) -> void;

    /// @brief Usable workers with room for a demand.
    auto candidatesFor(const Resources &demand, TimePoint now, std::vector<PlacementCandidate> &candidates) const -> void;

    /// @brief Up to a number of usable workers with room for a demand, from a random part of the table.
    ///
    /// Looks at few workers when there is room on many, so that the time does not grow with their number; looks
    /// at all of them before it finds none.
    /// @param demand what has to fit
    /// @param limit most candidates
    /// @param random chooses the first worker that is looked at
    /// @param now current time
    /// @param candidates replaced
    auto sampleCandidates(const Resources &demand, std::size_t limit, RandomSource &random, TimePoint now, std::vector<PlacementCandidate> &candidates) const
        -> void;

    /// @brief True when a listed worker could ever hold the demand.
    [[nodiscard]] auto canEverHold(const Resources &demand) const noexcept -> bool;

    /// @brief The most of each amount that a listed worker has for jobs.
    [[nodiscard]] auto largestCapacity() const noexcept -> Resources;

    /// @brief True when the host list shows at least one worker of the shard.
    [[nodiscard]] auto hasListed() const noexcept -> bool;

    /// @brief Counts a failed start or task; quarantines the worker after several in a row.
    /// @returns true when the worker entered quarantine
    auto countFailure(Worker &worker, TimePoint now) -> bool;

    auto setReservation(const Resources &reservation) noexcept -> void
    {
        m_reservation = reservation;
    }

    [[nodiscard]] auto reservation() const noexcept -> const Resources &
    {
        return m_reservation;
    }

    [[nodiscard]] auto workers() noexcept -> Workers &
    {
        return m_workers;
    }

    [[nodiscard]] auto workers() const noexcept -> const Workers &
    {
        return m_workers;
    }

private:
    [[nodiscard]] auto quarantineHasRoom(std::string_view zone, TimePoint now) const noexcept -> bool;

    const ShardSettings &m_settings;
    TimePoint m_ownedSince;
    Resources m_reservation;
    Workers m_workers;
    mutable std::vector<const Worker *> m_order; ///< the workers by position; empty after a change
};
}

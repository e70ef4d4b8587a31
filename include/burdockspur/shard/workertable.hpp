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

/// @brief Holds the workers of one shard and finds those on which a demand fits.
class WorkerTable
{
public:
    using Workers = std::map<std::string, Worker, std::less<>>;

    /// @param settings kept by reference
    /// @param ownedSince begin of the ownership
    WorkerTable(const ShardSettings &settings, TimePoint ownedSince) noexcept;

    /// @brief Updates the workers from the host list; a missing worker stays until its reservations have ended.
    auto update(std::span<const HostRecord> hosts, TimePoint now) -> void;

    /// @brief Returns the worker of a name; adds it without an address when it is unknown.
    [[nodiscard]] auto findOrAdd(std::string_view name) -> Worker &;

    [[nodiscard]] auto find(std::string_view name) -> Worker *;

    /// @brief Removes a worker that is not listed and has no reservation, tombstone or acknowledgement pending.
    auto removeIfGone(std::string_view name) -> void;

    /// @brief Finds the usable workers on which a demand fits.
    auto findCandidates(const Resources &demand, TimePoint now, std::vector<PlacementCandidate> &candidates) const -> void;

    /// @brief Finds a limited number of usable workers on which a demand fits, starting at a random worker.
    ///
    /// The search stops at the limit, so its time does not grow with the number of workers while many have free
    /// capacity. All workers are checked before the result is empty.
    /// @param demand amount that must be free
    /// @param limit largest number of candidates
    /// @param random chooses the worker that is checked first
    /// @param now current time
    /// @param candidates receives the result; previous content is removed
    auto sampleCandidates(const Resources &demand, std::size_t limit, RandomSource &random, TimePoint now, std::vector<PlacementCandidate> &candidates) const
        -> void;

    /// @brief True when the demand fits on a listed worker without other jobs.
    [[nodiscard]] auto canEverHold(const Resources &demand) const noexcept -> bool;

    /// @brief Largest capacity for jobs, for each resource separately over the listed workers.
    [[nodiscard]] auto largestCapacity() const noexcept -> Resources;

    /// @brief True when at least one worker of the shard is in the host list.
    [[nodiscard]] auto hasListedWorker() const noexcept -> bool;

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
    [[nodiscard]] auto mayQuarantineInZone(std::string_view zone, TimePoint now) const noexcept -> bool;

    const ShardSettings &m_settings;
    TimePoint m_ownedSince;
    Resources m_reservation;
    Workers m_workers;
    mutable std::vector<const Worker *> m_sampleOrder; ///< all workers, for access by index; empty after a change of the table
};
}

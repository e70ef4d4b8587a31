#pragma once

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/fleet/evacuation/closedzones.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <string>

namespace Burdockspur
{
class FleetWorker;

/// @brief Decides where the owner may start tasks while the operator has closed zones.
///
/// Kept by every host, also by one that is not the owner, so that a new owner decides with it from its first round.
class ZoneEvacuation
{
public:
    using Workers = std::map<std::string, FleetWorker, std::less<>>;

    /// @brief The fleet that a decision concerns, for the log.
    struct Fleet {
        const Workers &m_workers;
        std::size_t m_waiting = 0; ///< tasks that wait for a worker
        Epoch m_epoch = 0; ///< 0 if this host decides nothing; then nothing is logged
    };

    /// @brief Closed zones that this host knows, and the runs on their workers.
    struct Counts {
        std::size_t m_zones = 0;
        std::size_t m_runs = 0;
    };

    /// @param maxAge nothing is started while the requests of the operator were confirmed longer ago; 0 for no limit
    explicit ZoneEvacuation(Milliseconds maxAge) noexcept
        : m_maxAge(maxAge)
    {
    }

    /// @brief Takes over what is known of the operator's requests, and logs each zone that was closed or reopened.
    /// @returns true if more or fewer workers may get tasks than before
    [[nodiscard]] auto update(ClosedZones &&zones, const Fleet &fleet, TimePoint now) -> bool;

    /// @brief Logs the zones that are closed at the beginning of an ownership.
    auto logClosedZones(const Fleet &fleet, TimePoint now) const -> void;

    /// @brief Logs when the confirmation of the requests becomes too old, and when it is young enough again.
    auto logConfirmation(Epoch epoch, TimePoint now) -> void;

    /// @brief True if the operator has closed the zone of a worker.
    [[nodiscard]] auto isClosed(const FleetWorker &worker) const noexcept -> bool;

    /// @brief True if a task may be started on a worker, as far as its zone decides.
    [[nodiscard]] auto mayStart(const FleetWorker &worker, TimePoint now) const noexcept -> bool;

    /// @brief Marks the runs in closed zones whose start order was not sent for a stop, which returns their tasks at once; with a member of a gang also
    /// the others.
    auto withdrawAssignments(Workers &workers) const -> void;

    [[nodiscard]] auto count(const Workers &workers) const -> Counts;

private:
    [[nodiscard]] auto isConfirmed(TimePoint now) const noexcept -> bool;
    static auto logClosed(const ClosedZones::Zones::value_type &zone, const Fleet &fleet, TimePoint now) -> void;

    Milliseconds m_maxAge;
    ClosedZones m_zones;
    bool m_isLoggedUnconfirmed = false;
};
}

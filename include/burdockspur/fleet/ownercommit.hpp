#pragma once

#include "burdockspur/fleet/fleetanswer.hpp"
#include "burdockspur/fleet/fleetcandidaterow.hpp"
#include "burdockspur/fleet/fleetcommand.hpp"
#include "burdockspur/fleet/fleetrows.hpp"
#include "burdockspur/port/changestore.hpp"

#include <cstdint>
#include <functional>
#include <optional>

namespace Burdockspur
{
/// @brief How an owner gives the ownership up.
struct OwnershipRelease {
    std::optional<FleetCandidateRow> m_successor; ///< host that claims first, if one is named
    bool m_hasFailed = false; ///< the owner could not read the jobs
    KnownCapacity m_best; ///< of the owners and candidates lately
};

/// @brief Writes the commits of the owner, one after the other.
///
/// Each commit requires the version of the owner's row that the one before left. After a commit whose outcome is not
/// known the row is read back: its number tells which commit was the last to take effect, and its epoch whether this
/// process is still the owner.
class OwnerCommit
{
public:
    struct Listener {
        std::function<void(const CommitAnswer &)> m_answered;
        std::function<void()> m_lost; ///< another process has become the owner
        std::function<void(Milliseconds, std::function<void()>)> m_later; ///< calls after a time, from the event loop
    };

    OwnerCommit(ChangeStore &store, Listener listener);

    /// @brief Begins with the row of a claim that took effect.
    auto begin(const FleetOwnerRow &row, std::uint64_t version) -> void;

    /// @brief Ends the ownership; answers that come later are dropped.
    auto end() -> void;

    [[nodiscard]] auto isOwner() const noexcept -> bool
    {
        return m_isOwner;
    }

    [[nodiscard]] auto isIdle() const noexcept -> bool
    {
        return !m_inFlight;
    }

    /// @brief The row as last stored.
    [[nodiscard]] auto row() const noexcept -> const FleetOwnerRow &
    {
        return m_row;
    }

    /// @brief The counts of waiting jobs as last stored; nothing before the first.
    [[nodiscard]] auto waitingJobs() const -> std::optional<WaitingJobs>;

    /// @brief Stores a commit; only while idle.
    /// @param order of the scheduler
    /// @param best capacity known lately
    auto commit(const CommitOrder &order, const KnownCapacity &best) -> void;

    /// @brief Gives the ownership up, so that a successor need not wait; only while idle.
    /// @param release how it is given up
    /// @param done called when the row was written or could not be
    auto release(const OwnershipRelease &release, std::function<void()> done) -> void;

private:
    auto settle(std::uint64_t number, std::uint64_t generation) -> void;
    auto finish(std::uint64_t number, bool isStored) -> void;

    ChangeStore &m_store;
    Listener m_listener;
    FleetOwnerRow m_row;
    FleetOwnerRow m_pendingRow; ///< written by the commit in flight
    std::uint64_t m_version = 0;
    TimePoint m_sentAt;
    TimePoint m_storedAt;
    std::uint64_t m_generation = 0; ///< of the ownership; answers of an earlier one are dropped
    bool m_isOwner = false;
    bool m_inFlight = false;
};
}

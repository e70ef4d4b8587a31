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
/// @brief What an owner writes to its row when it releases the ownership.
struct OwnershipRelease {
    std::optional<FleetCandidateRow> m_successor; ///< host that may claim first; nothing when every host may
    bool m_hasFailed = false; ///< the owner could not read the jobs
    KnownCapacity m_best; ///< best capacity of recent owners and candidates
};

/// @brief Writes the commits of the owner, one at a time.
///
/// Each commit requires the version of the owner's row that the previous one left. After a commit with a conflict or an unknown
/// outcome the row is read back: its commit number shows which commit was the last to take effect, and its host, incarnation and
/// epoch show whether this process is still the owner. The row is also read while an answer is late, because it may be lost.
class OwnerCommit
{
public:
    struct Listener {
        std::function<void(const CommitAnswer &)> m_answered; ///< called with the outcome of each commit
        std::function<void()> m_lost; ///< called when another process has become the owner
        std::function<void(Milliseconds, std::function<void()>)> m_runLater; ///< runs a function in the event loop after a delay
    };

    /// @param store store of the owner's row; must outlive the object
    /// @param listener callbacks, which run in the event loop of the store
    OwnerCommit(ChangeStore &store, Listener listener);

    /// @brief Starts an ownership.
    /// @param row the row that the successful claim wrote
    /// @param version version of that row
    auto begin(const FleetOwnerRow &row, std::uint64_t version) -> void;

    /// @brief Ends the ownership; answers that arrive later are ignored.
    auto end() -> void;

    [[nodiscard]] auto isOwner() const noexcept -> bool
    {
        return m_isOwner;
    }

    [[nodiscard]] auto isIdle() const noexcept -> bool
    {
        return !m_inFlight;
    }

    /// @brief The owner's row as last stored.
    [[nodiscard]] auto row() const noexcept -> const FleetOwnerRow &
    {
        return m_row;
    }

    /// @brief The counts of waiting jobs as last stored; nothing when the stored row has none.
    [[nodiscard]] auto waitingJobs() const -> std::optional<WaitingJobs>;

    /// @brief Stores a commit. Call only while isIdle() is true.
    /// @param order rows that the scheduler orders to write and to delete
    /// @param best best capacity of recent owners and candidates
    auto commit(const CommitOrder &order, const KnownCapacity &best) -> void;

    /// @brief Releases the ownership, so that a successor need not wait for the timeout. Call only while isIdle() is true.
    /// @param release content of the released row
    /// @param done called when the store has answered, also when the write failed
    auto release(const OwnershipRelease &release, std::function<void()> done) -> void;

private:
    auto readBack(std::uint64_t number, std::uint64_t generation) -> void;
    auto readWhileUnanswered(std::uint64_t number, std::uint64_t call) -> void;
    auto lose(const Result<FleetOwnerRow> &current) -> void;
    [[nodiscard]] auto isOwnRow(const Result<FleetOwnerRow> &row) const -> bool;
    auto finish(std::uint64_t number, bool isStored) -> void;

    ChangeStore &m_store;
    Listener m_listener;
    FleetOwnerRow m_row; ///< as last stored
    FleetOwnerRow m_pendingRow; ///< written by the commit in flight
    std::uint64_t m_version = 0; ///< version of the stored row
    TimePoint m_sentAt; ///< time at which the commit in flight was sent
    TimePoint m_storedAt; ///< time at which the last stored commit was sent
    std::uint64_t m_generation = 0; ///< identifies the ownership; answers with another generation are ignored
    std::uint64_t m_call = 0; ///< identifies the transaction whose answer is awaited; 0 when it has been settled
    std::uint64_t m_lastCall = 0;
    bool m_isOwner = false;
    bool m_inFlight = false;
};
}

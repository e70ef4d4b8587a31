#pragma once

#include "burdockspur/contract/taskjob.hpp"
#include "burdockspur/core/clock.hpp"
#include "burdockspur/core/error.hpp"
#include "burdockspur/fleet/fleetcommand.hpp"
#include "burdockspur/fleet/fleetrows.hpp"
#include "burdockspur/port/changestore.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <variant>
#include <vector>

namespace Burdockspur
{
/// @brief A transaction within one partition of `jobs` and `final` that moves ended jobs and removes final rows.
struct ArchiveWrite {
    std::uint64_t m_number = 0; ///< identifies the call in its answer
    Transaction m_transaction;
};

/// @brief A read of final rows, to find those that former owners and other hosts have stored.
struct ArchiveRead {
    std::uint64_t m_number = 0; ///< identifies the call in its answer
    std::string_view m_partition;
    std::string m_after; ///< name of the last row read before
    std::uint32_t m_limit = 0; ///< maximum number of rows
};

/// @brief A call to the store that JobArchive requests.
using ArchiveCall = std::variant<ArchiveWrite, ArchiveRead>;

/// @brief Decides when the rows of ended jobs move from `jobs` to `final`, and when they are removed from there.
///
/// It is given events with their time and returns the calls that are due; it uses no store, thread or clock. A successor reads `jobs` and
/// `progress`, so both must hold little more than the active jobs. Invariants:
/// - A move writes the final row and deletes the submission and its cancellation in one transaction of one partition, so that one of the
///   two rows always exists and prevents a repeated submission from being stored.
/// - A move is reported only after the store has confirmed it, because the progress row is deleted then.
/// - A final row is removed a full retention after this owner first knew of it, by its steady clock, because wall clocks may jump.
///
/// Moves need no fencing and no conditions: a final state never changes, so a move may be repeated, and may take effect late or twice.
class JobArchive
{
public:
    using WallTime = TaskJob::WallTime;

    /// @param retention how long a final row is kept
    explicit JobArchive(Milliseconds retention);

    /// @brief Starts an ownership and discards the state of an earlier one.
    auto begin(TimePoint now) -> void;

    /// @brief Ends the ownership; answers that arrive later are ignored.
    auto end() -> void;

    /// @brief Adds jobs to move; their final state must already be stored in their progress rows.
    /// @param jobs the ended jobs
    /// @param now current time
    /// @param wallNow wall-clock time that is stored in the final rows as the end of the jobs
    auto add(std::span<const FinalJob> jobs, TimePoint now, WallTime wallNow) -> void;

    /// @brief Returns the calls that are due. Call about every JobArchive::interval.
    [[nodiscard]] auto advance(TimePoint now) -> std::vector<ArchiveCall>;

    /// @brief Processes the answer to an ArchiveWrite.
    /// @returns ids of the jobs whose move the store has confirmed
    [[nodiscard]] auto handleAnswer(std::uint64_t number, const CommitResult &result, TimePoint now) -> std::vector<std::string>;

    /// @brief Processes the answer to an ArchiveRead.
    auto handleAnswer(std::uint64_t number, const Result<RowPage> &page, TimePoint now) -> void;

    /// @brief Number of jobs that wait for their move or whose move is not confirmed.
    [[nodiscard]] auto waitingCount() const noexcept -> std::size_t;

    /// Time between two rounds of transactions. Calls to the store are charged, but a takeover has to read all jobs not yet moved.
    static constexpr Milliseconds interval{200};

private:
    struct Move {
        FinalJob m_job;
        WallTime m_endedAt;
        TimePoint m_since; ///< time at which the job was added
    };

    /// A final row and the time from which its retention counts.
    struct KeptRow {
        TimePoint m_since;
        std::string m_id;
    };

    /// Content of a transaction in flight, kept so that it can be repeated.
    struct Batch {
        std::uint64_t m_number = 0;
        std::vector<Move> m_moves;
        std::vector<KeptRow> m_removals;
    };

    struct Partition {
        std::deque<Move> m_moves; ///< waiting moves, oldest first
        std::deque<KeptRow> m_keptRows; ///< final rows, oldest first
        std::optional<Batch> m_inFlight; ///< at most one transaction at a time
        TimePoint m_notBefore; ///< end of the pause after a transaction or after its failure
        std::string m_listedUpTo; ///< name of the last final row read
    };

    [[nodiscard]] auto partitionOf(std::string_view id) noexcept -> Partition &;
    [[nodiscard]] static auto isMoving(const Partition &partition, std::string_view id) -> bool;
    [[nodiscard]] auto inFlightCount() const noexcept -> std::size_t;
    [[nodiscard]] auto dueAt(const Partition &partition) const -> TimePoint;
    [[nodiscard]] auto buildWrite(Partition &partition, TimePoint now) -> ArchiveWrite;
    [[nodiscard]] auto nextRead(TimePoint now) -> std::optional<ArchiveRead>;
    auto requeue(Partition &partition, const CommitResult &result, TimePoint now) -> void;

    Milliseconds m_retention;
    std::array<Partition, jobPartitions.size()> m_partitions;
    std::unordered_set<std::string> m_known; ///< ids of all moves and final rows
    std::uint64_t m_number = 0; ///< number of the last call; never reused
    std::uint64_t m_readInFlight = 0; ///< number of the read in flight; 0 for none
    std::size_t m_readPartition = 0; ///< index of the partition that is read next
    TimePoint m_nextWrite;
    TimePoint m_nextRead;
    bool m_isOwner = false;
};
}

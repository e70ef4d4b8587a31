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
/// @brief A transaction within one partition of `jobs` and `final`.
struct ArchiveWrite {
    std::uint64_t m_number = 0;
    Transaction m_transaction;
};

/// @brief A look at final rows, which may be those of former owners.
struct ArchiveRead {
    std::uint64_t m_number = 0;
    std::string_view m_partition;
    std::string m_after; ///< name of the last row read
    std::uint32_t m_limit = 0;
};

/// @brief What JobArchive wants done.
using ArchiveCall = std::variant<ArchiveWrite, ArchiveRead>;

/// @brief Decides when the rows of ended jobs move from `jobs` to `final`, and when they are removed from there.
///
/// Takes events with the time and gives calls; it uses no store, thread or clock. A successor reads `jobs` and `progress`, so both
/// must hold little more than the active jobs. What must hold:
/// - a move puts the final row and deletes the submission and its cancellation in one transaction of one partition, so that one
///   of the two rows always refuses the same submission;
/// - a move is told as stored only when the store has confirmed it, because the progress row is deleted then;
/// - a final row is removed a whole retention after this owner has learned of it, by its steady clock, because wall clocks jump.
///
/// Moves need no fencing and no conditions: a final state never changes, so they may be repeated, and take effect late or twice.
class JobArchive
{
public:
    using WallTime = TaskJob::WallTime;

    /// @param retention how long a final row is kept
    explicit JobArchive(Milliseconds retention);

    /// @brief Begins with an ownership; all that was known is forgotten.
    auto begin(TimePoint now) -> void;

    /// @brief Ends the ownership; answers that come later are ignored.
    auto end() -> void;

    /// @brief Takes jobs whose final state is stored as their progress.
    auto add(std::span<const FinalJob> jobs, TimePoint now, WallTime wallNow) -> void;

    /// @brief The calls that are due; call about every JobArchive::interval.
    [[nodiscard]] auto advance(TimePoint now) -> std::vector<ArchiveCall>;

    /// @brief Takes the answer to an ArchiveWrite.
    /// @returns the jobs that are now known to be moved
    [[nodiscard]] auto take(std::uint64_t number, const CommitResult &result, TimePoint now) -> std::vector<std::string>;

    /// @brief Takes the answer to an ArchiveRead.
    auto take(std::uint64_t number, const Result<RowPage> &page, TimePoint now) -> void;

    /// @brief Jobs that wait for their move, or whose move is not confirmed.
    [[nodiscard]] auto waitingCount() const noexcept -> std::size_t;

    /// Between two transactions; calls to the store are priced, and a takeover reads what has not been moved yet.
    static constexpr Milliseconds interval{200};

private:
    struct Move {
        FinalJob m_job;
        WallTime m_endedAt;
        TimePoint m_since; ///< when it was added
    };

    /// A final row, and since when this owner knows of it.
    struct Kept {
        TimePoint m_since;
        std::string m_id;
    };

    struct Batch {
        std::uint64_t m_number = 0;
        std::vector<Move> m_moves;
        std::vector<Kept> m_removals;
    };

    struct Partition {
        std::deque<Move> m_moves; ///< that wait
        std::deque<Kept> m_kept; ///< in order of time
        std::optional<Batch> m_open; ///< in flight, one at a time
        TimePoint m_notBefore; ///< pause after a transaction, and again after a failed one
        std::string m_listedTo;
        bool m_isListed = false; ///< all final rows of former owners are known
    };

    [[nodiscard]] auto partitionOf(std::string_view id) noexcept -> Partition &;
    [[nodiscard]] static auto isMoving(const Partition &partition, std::string_view id) -> bool;
    [[nodiscard]] auto openCount() const noexcept -> std::size_t;
    [[nodiscard]] auto dueAt(const Partition &partition) const -> TimePoint;
    [[nodiscard]] auto fill(Partition &partition, TimePoint now) -> ArchiveWrite;
    [[nodiscard]] auto nextRead(TimePoint now) -> std::optional<ArchiveRead>;
    auto keep(Partition &partition, std::string_view id, TimePoint now) -> void;
    auto restore(Partition &partition, const CommitResult &result, TimePoint now) -> void;

    Milliseconds m_retention;
    std::array<Partition, jobPartitions.size()> m_partitions;
    std::unordered_set<std::string> m_known; ///< ids of all moves and final rows
    std::uint64_t m_number = 0; ///< of the last call; never repeats
    std::uint64_t m_openRead = 0; ///< 0 for none
    std::size_t m_readPartition = 0;
    TimePoint m_nextWrite;
    TimePoint m_nextRead;
    bool m_isOwner = false;
};
}

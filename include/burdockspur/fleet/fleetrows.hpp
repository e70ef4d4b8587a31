#pragma once

#include "burdockspur/contract/taskjob.hpp"
#include "burdockspur/core/clock.hpp"
#include "burdockspur/core/error.hpp"
#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/fleet/fillinterferencemodel.hpp"
#include "burdockspur/fleet/hostcapacity.hpp"
#include "burdockspur/fleet/jobprogress.hpp"
#include "burdockspur/fleet/knowncapacity.hpp"
#include "burdockspur/fleet/silentworker.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// Tables of the scheduler's rows in the store. A key is `TABLE/PARTITION/NAME`.
namespace FleetTables
{
inline constexpr std::string_view jobs = "jobs"; ///< submissions and cancellations, written by every entry host
inline constexpr std::string_view progress = "progress"; ///< written by the owner only
inline constexpr std::string_view final = "final"; ///< jobs that have ended, moved here from `jobs` by the owner
inline constexpr std::string_view owner = "owner"; ///< the owner's row and the candidate's row
inline constexpr std::string_view model = "model"; ///< one row with the interference model that the owner has learned
}

/// Suffix of the key of a cancellation; the rest is the key of the job's submission.
inline constexpr std::string_view cancelSuffix = ".cancel";

/// Partition of all rows that the owner commits; a transaction within one partition is cheap.
inline constexpr std::string_view ownerPartition = "fleet";

/// Partitions of the submissions, one for each first digit of an id. A partition carries out one transaction at a time, so with a
/// single partition a slow store would accept only three submissions a second.
inline constexpr std::string_view jobPartitions = "0123456789abcdef";

/// Key of the owner's row.
inline constexpr std::string_view fleetOwnerKey = "owner/fleet/owner";

/// Largest number of silent workers in the owner's row. When more are silent, the owner itself is probably cut off.
inline constexpr std::size_t maxSilentWorkers = 32;

/// Key of the interference model.
inline constexpr std::string_view modelKey = "model/fleet/pressures";

/// @brief The name in a key, after its table and partition; empty for a malformed key.
[[nodiscard]] auto rowName(std::string_view key) noexcept -> std::string_view;

/// @brief Partition of the rows of a job in `jobs` and `final`; the first one for an id that does not begin with a hexadecimal digit.
/// @returns a view into jobPartitions
[[nodiscard]] auto jobPartition(std::string_view id) noexcept -> std::string_view;

/// @brief Key of a submission.
[[nodiscard]] auto jobKey(std::string_view id) -> std::string;

/// @brief Key of a cancellation.
[[nodiscard]] auto cancelKey(std::string_view id) -> std::string;

/// Separates the id of a job from the number of a continuation row of its progress.
inline constexpr char continuationSeparator = '.';

/// Largest number of continuation rows of a job; the platform accepts 100 entries per transaction, and one is the first row.
inline constexpr std::uint32_t maxContinuationRows = 99;

/// @brief Name of a row of a job's progress.
/// @param number 0 for the first row, otherwise the number of a continuation row
[[nodiscard]] auto progressRowName(std::string_view id, std::uint32_t number) -> std::string;

/// @brief Key of a row of a job's progress.
/// @param number see progressRowName()
[[nodiscard]] auto progressKey(std::string_view id, std::uint32_t number = 0) -> std::string;

/// @brief Key of the final row of a job, which replaces its submission.
[[nodiscard]] auto finalKey(std::string_view id) -> std::string;

/// @brief The row of a job that has ended, kept until its retention has passed.
struct FinalRow {
    JobPhase m_phase = JobPhase::Completed;
    TaskJob::WallTime m_endedAt; ///< by the clock of the host that wrote the row
    bool m_isUnsubmitted = false; ///< the job was cancelled before a submission was stored; the row keeps one in flight from being stored

    [[nodiscard]] auto operator==(const FinalRow &) const -> bool = default;
};

/// @brief The row that determines which host schedules; every commit of the owner rewrites it.
///
/// Because each commit requires the version that the previous one left, a commit whose answer was lost cannot take effect after a
/// later one, and a former owner that was suspended cannot write after a takeover.
struct FleetOwnerRow {
    std::string m_host; ///< empty after a release
    std::string m_incarnation; ///< distinguishes restarts of a host
    Epoch m_epoch = 0;
    std::uint64_t m_commit = 0; ///< number of the commit within the epoch
    std::map<std::string, std::uint32_t> m_waiting; ///< jobs without a started task, by queue
    /// Age of the counts when the row was sent; nothing while the owner has not counted. A duration, because the clocks of two
    /// hosts differ.
    std::optional<Milliseconds> m_waitingAge;
    HostCapacity m_capacity; ///< capacity of the owner; after a release, of the former one
    KnownCapacity m_best; ///< best capacity of recent owners and candidates
    std::string m_successor; ///< host to which the ownership was released; empty when any host may claim
    std::string m_successorIncarnation;
    bool m_hasFailed = false; ///< true when the ownership was released because the owner could not read the jobs
    std::vector<SilentWorker> m_silentWorkers; ///< at most maxSilentWorkers

    [[nodiscard]] auto operator==(const FleetOwnerRow &) const -> bool = default;
};

/// @brief Encodes the value of a row as JSON.
[[nodiscard]] auto encodeRow(const TaskJob &job) -> std::string;
[[nodiscard]] auto encodeRow(const JobProgress &progress) -> std::string;
[[nodiscard]] auto encodeRow(const FinalRow &row) -> std::string;
[[nodiscard]] auto encodeRow(const FleetOwnerRow &row) -> std::string;
[[nodiscard]] auto encodeRow(std::span<const InterferencePair> pairs) -> std::string;

/// @brief Encodes the progress of a job as the values of one or several rows.
///
/// A progress that does not fit into one row is cut into continuation rows. All rows of a job are put in one transaction, so that those that the
/// first row names always belong together.
/// @param rowBytes largest size of a value
[[nodiscard]] auto encodeProgressRows(const JobProgress &progress, std::size_t rowBytes) -> std::vector<std::string>;

/// @brief Encodes as many pairs as fit into a row; those with the largest variance are left out.
/// @param rowBytes largest size of the value
[[nodiscard]] auto encodeModelRow(std::vector<InterferencePair> pairs, std::size_t rowBytes) -> std::string;

/// @brief The first row of a job's progress.
struct FirstProgressRow {
    JobProgress m_progress; ///< without open occurrences if there are continuation rows
    std::uint32_t m_continuationRows = 0; ///< rows that contain the whole progress, see ProgressAssembly; 0 if this row contains it
};

/// @brief Decodes the submission of a job.
/// @param id id of the job, from the key of the row
/// @returns ErrorCode::AnswerCorrupt when the value is not a valid row, or belongs to another job
[[nodiscard]] auto decodeJobRow(std::string_view value, std::string_view id) -> Result<TaskJob>;

/// @brief Decodes the value of a row.
/// @returns ErrorCode::AnswerCorrupt when the value is not a valid row of the kind
[[nodiscard]] auto decodeFirstProgressRow(std::string_view value) -> Result<FirstProgressRow>;
[[nodiscard]] auto decodeFinalRow(std::string_view value) -> Result<FinalRow>;
[[nodiscard]] auto decodeFleetOwnerRow(std::string_view value) -> Result<FleetOwnerRow>;
[[nodiscard]] auto decodeModelRow(std::string_view value) -> Result<std::vector<InterferencePair>>;
}

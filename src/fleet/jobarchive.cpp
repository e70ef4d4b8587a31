#include "burdockspur/fleet/jobarchive.hpp"

#include "burdockspur/operations/log.hpp"

#include <algorithm>
#include <iterator>

namespace Burdockspur
{
namespace
{
/// Partitions with a transaction in flight; more would fill a store that answers slowly with calls that nobody waits for.
constexpr std::size_t writesAtOnce = 4;
/// Entries of one transaction (platform's bound).
constexpr std::size_t mostEntries = 100;
/// A move puts the final row and deletes the submission and the cancellation.
constexpr std::size_t entriesPerMove = 3;
/// Moves of one transaction; what they leave of its entries is for removals, so that neither holds up the other.
constexpr std::size_t mostMoves = 25;
/// Transactions that begin together; after the first only full ones, so that the moves keep up with 250 jobs a second.
constexpr std::size_t writesPerInterval = 2;
/// Between two transactions of a partition, which the submissions need as well.
constexpr Milliseconds partitionPause{1'000};
/// How long a job waits for others of its partition; also, callers ask for the state of a job most often right after its end, and
/// the first of the rows read for that is its progress.
constexpr Milliseconds gatherTime{2'000};
/// How long a row whose retention has passed waits for moves of its partition, which take it along.
constexpr Milliseconds removalSlack{10'000};
/// After a failed call, before the next one to the same partition.
constexpr Milliseconds retryPause{1'000};
/// Final rows of former owners are read after the takeover, which needs the link itself.
constexpr Milliseconds firstReadPause{5'000};
/// Rows of one read, once a second: some 200 bytes each in the answer, so 40 KB/s of a link of 1.25 MB/s.
constexpr std::uint32_t rowsPerRead = 200;
constexpr Milliseconds readInterval{1'000};
}

JobArchive::JobArchive(Milliseconds retention)
    : m_retention(retention)
{
}

auto JobArchive::begin(TimePoint now) -> void
{
    end();
    m_isOwner = true;
    m_nextWrite = now;
    m_nextRead = now + firstReadPause;
}

auto JobArchive::end() -> void
{
    m_isOwner = false;
    m_partitions = {};
    m_known.clear();
    m_openRead = 0;
    m_readPartition = 0;
}

auto JobArchive::partitionOf(std::string_view id) noexcept -> Partition &
{
    return m_partitions[jobPartitions.find(jobPartition(id))];
}

auto JobArchive::waitingCount() const noexcept -> std::size_t
{
    std::size_t count = 0;
    for (const auto &partition : m_partitions) {
        count += partition.m_moves.size() + (partition.m_open ? partition.m_open->m_moves.size() : 0);
    }
    return count;
}

auto JobArchive::add(std::span<const FinalJob> jobs, TimePoint now, WallTime wallNow) -> void
{
    if (!m_isOwner) {
        return;
    }
    for (const auto &job : jobs) {
        auto &partition = partitionOf(job.m_id);
        if (!m_known.insert(job.m_id).second) {
            if (isMoving(partition, job.m_id)) {
                continue;
            }
            // A move of the former owner took effect after the successor had read the submission. The row stays for a whole
            // retention after this move, and is not put and removed by one transaction.
            std::erase_if(partition.m_kept, [&job](const Kept &kept) {
                return kept.m_id == job.m_id;
            });
        }
        partition.m_moves.push_back({job, wallNow, now});
    }
}

auto JobArchive::isMoving(const Partition &partition, std::string_view id) -> bool
{
    const auto isSame = [id](const Move &move) {
        return move.m_job.m_id == id;
    };
    return std::ranges::any_of(partition.m_moves, isSame) || (partition.m_open && std::ranges::any_of(partition.m_open->m_moves, isSame));
}

auto JobArchive::dueAt(const Partition &partition) const -> TimePoint
{
    auto due = TimePoint::max();
    if (!partition.m_moves.empty()) {
        const auto &first = partition.m_moves.front();
        due = partition.m_moves.size() >= mostMoves ? first.m_since : first.m_since + gatherTime;
    }
    if (!partition.m_kept.empty()) {
        due = std::min(due, partition.m_kept.front().m_since + m_retention + removalSlack);
    }
    return std::max(due, partition.m_notBefore);
}

auto JobArchive::advance(TimePoint now) -> std::vector<ArchiveCall>
{
    std::vector<ArchiveCall> calls;
    if (!m_isOwner) {
        return calls;
    }
    if (auto read = nextRead(now)) {
        calls.emplace_back(std::move(*read));
    }
    if (now < m_nextWrite) {
        return calls;
    }
    for (std::size_t written = 0; written < writesPerInterval && openCount() < writesAtOnce; ++written) {
        Partition *first = nullptr;
        for (auto &partition : m_partitions) {
            if (!partition.m_open && dueAt(partition) <= now && (first == nullptr || dueAt(partition) < dueAt(*first))) {
                first = &partition;
            }
        }
        if (first == nullptr || (written > 0 && first->m_moves.size() < mostMoves)) {
            break;
        }
        m_nextWrite = now + interval;
        first->m_notBefore = now + partitionPause;
        calls.emplace_back(fill(*first, now));
    }
    return calls;
}

auto JobArchive::openCount() const noexcept -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(m_partitions, [](const Partition &partition) {
        return partition.m_open.has_value();
    }));
}

auto JobArchive::fill(Partition &partition, TimePoint now) -> ArchiveWrite
{
    Batch batch;
    batch.m_number = ++m_number;
    ArchiveWrite write{batch.m_number, {}};
    auto &transaction = write.m_transaction;
    while (!partition.m_moves.empty() && batch.m_moves.size() < mostMoves) {
        auto &move = batch.m_moves.emplace_back(std::move(partition.m_moves.front()));
        partition.m_moves.pop_front();
        const auto &id = move.m_job.m_id;
        transaction.m_puts.push_back({finalKey(id), encodeRow(FinalRow{move.m_job.m_phase, move.m_endedAt})});
        transaction.m_deletes.push_back(jobKey(id));
        // Without the submission none can be written any more, so this leaves no cancellation behind.
        transaction.m_deletes.push_back(cancelKey(id));
    }
    const std::size_t mostRemovals = mostEntries - entriesPerMove * batch.m_moves.size();
    while (!partition.m_kept.empty() && batch.m_removals.size() < mostRemovals && now - partition.m_kept.front().m_since >= m_retention) {
        auto &removal = batch.m_removals.emplace_back(std::move(partition.m_kept.front()));
        partition.m_kept.pop_front();
        transaction.m_deletes.push_back(finalKey(removal.m_id));
    }
    partition.m_open = std::move(batch);
    return write;
}

auto JobArchive::take(std::uint64_t number, const CommitResult &result, TimePoint now) -> std::vector<std::string>
{
    const auto partition = std::ranges::find_if(m_partitions, [number](const Partition &candidate) {
        return candidate.m_open && candidate.m_open->m_number == number;
    });
    if (partition == m_partitions.end()) {
        return {};
    }
    if (result.m_status != CommitResult::Status::Committed) {
        // Also when the outcome is not known: the same transaction has the same effect again.
        restore(*partition, result, now);
        return {};
    }
    const auto batch = *std::exchange(partition->m_open, std::nullopt);
    for (const auto &removal : batch.m_removals) {
        m_known.erase(removal.m_id);
    }
    std::vector<std::string> moved;
    for (const auto &move : batch.m_moves) {
        moved.push_back(move.m_job.m_id);
        m_known.insert(move.m_job.m_id);
        partition->m_kept.push_back({now, move.m_job.m_id});
    }
    logEvent(LogLevel::Info, "jobs_archived", {{"moved", moved.size()}, {"removed", batch.m_removals.size()}, {"waiting", waitingCount()}});
    return moved;
}

auto JobArchive::restore(Partition &partition, const CommitResult &result, TimePoint now) -> void
{
    auto batch = *std::exchange(partition.m_open, std::nullopt);
    const bool isUnknown = result.m_status == CommitResult::Status::Unknown;
    logEvent(LogLevel::Warning,
             "archive_unconfirmed",
             {{"moves", batch.m_moves.size()}, {"removals", batch.m_removals.size()}, {"sent", isUnknown}, {"reason", result.m_error.m_message}});
    partition.m_moves.insert(partition.m_moves.begin(), std::move_iterator(batch.m_moves.begin()), std::move_iterator(batch.m_moves.end()));
    partition.m_kept.insert(partition.m_kept.begin(), std::move_iterator(batch.m_removals.begin()), std::move_iterator(batch.m_removals.end()));
    partition.m_notBefore = now + retryPause;
}

auto JobArchive::nextRead(TimePoint now) -> std::optional<ArchiveRead>
{
    if (m_openRead != 0 || now < m_nextRead || m_readPartition == m_partitions.size()) {
        return std::nullopt;
    }
    m_openRead = ++m_number;
    return ArchiveRead{m_openRead, jobPartitions.substr(m_readPartition, 1), m_partitions[m_readPartition].m_listedTo, rowsPerRead};
}

auto JobArchive::take(std::uint64_t number, const Result<RowPage> &page, TimePoint now) -> void
{
    if (number != m_openRead || m_openRead == 0) {
        return;
    }
    m_openRead = 0;
    m_nextRead = now + readInterval;
    if (!page) {
        return;
    }
    auto &partition = m_partitions[m_readPartition];
    for (const auto &change : page->m_rows) {
        const auto id = rowName(change.m_row.m_key);
        if (m_known.emplace(id).second) {
            partition.m_kept.push_back({now, std::string(id)});
        }
        partition.m_listedTo = id;
    }
    if (page->m_hasMore && !page->m_rows.empty()) {
        return;
    }
    if (++m_readPartition == m_partitions.size()) {
        logEvent(LogLevel::Info, "archive_listed", {{"ended", m_known.size()}});
    }
}
}

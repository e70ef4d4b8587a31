#include "burdockspur/fleet/jobarchive.hpp"

#include "burdockspur/operations/log.hpp"

#include <algorithm>
#include <iterator>

namespace Burdockspur
{
namespace
{
/// Maximum number of transactions in flight, each in another partition; more would load a slow store with calls that nobody waits for.
constexpr std::size_t maxWritesInFlight = 4;
/// Maximum number of entries of one transaction (limit of the platform).
constexpr std::size_t maxEntries = 100;
/// Entries of a move: it writes the final row and deletes the submission and the cancellation.
constexpr std::size_t entriesPerMove = 3;
/// Maximum number of moves in one transaction. The remaining entries are left for removals, so that neither delays the other.
constexpr std::size_t maxMoves = 25;
/// Maximum number of transactions started per interval; all after the first must be full of moves. Two of them keep up with 250 jobs
/// per second.
constexpr std::size_t writesPerInterval = 2;
/// Time between two transactions of a partition, which submissions need as well.
constexpr Milliseconds partitionPause{1'000};
/// Time for which a job waits for others of its partition, to move them in one transaction. Callers read the state of a job most often
/// right after its end, and until the move they need to read only its progress row.
constexpr Milliseconds batchingDelay{2'000};
/// Time for which a row whose retention has passed waits for moves of its partition, to be removed in the same transaction.
constexpr Milliseconds removalSlack{10'000};
/// Pause after a failed transaction before the next one of the same partition.
constexpr Milliseconds retryPause{1'000};
/// Time from the takeover until the final rows of former owners are read; the takeover needs the link for its own reads.
constexpr Milliseconds firstReadDelay{5'000};
/// Time between two reads of all final rows. Other hosts write one for each cancelled job of which no submission is stored; only these reads find
/// them, so such a row is removed up to one interval later than the others.
constexpr Milliseconds listInterval{150'000};
/// Rows of one read. With one read per second and about 200 bytes per row in the answer, this uses 40 KB/s of a link of 1.25 MB/s.
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
    m_nextRead = now + firstReadDelay;
}

auto JobArchive::end() -> void
{
    m_isOwner = false;
    m_partitions = {};
    m_known.clear();
    m_readInFlight = 0;
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
        count += partition.m_moves.size() + (partition.m_inFlight ? partition.m_inFlight->m_moves.size() : 0);
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
            // A move of the former owner took effect after this owner had read the submission. The retention of the final row counts
            // anew from this move, and no transaction both writes and removes the row.
            std::erase_if(partition.m_keptRows, [&job](const KeptRow &kept) {
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
    return std::ranges::any_of(partition.m_moves, isSame) || (partition.m_inFlight && std::ranges::any_of(partition.m_inFlight->m_moves, isSame));
}

auto JobArchive::dueAt(const Partition &partition) const -> TimePoint
{
    auto due = TimePoint::max();
    if (!partition.m_moves.empty()) {
        const auto &first = partition.m_moves.front();
        due = partition.m_moves.size() >= maxMoves ? first.m_since : first.m_since + batchingDelay;
    }
    if (!partition.m_keptRows.empty()) {
        due = std::min(due, partition.m_keptRows.front().m_since + m_retention + removalSlack);
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
    for (std::size_t written = 0; written < writesPerInterval && inFlightCount() < maxWritesInFlight; ++written) {
        Partition *first = nullptr;
        for (auto &partition : m_partitions) {
            if (!partition.m_inFlight && dueAt(partition) <= now && (first == nullptr || dueAt(partition) < dueAt(*first))) {
                first = &partition;
            }
        }
        if (first == nullptr || (written > 0 && first->m_moves.size() < maxMoves)) {
            break;
        }
        m_nextWrite = now + interval;
        first->m_notBefore = now + partitionPause;
        calls.emplace_back(buildWrite(*first, now));
    }
    return calls;
}

auto JobArchive::inFlightCount() const noexcept -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(m_partitions, [](const Partition &partition) {
        return partition.m_inFlight.has_value();
    }));
}

auto JobArchive::buildWrite(Partition &partition, TimePoint now) -> ArchiveWrite
{
    Batch batch;
    batch.m_number = ++m_number;
    ArchiveWrite write{batch.m_number, {}};
    auto &transaction = write.m_transaction;
    while (!partition.m_moves.empty() && batch.m_moves.size() < maxMoves) {
        auto &move = batch.m_moves.emplace_back(std::move(partition.m_moves.front()));
        partition.m_moves.pop_front();
        const auto &id = move.m_job.m_id;
        transaction.m_puts.push_back({finalKey(id), encodeRow(FinalRow{move.m_job.m_phase, move.m_endedAt})});
        transaction.m_deletes.push_back(jobKey(id));
        // A cancellation requires the submission, so none can be written after this transaction.
        transaction.m_deletes.push_back(cancelKey(id));
    }
    const std::size_t maxRemovals = maxEntries - entriesPerMove * batch.m_moves.size();
    while (!partition.m_keptRows.empty() && batch.m_removals.size() < maxRemovals && now - partition.m_keptRows.front().m_since >= m_retention) {
        auto &removal = batch.m_removals.emplace_back(std::move(partition.m_keptRows.front()));
        partition.m_keptRows.pop_front();
        transaction.m_deletes.push_back(finalKey(removal.m_id));
    }
    partition.m_inFlight = std::move(batch);
    return write;
}

auto JobArchive::handleAnswer(std::uint64_t number, const CommitResult &result, TimePoint now) -> std::vector<std::string>
{
    const auto partition = std::ranges::find_if(m_partitions, [number](const Partition &candidate) {
        return candidate.m_inFlight && candidate.m_inFlight->m_number == number;
    });
    if (partition == m_partitions.end()) {
        return {};
    }
    if (result.m_status != CommitResult::Status::Committed) {
        // Repeats the transaction also when its outcome is unknown, because its effect is the same when it is repeated.
        requeue(*partition, result, now);
        return {};
    }
    const auto batch = *std::exchange(partition->m_inFlight, std::nullopt);
    for (const auto &removal : batch.m_removals) {
        m_known.erase(removal.m_id);
    }
    std::vector<std::string> moved;
    for (const auto &move : batch.m_moves) {
        moved.push_back(move.m_job.m_id);
        m_known.insert(move.m_job.m_id);
        partition->m_keptRows.push_back({now, move.m_job.m_id});
    }
    logEvent(LogLevel::Info, "jobs_archived", {{"moved", moved.size()}, {"removed", batch.m_removals.size()}, {"waiting", waitingCount()}});
    return moved;
}

auto JobArchive::requeue(Partition &partition, const CommitResult &result, TimePoint now) -> void
{
    auto batch = *std::exchange(partition.m_inFlight, std::nullopt);
    const bool isUnknown = result.m_status == CommitResult::Status::Unknown;
    logEvent(LogLevel::Warning,
             "archive_unconfirmed",
             {{"moves", batch.m_moves.size()}, {"removals", batch.m_removals.size()}, {"sent", isUnknown}, {"reason", result.m_error.m_message}});
    partition.m_moves.insert(partition.m_moves.begin(), std::move_iterator(batch.m_moves.begin()), std::move_iterator(batch.m_moves.end()));
    partition.m_keptRows.insert(partition.m_keptRows.begin(), std::move_iterator(batch.m_removals.begin()), std::move_iterator(batch.m_removals.end()));
    partition.m_notBefore = now + retryPause;
}

auto JobArchive::nextRead(TimePoint now) -> std::optional<ArchiveRead>
{
    if (m_readInFlight != 0 || now < m_nextRead) {
        return std::nullopt;
    }
    m_readInFlight = ++m_number;
    return ArchiveRead{m_readInFlight, jobPartitions.substr(m_readPartition, 1), m_partitions[m_readPartition].m_listedUpTo, rowsPerRead};
}

auto JobArchive::handleAnswer(std::uint64_t number, const Result<RowPage> &page, TimePoint now) -> void
{
    if (number != m_readInFlight || m_readInFlight == 0) {
        return;
    }
    m_readInFlight = 0;
    m_nextRead = now + readInterval;
    if (!page) {
        return;
    }
    auto &partition = m_partitions[m_readPartition];
    for (const auto &change : page->m_rows) {
        const auto id = rowName(change.m_row.m_key);
        if (m_known.emplace(id).second) {
            partition.m_keptRows.push_back({now, std::string(id)});
        }
        partition.m_listedUpTo = id;
    }
    if (page->m_hasMore && !page->m_rows.empty()) {
        return;
    }
    if (++m_readPartition == m_partitions.size()) {
        logEvent(LogLevel::Info, "archive_listed", {{"ended", m_known.size()}});
        m_readPartition = 0;
        m_nextRead = now + listInterval;
        for (auto &listed : m_partitions) {
            listed.m_listedUpTo.clear();
        }
    }
}
}

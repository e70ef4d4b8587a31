#include "burdockspur/fleet/ownercommit.hpp"

#include "burdockspur/operations/log.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
/// Pause between two attempts to read back the owner's row after a commit with a conflict or an unknown outcome.
constexpr Milliseconds readBackPause{150};
/// Time without an answer after which the row is read to see whether the commit was stored. Answers that are not lost take some 10 ms, and
/// all starts wait for the commit.
constexpr Milliseconds lateAnswer{400};

[[nodiscard]] auto writtenVersion(const CommitResult &result, std::string_view key) -> std::uint64_t
{
    const auto row = std::ranges::find(result.m_rows, key, &TableRow::m_key);
    return row == result.m_rows.end() ? 0 : row->m_version;
}

[[nodiscard]] auto decodeCurrent(const std::vector<TableRow> &rows) -> Result<FleetOwnerRow>
{
    return rows.empty() ? Result<FleetOwnerRow>(failure(ErrorCode::UnknownJob, "absent")) : decodeFleetOwnerRow(rows.front().m_value);
}
}

OwnerCommit::OwnerCommit(ChangeStore &store, Listener listener)
    : m_store(store)
    , m_listener(std::move(listener))
{
}

auto OwnerCommit::begin(const FleetOwnerRow &row, std::uint64_t version) -> void
{
    ++m_generation;
    m_row = row;
    m_version = version;
    m_isOwner = true;
    m_inFlight = false;
}

auto OwnerCommit::end() -> void
{
    ++m_generation;
    m_isOwner = false;
    m_inFlight = false;
    m_call = 0;
}

auto OwnerCommit::waitingJobs() const -> std::optional<WaitingJobs>
{
    if (!m_row.m_waitingAge) {
        return std::nullopt;
    }
    return WaitingJobs{m_row.m_waiting, m_storedAt - *m_row.m_waitingAge};
}

auto OwnerCommit::commit(const CommitOrder &order, const KnownCapacity &best) -> void
{
    m_inFlight = true;
    m_sentAt = Clock::now();
    m_pendingRow = m_row;
    m_pendingRow.m_commit = order.m_number;
    m_pendingRow.m_best = best;
    m_pendingRow.m_silentWorkers = order.m_silentWorkers;
    m_pendingRow.m_waiting.clear();
    m_pendingRow.m_waitingAge.reset();
    if (order.m_waiting) {
        m_pendingRow.m_waiting = order.m_waiting->m_byQueue;
        m_pendingRow.m_waitingAge = std::chrono::duration_cast<Milliseconds>(m_sentAt - order.m_waiting->m_asOf);
    }
    Transaction transaction;
    transaction.m_conditions.push_back({std::string(fleetOwnerKey), m_version});
    transaction.m_puts = order.m_puts;
    transaction.m_puts.push_back({std::string(fleetOwnerKey), encodeRow(m_pendingRow)});
    transaction.m_deletes = order.m_deletes;
    m_call = ++m_lastCall;
    m_listener.m_runLater(lateAnswer, [this, number = order.m_number, call = m_call] {
        readWhileUnanswered(number, call);
    });
    m_store.commit(transaction, [this, number = order.m_number, generation = m_generation, call = m_call](CommitResult &&result) {
        if (call != m_call) {
            return;
        }
        m_call = 0;
        switch (result.m_status) {
        case CommitResult::Status::Committed:
            m_version = writtenVersion(result, fleetOwnerKey);
            m_row = m_pendingRow;
            finish(number, true);
            return;
        case CommitResult::Status::NotApplied:
            logEvent(LogLevel::Warning, "commit_refused", {{"commit", number}, {"reason", result.m_error.m_message}});
            finish(number, false);
            return;
        case CommitResult::Status::Conflict:
        case CommitResult::Status::Unknown:
            logEvent(LogLevel::Warning, "commit_unsettled", {{"commit", number}, {"reason", result.m_error.m_message}});
            readBack(number, generation);
            return;
        }
    });
}

auto OwnerCommit::readWhileUnanswered(std::uint64_t number, std::uint64_t call) -> void
{
    if (call != m_call) {
        return;
    }
    m_store.read(fleetOwnerKey, [this, number, call](Result<std::vector<TableRow>> &&rows) {
        if (call != m_call) {
            return;
        }
        const auto current = rows ? decodeCurrent(*rows) : Result<FleetOwnerRow>(std::unexpected(rows.error()));
        if (rows && !isOwnRow(current)) {
            lose(current);
            return;
        }
        if (current && current->m_commit == number) {
            logEvent(LogLevel::Info, "commit_settled", {{"commit", number}, {"epoch", m_row.m_epoch}});
            m_call = 0;
            m_version = rows->front().m_version;
            m_row = *current;
            finish(number, true);
            return;
        }
        // The transaction may still be under way, so only its own end shows that it was not stored.
        m_listener.m_runLater(lateAnswer, [this, number, call] {
            readWhileUnanswered(number, call);
        });
    });
}

auto OwnerCommit::isOwnRow(const Result<FleetOwnerRow> &row) const -> bool
{
    return row && row->m_epoch == m_row.m_epoch && row->m_incarnation == m_row.m_incarnation && row->m_host == m_row.m_host;
}

auto OwnerCommit::lose(const Result<FleetOwnerRow> &current) -> void
{
    logEvent(LogLevel::Warning, "ownership_lost", {{"epoch", m_row.m_epoch}, {"owner", current ? current->m_host : std::string()}});
    end();
    m_listener.m_lost();
}

auto OwnerCommit::readBack(std::uint64_t number, std::uint64_t generation) -> void
{
    m_store.read(fleetOwnerKey, [this, number, generation](Result<std::vector<TableRow>> &&rows) {
        if (generation != m_generation) {
            return;
        }
        if (!rows) {
            m_listener.m_runLater(readBackPause, [this, number, generation] {
                if (generation == m_generation) {
                    readBack(number, generation);
                }
            });
            return;
        }
        const auto current = decodeCurrent(*rows);
        if (!isOwnRow(current)) {
            lose(current);
            return;
        }
        m_version = rows->front().m_version;
        m_row = *current;
        finish(number, current->m_commit == number);
    });
}

auto OwnerCommit::finish(std::uint64_t number, bool isStored) -> void
{
    m_inFlight = false;
    m_storedAt = isStored ? m_sentAt : m_storedAt;
    m_listener.m_answered(CommitAnswer{number, m_row.m_epoch, m_sentAt, isStored, Clock::now()});
}

auto OwnerCommit::release(const OwnershipRelease &release, std::function<void()> done) -> void
{
    FleetOwnerRow released = m_row;
    released.m_host.clear();
    released.m_best = release.m_best;
    // The stored counts are older than the released row, so they are removed from it.
    released.m_waiting.clear();
    released.m_waitingAge.reset();
    released.m_hasFailed = release.m_hasFailed;
    if (release.m_successor) {
        released.m_successor = release.m_successor->m_host;
        released.m_successorIncarnation = release.m_successor->m_incarnation;
    }
    Transaction transaction;
    transaction.m_conditions.push_back({std::string(fleetOwnerKey), m_version});
    transaction.m_puts.push_back({std::string(fleetOwnerKey), encodeRow(released)});
    end();
    m_store.commit(transaction, [epoch = m_row.m_epoch, successor = released.m_successor, done = std::move(done)](CommitResult &&result) {
        logEvent(
            LogLevel::Info, "ownership_released", {{"epoch", epoch}, {"successor", successor}, {"stored", result.m_status == CommitResult::Status::Committed}});
        done();
    });
}
}

#include "burdockspur/fleet/jobstore.hpp"

#include "burdockspur/fleet/fleetrows.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace Burdockspur
{
namespace
{
[[nodiscard]] auto wallNow() -> TaskJob::WallTime
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}
}

JobStore::JobStore(ChangeStore &store)
    : m_store(store)
{
}

auto JobStore::submit(const TaskJob &job, PhaseCallback callback) -> void
{
    Transaction transaction;
    transaction.m_conditions.push_back({jobKey(job.m_id), 0});
    transaction.m_conditions.push_back({finalKey(job.m_id), 0});
    transaction.m_puts.push_back({jobKey(job.m_id), encodeRow(job)});
    m_store.commit(transaction, [this, id = job.m_id, callback = std::move(callback)](CommitResult &&result) mutable {
        switch (result.m_status) {
        case CommitResult::Status::Committed:
            callback(JobPhase::Queued);
            return;
        case CommitResult::Status::Conflict:
            handleRepeatedSubmission(id, result.m_rows, std::move(callback));
            return;
        case CommitResult::Status::NotApplied:
            callback(failure(ErrorCode::Unavailable, result.m_error.m_message));
            return;
        case CommitResult::Status::Unknown:
            confirmStored(id, std::move(callback));
            return;
        }
    });
}

auto JobStore::handleRepeatedSubmission(std::string_view id, std::span<const TableRow> rows, PhaseCallback callback) -> void
{
    const auto final = std::ranges::find(rows, finalKey(id), &TableRow::m_key);
    const auto row = final == rows.end() ? Result<FinalRow>(failure(ErrorCode::UnknownJob, "no final row")) : decodeFinalRow(final->m_value);
    if (row && row->m_isUnsubmitted) {
        showCancelled(id, final->m_version, std::move(callback));
    } else {
        callback(JobPhase::Queued);
    }
}

auto JobStore::showCancelled(std::string_view id, std::uint64_t version, PhaseCallback callback) -> void
{
    Transaction transaction;
    transaction.m_conditions.push_back({finalKey(id), version});
    transaction.m_puts.push_back({finalKey(id), encodeRow(FinalRow{JobPhase::Cancelled, wallNow(), false})});
    m_store.commit(transaction, [callback = std::move(callback)](CommitResult &&result) {
        switch (result.m_status) {
        case CommitResult::Status::Committed:
        case CommitResult::Status::Conflict: // Another submission with this id was first.
            callback(JobPhase::Queued);
            return;
        case CommitResult::Status::NotApplied:
            callback(failure(ErrorCode::Unavailable, result.m_error.m_message));
            return;
        case CommitResult::Status::Unknown:
            callback(failure(ErrorCode::OutcomeUnknown, result.m_error.m_message));
            return;
        }
    });
}

auto JobStore::confirmStored(std::string_view id, PhaseCallback callback) -> void
{
    m_store.read(jobKey(id), [this, id = std::string(id), callback = std::move(callback)](Result<std::vector<TableRow>> &&rows) mutable {
        if (rows && !rows->empty()) {
            callback(JobPhase::Queued);
            return;
        }
        // A short job may have ended meanwhile, and its submission may have been moved to the final rows.
        readFinalPhase(id, [callback = std::move(callback)](Result<JobPhase> &&phase) {
            if (phase) {
                callback(JobPhase::Queued);
            } else {
                // The call whose answer was lost may still write the rows.
                callback(failure(ErrorCode::OutcomeUnknown, "the store did not confirm the submission"));
            }
        });
    });
}

auto JobStore::readPhase(std::string_view id, PhaseCallback callback) -> void
{
    // Reads progress, submission and final row in this order: a row is deleted only after a row that is read later was stored, so a
    // move between two reads cannot hide the job.
    m_store.read(progressKey(id), [this, id = std::string(id), callback = std::move(callback)](Result<std::vector<TableRow>> &&rows) mutable {
        if (!rows) {
            callback(failure(ErrorCode::Unavailable, rows.error().m_message));
            return;
        }
        if (rows->empty()) {
            readSubmission(id, std::move(callback));
            return;
        }
        const auto row = decodeFirstProgressRow(rows->front().m_value);
        if (row) {
            callback(row->m_progress.m_phase);
        } else {
            callback(failure(ErrorCode::Unavailable, row.error().m_message));
        }
    });
}

auto JobStore::readSubmission(std::string_view id, PhaseCallback callback) -> void
{
    m_store.scan(jobKey(id), {}, 2, [this, id = std::string(id), callback = std::move(callback)](Result<std::vector<TableRow>> &&rows) mutable {
        if (!rows) {
            callback(failure(ErrorCode::Unavailable, rows.error().m_message));
        } else if (rows->empty()) {
            readFinalPhase(id, std::move(callback));
        } else {
            const bool isCancelled = rows->back().m_key == cancelKey(id);
            callback(isCancelled ? JobPhase::Cancelled : JobPhase::Queued);
        }
    });
}

auto JobStore::readFinal(std::string_view id, FinalCallback callback) -> void
{
    m_store.read(finalKey(id), [callback = std::move(callback)](Result<std::vector<TableRow>> &&rows) {
        if (!rows) {
            callback(failure(ErrorCode::Unavailable, rows.error().m_message));
            return;
        }
        if (rows->empty()) {
            callback(std::nullopt);
            return;
        }
        const auto row = decodeFinalRow(rows->front().m_value);
        if (row) {
            callback(*row);
        } else {
            callback(failure(ErrorCode::Unavailable, row.error().m_message));
        }
    });
}

auto JobStore::readFinalPhase(std::string_view id, PhaseCallback callback) -> void
{
    readFinal(id, [id = std::string(id), callback = std::move(callback)](Result<std::optional<FinalRow>> &&row) {
        if (!row) {
            callback(std::unexpected(row.error()));
        } else if (!*row || (*row)->m_isUnsubmitted) {
            callback(failure(ErrorCode::UnknownJob, "no job " + id));
        } else {
            callback((*row)->m_phase);
        }
    });
}

auto JobStore::cancel(std::string_view id, PhaseCallback callback) -> void
{
    m_store.read(jobKey(id), [this, id = std::string(id), callback = std::move(callback)](Result<std::vector<TableRow>> &&rows) mutable {
        if (!rows) {
            callback(failure(ErrorCode::Unavailable, rows.error().m_message));
        } else if (rows->empty()) {
            confirmEnded(id, std::move(callback));
        } else {
            storeCancellation(id, rows->front().m_version, std::move(callback));
        }
    });
}

auto JobStore::storeCancellation(std::string_view id, std::uint64_t version, PhaseCallback callback) -> void
{
    Transaction transaction;
    transaction.m_conditions.push_back({jobKey(id), version});
    transaction.m_puts.push_back({cancelKey(id), "{}"});
    m_store.commit(transaction, [this, id = std::string(id), callback = std::move(callback)](CommitResult &&result) mutable {
        switch (result.m_status) {
        case CommitResult::Status::Committed:
            callback(JobPhase::Cancelled);
            return;
        case CommitResult::Status::Conflict: // A submission never changes, so it was moved to the final rows after the read.
            confirmEnded(id, std::move(callback));
            return;
        case CommitResult::Status::NotApplied:
            callback(failure(ErrorCode::Unavailable, result.m_error.m_message));
            return;
        case CommitResult::Status::Unknown:
            callback(failure(ErrorCode::OutcomeUnknown, result.m_error.m_message));
            return;
        }
    });
}

auto JobStore::confirmEnded(std::string_view id, PhaseCallback callback) -> void
{
    readFinal(id, [this, id = std::string(id), callback = std::move(callback)](Result<std::optional<FinalRow>> &&row) mutable {
        if (!row) {
            callback(std::unexpected(row.error()));
        } else if (!*row) {
            preventSubmission(id, std::move(callback));
        } else if ((*row)->m_isUnsubmitted) {
            callback(failure(ErrorCode::UnknownJob, "no job " + id));
        } else {
            // An ended job has no running task, so there is nothing to cancel.
            callback(JobPhase::Cancelled);
        }
    });
}

auto JobStore::preventSubmission(std::string_view id, PhaseCallback callback) -> void
{
    // A submission whose answer was lost may still be carried out by the store; it requires that there is no final row.
    Transaction transaction;
    transaction.m_conditions.push_back({jobKey(id), 0});
    transaction.m_conditions.push_back({finalKey(id), 0});
    transaction.m_puts.push_back({finalKey(id), encodeRow(FinalRow{JobPhase::Cancelled, wallNow(), true})});
    m_store.commit(transaction, [this, id = std::string(id), callback = std::move(callback)](CommitResult &&result) mutable {
        switch (result.m_status) {
        case CommitResult::Status::Committed:
            callback(failure(ErrorCode::UnknownJob, "no job " + id));
            return;
        case CommitResult::Status::Conflict: // One of the rows was written after it was read.
            cancel(id, std::move(callback));
            return;
        case CommitResult::Status::NotApplied:
            callback(failure(ErrorCode::Unavailable, result.m_error.m_message));
            return;
        case CommitResult::Status::Unknown:
            callback(failure(ErrorCode::OutcomeUnknown, result.m_error.m_message));
            return;
        }
    });
}
}

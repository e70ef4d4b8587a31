#include "burdockspur/fleet/jobstore.hpp"

#include "burdockspur/fleet/fleetrows.hpp"

#include <string>
#include <utility>
#include <vector>

namespace Burdockspur
{
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
        case CommitResult::Status::Conflict: // A submission with this id was stored before.
            callback(JobPhase::Queued);
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

auto JobStore::confirmStored(std::string_view id, PhaseCallback callback) -> void
{
    m_store.read(jobKey(id), [this, id = std::string(id), callback = std::move(callback)](Result<std::vector<TableRow>> &&rows) mutable {
        if (rows && !rows->empty()) {
            callback(JobPhase::Queued);
            return;
        }
        // A short job may have ended meanwhile, and its submission may have been moved to the final rows.
        readFinal(id, [callback = std::move(callback)](Result<JobPhase> &&phase) {
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
        const auto progress = decodeProgressRow(rows->front().m_value);
        if (progress) {
            callback(progress->m_phase);
        } else {
            callback(failure(ErrorCode::Unavailable, progress.error().m_message));
        }
    });
}

auto JobStore::readSubmission(std::string_view id, PhaseCallback callback) -> void
{
    m_store.scan(jobKey(id), {}, 2, [this, id = std::string(id), callback = std::move(callback)](Result<std::vector<TableRow>> &&rows) mutable {
        if (!rows) {
            callback(failure(ErrorCode::Unavailable, rows.error().m_message));
        } else if (rows->empty()) {
            readFinal(id, std::move(callback));
        } else {
            const bool isCancelled = rows->back().m_key == cancelKey(id);
            callback(isCancelled ? JobPhase::Cancelled : JobPhase::Queued);
        }
    });
}

auto JobStore::readFinal(std::string_view id, PhaseCallback callback) -> void
{
    m_store.read(finalKey(id), [id = std::string(id), callback = std::move(callback)](Result<std::vector<TableRow>> &&rows) {
        if (!rows) {
            callback(failure(ErrorCode::Unavailable, rows.error().m_message));
            return;
        }
        if (rows->empty()) {
            callback(failure(ErrorCode::UnknownJob, "no job " + id));
            return;
        }
        const auto row = decodeFinalRow(rows->front().m_value);
        if (row) {
            callback(row->m_phase);
        } else {
            callback(failure(ErrorCode::Unavailable, row.error().m_message));
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
    readFinal(id, [callback = std::move(callback)](Result<JobPhase> &&phase) {
        // An ended job has no running task, so there is nothing to cancel.
        callback(phase ? Result<JobPhase>(JobPhase::Cancelled) : std::move(phase));
    });
}
}

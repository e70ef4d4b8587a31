#include "burdockspur/fleet/jobstore.hpp"

#include "burdockspur/fleet/fleetrows.hpp"
#include "burdockspur/operations/log.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace Burdockspur
{
struct JobStore::Load {
    JobsCallback m_callback;
    std::vector<TableRow> m_jobRows;
    std::vector<TableRow> m_progressRows;
    std::optional<std::uint64_t> m_version;
    std::size_t m_openPartitions = 0;
    TimePoint m_beganAt;
    std::size_t m_pages = 0;
    std::size_t m_bytes = 0; ///< of the rows' values

    auto log(std::string_view outcome) const -> void;
};

namespace
{
[[nodiscard]] auto joined(std::span<const TableRow> jobRows, std::span<const TableRow> progressRows) -> std::vector<StoredJob>
{
    std::map<std::string, StoredJob, std::less<>> jobs;
    std::vector<std::string> cancelled;
    for (const auto &row : jobRows) {
        const auto name = rowName(row.m_key);
        if (name.ends_with(cancelSuffix)) {
            cancelled.emplace_back(name.substr(0, name.size() - cancelSuffix.size()));
            continue;
        }
        if (auto job = decodeJobRow(row.m_value)) {
            jobs.emplace(name, StoredJob{std::move(*job), std::nullopt, false});
        } else {
            logEvent(LogLevel::Error, "job_row_corrupt", {{"key", row.m_key}, {"version", row.m_version}, {"reason", job.error().m_message}});
        }
    }
    for (const auto &id : cancelled) {
        if (const auto job = jobs.find(id); job != jobs.end()) {
            job->second.m_isCancelled = true;
        }
    }
    for (const auto &row : progressRows) {
        const auto job = jobs.find(rowName(row.m_key));
        if (job == jobs.end()) {
            continue;
        }
        if (auto progress = decodeProgressRow(row.m_value)) {
            job->second.m_progress = std::move(*progress);
        } else {
            // Where its tasks run is not known, so none of them may be started again.
            logEvent(LogLevel::Error, "progress_row_corrupt", {{"key", row.m_key}, {"version", row.m_version}, {"reason", progress.error().m_message}});
            jobs.erase(job);
        }
    }
    std::vector<StoredJob> stored;
    stored.reserve(jobs.size());
    for (auto &[id, job] : jobs) {
        stored.push_back(std::move(job));
    }
    return stored;
}
}

auto JobStore::Load::log(std::string_view outcome) const -> void
{
    logEvent(LogLevel::Info,
             "jobs_load_ended",
             {{"outcome", outcome},
              {"took_ms", std::chrono::duration_cast<Milliseconds>(Clock::now() - m_beganAt).count()},
              {"pages", m_pages},
              {"job_rows", m_jobRows.size()},
              {"progress_rows", m_progressRows.size()},
              {"bytes", m_bytes},
              {"open_partitions", m_openPartitions}});
}

JobStore::JobStore(ChangeStore &store)
    : m_store(store)
{
}

auto JobStore::submit(const TaskJob &job, PhaseCallback callback) -> void
{
    Transaction transaction;
    transaction.m_conditions.push_back({jobKey(job.m_id), 0});
    transaction.m_puts.push_back({jobKey(job.m_id), encodeRow(job)});
    m_store.commit(transaction, [this, id = job.m_id, callback = std::move(callback)](CommitResult &&result) mutable {
        switch (result.m_status) {
        case CommitResult::Status::Committed:
        case CommitResult::Status::Conflict: // The same submission was stored before.
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
    m_store.read(jobKey(id), [callback = std::move(callback)](Result<std::vector<TableRow>> &&rows) {
        if (rows && !rows->empty()) {
            callback(JobPhase::Queued);
        } else {
            // An absent row may still be written by the call whose answer was lost.
            callback(failure(ErrorCode::OutcomeUnknown, "the store did not confirm the submission"));
        }
    });
}

auto JobStore::readPhase(std::string_view id, PhaseCallback callback) -> void
{
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
    m_store.scan(jobKey(id), {}, 2, [id = std::string(id), callback = std::move(callback)](Result<std::vector<TableRow>> &&rows) {
        if (!rows) {
            callback(failure(ErrorCode::Unavailable, rows.error().m_message));
        } else if (rows->empty()) {
            callback(failure(ErrorCode::UnknownJob, "no job " + id));
        } else {
            const bool isCancelled = rows->back().m_key == cancelKey(id);
            callback(isCancelled ? JobPhase::Cancelled : JobPhase::Queued);
        }
    });
}

auto JobStore::cancel(std::string_view id, PhaseCallback callback) -> void
{
    m_store.read(jobKey(id), [this, id = std::string(id), callback = std::move(callback)](Result<std::vector<TableRow>> &&rows) mutable {
        if (!rows || rows->empty()) {
            callback(rows ? failure(ErrorCode::UnknownJob, "no job " + id) : failure(ErrorCode::Unavailable, rows.error().m_message));
            return;
        }
        Transaction transaction;
        transaction.m_conditions.push_back({jobKey(id), rows->front().m_version});
        transaction.m_puts.push_back({cancelKey(id), "{}"});
        m_store.commit(transaction, [callback = std::move(callback)](CommitResult &&result) {
            if (result.m_status == CommitResult::Status::Committed) {
                callback(JobPhase::Cancelled);
            } else {
                const bool isUnknown = result.m_status == CommitResult::Status::Unknown;
                callback(failure(isUnknown ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable, result.m_error.m_message));
            }
        });
    });
}

auto JobStore::loadAll(JobsCallback callback) -> void
{
    loadJobs(std::move(callback), true);
}

auto JobStore::loadSubmissions(JobsCallback callback) -> void
{
    loadJobs(std::move(callback), false);
}

auto JobStore::loadJobs(JobsCallback callback, bool withProgress) -> void
{
    auto load = std::make_shared<Load>();
    load->m_callback = std::move(callback);
    load->m_beganAt = Clock::now();
    load->m_openPartitions = jobPartitions.size() + (withProgress ? 1 : 0);
    for (std::size_t i = 0; i < jobPartitions.size(); ++i) {
        loadPartition(load, FleetTables::jobs, jobPartitions.substr(i, 1), {});
    }
    if (withProgress) {
        loadPartition(load, FleetTables::progress, ownerPartition, {});
    }
}

auto JobStore::loadPartition(const std::shared_ptr<Load> &load, std::string_view table, std::string_view partition, std::string_view after) -> void
{
    m_store.list(table, partition, after, [this, load, table, partition](Result<RowPage> &&page) {
        if (!load->m_callback) {
            return;
        }
        if (!page) {
            load->log(page.error().m_message);
            std::exchange(load->m_callback, nullptr)(std::unexpected(page.error()), 0);
            return;
        }
        // What changes after the oldest page is told again by following from there.
        load->m_version = std::min(load->m_version.value_or(page->m_version), page->m_version);
        auto &rows = table == FleetTables::jobs ? load->m_jobRows : load->m_progressRows;
        const std::string last(page->m_rows.empty() ? std::string_view{} : rowName(page->m_rows.back().m_row.m_key));
        ++load->m_pages;
        for (auto &change : page->m_rows) {
            load->m_bytes += change.m_row.m_value.size();
            rows.push_back(std::move(change.m_row));
        }
        if (page->m_hasMore && !last.empty()) {
            loadPartition(load, table, partition, last);
        } else if (--load->m_openPartitions == 0) {
            load->log("loaded");
            std::exchange(load->m_callback, nullptr)(joined(load->m_jobRows, load->m_progressRows), *load->m_version);
        }
    });
}
}

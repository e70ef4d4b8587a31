#include "burdockspur/fleet/jobload.hpp"

#include "burdockspur/fleet/fleetrows.hpp"
#include "burdockspur/operations/log.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Burdockspur
{
namespace
{
/// Enough to use the whole link while the store is slow, but few compared with the connections that heartbeats, feeds and callers
/// need.
constexpr std::size_t maxParallelReads = 4;
/// Delay before a failed page is requested again.
constexpr Milliseconds retryDelay{100};
/// The read fails when no page was answered for this long (several call timeouts), because another host may have a better
/// connection to the store.
constexpr Milliseconds answerTimeout{5'000};
}

JobLoad::JobLoad(ChangeStore &store, Scope scope, Listener listener)
    : m_store(store)
    , m_listener(std::move(listener))
    , m_startedAt(m_listener.m_now())
    , m_lastAnswerAt(m_startedAt)
    , m_alive(std::make_shared<bool>(true))
{
    if (scope == Scope::Everything) {
        // First, because it is one long partition, whose pages cannot be read in parallel.
        m_lists.push_back({FleetTables::progress, ownerPartition, &JobLoad::decodeProgress, {}});
    }
    for (std::size_t i = 0; i < jobPartitions.size(); ++i) {
        m_lists.push_back({FleetTables::jobs, jobPartitions.substr(i, 1), &JobLoad::decodeSubmission, {}});
    }
    startReads();
}

JobLoad::~JobLoad()
{
    *m_alive = false;
}

auto JobLoad::startReads() -> void
{
    while (m_activeReads < maxParallelReads && !m_lists.empty()) {
        ++m_activeReads;
        PagedList list = std::move(m_lists.front());
        m_lists.pop_front();
        readPage(std::move(list));
    }
}

auto JobLoad::readPage(PagedList &&list) -> void
{
    const TimePoint sentAt = m_listener.m_now();
    const std::string after = list.m_after;
    const auto table = list.m_table;
    const auto partition = list.m_partition;
    m_store.list(table, partition, after, m_pageSize.rows(), [this, alive = m_alive, sentAt, list = std::move(list)](Result<RowPage> &&page) mutable {
        if (!*alive || m_isFinished) {
            return;
        }
        if (page) {
            addPage(std::move(list), std::move(*page), sentAt);
        } else {
            retry(std::move(list), page.error());
        }
    });
}

auto JobLoad::addPage(PagedList &&list, RowPage &&page, TimePoint sentAt) -> void
{
    m_lastAnswerAt = m_listener.m_now();
    m_pageSize.recordAnswered(m_lastAnswerAt - sentAt);
    ++m_pages;
    // Changes made after the oldest page was read are delivered again when the table is followed from its version.
    m_version = std::min(m_version.value_or(page.m_version), page.m_version);
    for (const auto &change : page.m_rows) {
        m_bytes += change.m_row.m_value.size();
        (this->*list.m_decode)(change.m_row);
    }
    if (page.m_hasMore && !page.m_rows.empty()) {
        list.m_after = rowName(page.m_rows.back().m_row.m_key);
        readPage(std::move(list));
        return;
    }
    --m_activeReads;
    startReads();
    if (m_activeReads == 0) {
        m_isFinished = true;
        m_progress.join();
        log("loaded");
        // Last, because the listener may destroy this object.
        auto archived = archivedRows();
        m_listener.m_loaded({joinRows(), *m_version, std::move(archived)});
    }
}

auto JobLoad::retry(PagedList &&list, const Error &error) -> void
{
    ++m_failures;
    m_pageSize.recordFailed();
    if (m_listener.m_now() - m_lastAnswerAt >= answerTimeout) {
        m_isFinished = true;
        log(error.m_message);
        m_listener.m_failed(error);
        return;
    }
    m_listener.m_runLater(retryDelay, [this, alive = m_alive, list = std::move(list)]() mutable {
        if (*alive && !m_isFinished) {
            readPage(std::move(list));
        }
    });
}

auto JobLoad::decodeSubmission(const TableRow &row) -> void
{
    const auto name = rowName(row.m_key);
    if (name.ends_with(cancelSuffix)) {
        m_cancelled.emplace_back(name.substr(0, name.size() - cancelSuffix.size()));
        return;
    }
    if (auto job = decodeJobRow(row.m_value, name)) {
        m_jobs.emplace(name, StoredJob{std::move(*job), std::nullopt, false});
    } else {
        if (const auto heldBack = m_corruptRowLog.admit(m_listener.m_now())) {
            logEvent(LogLevel::Error,
                     "job_row_corrupt",
                     {{"key", row.m_key}, {"version", row.m_version}, {"reason", job.error().m_message}, {"held_back", *heldBack}});
        }
        m_corruptSubmissions.emplace(name);
    }
}

auto JobLoad::decodeProgress(const TableRow &row) -> void
{
    if (const auto added = m_progress.add(rowName(row.m_key), row.m_value); !added) {
        if (const auto heldBack = m_corruptRowLog.admit(m_listener.m_now())) {
            logEvent(LogLevel::Error,
                     "progress_row_corrupt",
                     {{"key", row.m_key}, {"version", row.m_version}, {"reason", added.error().m_message}, {"held_back", *heldBack}});
        }
    }
}

auto JobLoad::archivedRows() -> std::vector<std::string>
{
    // A submission is only deleted by the transaction that puts its final row, so final progress without a submission means that
    // the final row is stored, whichever of the lists was read first.
    const auto isMoved = [this](std::string_view id) {
        return !m_jobs.contains(id) && !m_corruptSubmissions.contains(id);
    };
    std::vector<std::string> names;
    for (const auto &[id, progress] : m_progress.progress()) {
        if (isFinal(progress.m_phase) && isMoved(id)) {
            names.push_back(id);
        }
    }
    // A former owner may have deleted the first row of a moved job, but not the others.
    std::ranges::copy_if(m_progress.continuationNames(), std::back_inserter(names), [&](std::string_view name) {
        const auto id = name.substr(0, name.find(continuationSeparator));
        const auto progress = m_progress.progress().find(id);
        return isMoved(id) && (progress == m_progress.progress().end() || isFinal(progress->second.m_phase));
    });
    return names;
}

auto JobLoad::joinRows() -> std::vector<StoredJob>
{
    for (const auto &id : m_progress.corruptJobs()) {
        logEvent(LogLevel::Error, "job_progress_unfit", {{"job", id}});
        // It is not known where its tasks run, so none of them may be started again.
        m_jobs.erase(id);
    }
    for (const auto &id : m_cancelled) {
        if (const auto job = m_jobs.find(id); job != m_jobs.end()) {
            job->second.m_isCancelled = true;
        }
    }
    std::vector<StoredJob> stored;
    stored.reserve(m_jobs.size());
    for (auto &[id, job] : m_jobs) {
        if (const auto progress = m_progress.progress().find(id); progress != m_progress.progress().end()) {
            job.m_progress = std::move(progress->second);
            job.m_continuationRows = m_progress.continuationRowsOf(id);
        }
        stored.push_back(std::move(job));
    }
    return stored;
}

auto JobLoad::log(std::string_view outcome) const -> void
{
    logEvent(LogLevel::Info,
             "jobs_load_ended",
             {{"outcome", outcome},
              {"took_ms", std::chrono::duration_cast<Milliseconds>(m_listener.m_now() - m_startedAt).count()},
              {"pages", m_pages},
              {"failed_pages", m_failures},
              {"rows_per_page", m_pageSize.rows()},
              {"jobs", m_jobs.size()},
              {"progress_rows", m_progress.size()},
              {"bytes", m_bytes}});
}
}

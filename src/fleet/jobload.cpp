#include "burdockspur/fleet/jobload.hpp"

#include "burdockspur/fleet/fleetrows.hpp"
#include "burdockspur/operations/log.hpp"

#include <algorithm>
#include <utility>

namespace Burdockspur
{
namespace
{
/// Reads at the same time: enough to use the link while the store is slow, and few against the connections that signs of life,
/// feeds and callers need.
constexpr std::size_t readsAtOnce = 4;
/// Before a failed page is read again.
constexpr Milliseconds retryPause{100};
/// Without an answered page for this long, another host may reach the store better: several time-outs of a call.
constexpr Milliseconds patience{5'000};
}

JobLoad::JobLoad(ChangeStore &store, Scope scope, Listener listener)
    : m_store(store)
    , m_listener(std::move(listener))
    , m_beganAt(m_listener.m_now())
    , m_answeredAt(m_beganAt)
    , m_alive(std::make_shared<bool>(true))
{
    if (scope == Scope::Everything) {
        // First, because its pages follow each other in one partition.
        m_lists.push_back({FleetTables::progress, ownerPartition, &JobLoad::decodeProgress, {}});
    }
    for (std::size_t i = 0; i < jobPartitions.size(); ++i) {
        m_lists.push_back({FleetTables::jobs, jobPartitions.substr(i, 1), &JobLoad::decodeSubmission, {}});
    }
    readNext();
}

JobLoad::~JobLoad()
{
    *m_alive = false;
}

auto JobLoad::readNext() -> void
{
    while (m_open < readsAtOnce && !m_lists.empty()) {
        ++m_open;
        List list = std::move(m_lists.front());
        m_lists.pop_front();
        read(std::move(list));
    }
}

auto JobLoad::read(List &&list) -> void
{
    const TimePoint sentAt = m_listener.m_now();
    const std::string after = list.m_after;
    const auto table = list.m_table;
    const auto partition = list.m_partition;
    m_store.list(table, partition, after, m_pageSize.rows(), [this, alive = m_alive, sentAt, list = std::move(list)](Result<RowPage> &&page) mutable {
        if (!*alive || m_isOver) {
            return;
        }
        if (page) {
            take(std::move(list), std::move(*page), sentAt);
        } else {
            retry(std::move(list), page.error());
        }
    });
}

auto JobLoad::take(List &&list, RowPage &&page, TimePoint sentAt) -> void
{
    m_answeredAt = m_listener.m_now();
    m_pageSize.noteAnswered(m_answeredAt - sentAt);
    ++m_pages;
    // What changes after the oldest page is told again by following from there.
    m_version = std::min(m_version.value_or(page.m_version), page.m_version);
    for (const auto &change : page.m_rows) {
        m_bytes += change.m_row.m_value.size();
        (this->*list.m_decode)(change.m_row);
    }
    if (page.m_hasMore && !page.m_rows.empty()) {
        list.m_after = rowName(page.m_rows.back().m_row.m_key);
        read(std::move(list));
        return;
    }
    --m_open;
    readNext();
    if (m_open == 0) {
        m_isOver = true;
        log("loaded");
        // Last, because it may end the object.
        auto orphans = archived();
        m_listener.m_loaded({join(), *m_version, std::move(orphans)});
    }
}

auto JobLoad::retry(List &&list, const Error &error) -> void
{
    ++m_failures;
    m_pageSize.noteFailed();
    if (m_listener.m_now() - m_answeredAt >= patience) {
        m_isOver = true;
        log(error.m_message);
        m_listener.m_failed(error);
        return;
    }
    m_listener.m_later(retryPause, [this, alive = m_alive, list = std::move(list)]() mutable {
        if (*alive && !m_isOver) {
            read(std::move(list));
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
    if (auto job = decodeJobRow(row.m_value)) {
        m_jobs.emplace(name, StoredJob{std::move(*job), std::nullopt, false});
    } else {
        logEvent(LogLevel::Error, "job_row_corrupt", {{"key", row.m_key}, {"version", row.m_version}, {"reason", job.error().m_message}});
        m_corruptJobs.emplace(name);
    }
}

auto JobLoad::decodeProgress(const TableRow &row) -> void
{
    const auto name = rowName(row.m_key);
    if (auto progress = decodeProgressRow(row.m_value)) {
        m_progress.emplace(name, std::move(*progress));
    } else {
        logEvent(LogLevel::Error, "progress_row_corrupt", {{"key", row.m_key}, {"version", row.m_version}, {"reason", progress.error().m_message}});
        m_corrupt.emplace_back(name);
    }
}

auto JobLoad::archived() const -> std::vector<std::string>
{
    // A submission is only ever deleted together with the put of its final row, so final progress without a submission
    // has its final row stored, whichever of the lists was read first.
    std::vector<std::string> ids;
    for (const auto &[id, progress] : m_progress) {
        if (isFinal(progress.m_phase) && !m_jobs.contains(id) && !m_corruptJobs.contains(id)) {
            ids.push_back(id);
        }
    }
    return ids;
}

auto JobLoad::join() -> std::vector<StoredJob>
{
    for (const auto &id : m_corrupt) {
        // Where its tasks run is not known, so none of them may be started again.
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
        if (const auto progress = m_progress.find(id); progress != m_progress.end()) {
            job.m_progress = std::move(progress->second);
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
              {"took_ms", std::chrono::duration_cast<Milliseconds>(m_listener.m_now() - m_beganAt).count()},
              {"pages", m_pages},
              {"failed_pages", m_failures},
              {"rows_per_page", m_pageSize.rows()},
              {"jobs", m_jobs.size()},
              {"progress_rows", m_progress.size()},
              {"bytes", m_bytes}});
}
}

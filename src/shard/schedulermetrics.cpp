#include "burdockspur/shard/schedulermetrics.hpp"

#include "burdockspur/contract/job.hpp"
#include "burdockspur/operations/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

#include <string>

namespace Burdockspur
{
SchedulerMetrics::SchedulerMetrics(Metrics &metrics)
    : m_counters{{
          {&ShardCounters::m_submissions, &metrics.counter("burdockspur_jobs_submitted_total", "Jobs accepted")},
          {&ShardCounters::m_refusals, &metrics.counter("burdockspur_jobs_refused_total", "Submissions refused while the store was unavailable")},
          {&ShardCounters::m_starts, &metrics.counter("burdockspur_attempts_started_total", "Attempts started")},
          {&ShardCounters::m_completions, &metrics.counter("burdockspur_jobs_completed_total", "Jobs completed")},
          {&ShardCounters::m_failures, &metrics.counter("burdockspur_attempts_failed_total", "Attempts failed")},
          {&ShardCounters::m_evictions, &metrics.counter("burdockspur_evictions_total", "Attempts moved off a leaving worker")},
          {&ShardCounters::m_losses, &metrics.counter("burdockspur_attempts_lost_total", "Attempts ended by the expiry of a worker lease")},
          {&ShardCounters::m_quarantines, &metrics.counter("burdockspur_quarantines_total", "Workers put in quarantine")},
          {&ShardCounters::m_strays, &metrics.counter("burdockspur_stray_attempts_total", "Running attempts that were not current")},
          {&ShardCounters::m_journalRows, &metrics.counter("burdockspur_journal_rows_total", "Journal rows written")},
      }}
    , m_owned(metrics.gauge("burdockspur_shards_owned", "Shards owned"))
    , m_queued(metrics.gauge("burdockspur_queue_length", "Jobs waiting for a worker"))
    , m_takeovers(metrics.counter("burdockspur_takeovers_total", "Shards taken over"))
    , m_handovers(metrics.counter("burdockspur_handovers_total", "Handovers of a shard begun to reduce the number owned"))
    , m_ringFull(metrics.counter("burdockspur_ring_full_total", "Messages of the shards thread that did not fit into a full ring"))
    , m_ticks(metrics.durationHistogram("burdockspur_tick_seconds", "Duration of one iteration of the shards thread"))
{
    for (std::size_t i = 0; i < jobStates; ++i) {
        const std::string state(jobStateName(static_cast<JobState>(i)));
        m_jobs[i] = &metrics.gauge("burdockspur_jobs", "Jobs by state", {{"state", state}});
    }
    constexpr std::array<const char *, 4> results{"committed", "conflict", "not_applied", "unknown"};
    for (std::size_t i = 0; i < results.size(); ++i) {
        m_storeResults[i] = &metrics.counter("burdockspur_store_writes_total", "Writes of the table by result", {{"result", results[i]}});
    }
}

auto SchedulerMetrics::add(const ShardCounters &before, const ShardCounters &now) -> void
{
    for (const auto &row : m_counters) {
        if (now.*row.m_member > before.*row.m_member) {
            row.m_counter->Increment(static_cast<double>(now.*row.m_member - before.*row.m_member));
        }
    }
}

auto SchedulerMetrics::setJobs(const std::array<std::size_t, jobStates> &byState) -> void
{
    for (std::size_t i = 0; i < jobStates; ++i) {
        m_jobs[i]->Set(static_cast<double>(byState[i]));
    }
}

auto SchedulerMetrics::setShards(std::size_t owned, std::size_t queued) -> void
{
    m_owned.Set(static_cast<double>(owned));
    m_queued.Set(static_cast<double>(queued));
}

auto SchedulerMetrics::countTakeover() -> void
{
    m_takeovers.Increment();
}

auto SchedulerMetrics::countHandover() -> void
{
    m_handovers.Increment();
}

auto SchedulerMetrics::countStoreResult(CommitResult::Status status) -> void
{
    m_storeResults[static_cast<std::size_t>(status)]->Increment();
}

auto SchedulerMetrics::countRingFull() -> void
{
    m_ringFull.Increment();
}

auto SchedulerMetrics::observeTick(Duration duration) -> void
{
    m_ticks.Observe(std::chrono::duration<double>(duration).count());
}
}

#include "burdockspur/core/invariant.hpp"
#include "burdockspur/operations/log.hpp"
#include "burdockspur/shard/shardscheduler.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace Burdockspur
{
namespace
{
constexpr std::uint32_t maxStarts = 4; // then the attempt is stopped and the job goes elsewhere
constexpr Milliseconds checkpointTime{10'000};
constexpr Milliseconds watcherRunTime{60'000}; // a watcher that ran for so long did not fail at start
}

auto ShardScheduler::settleEnd(JobEntry &entry, const AttemptReport &report, const Turn &turn) -> void
{
    if (!report.m_checkpoint.empty()) {
        entry.m_record.m_job.m_checkpoint = report.m_checkpoint;
    }
    acknowledge(entry, turn);
    endAttempt(entry, turn);
    if (report.m_state == AttemptState::Completed && entry.m_record.m_job.m_spec.m_kind == JobKind::Batch) {
        complete(entry, report, turn);
    } else if (report.m_state == AttemptState::Failed || report.m_state == AttemptState::Completed) {
        failAttempt(entry, report, turn);
    } else {
        requeue(entry, turn);
    }
}

auto ShardScheduler::acknowledge(JobEntry &entry, const Turn &turn) -> void
{
    DurableEffect effect;
    effect.m_kind = DurableEffect::Kind::Acknowledge;
    effect.m_attempt = entry.m_record.m_job.m_attempt;
    effect.m_worker = entry.m_record.m_job.m_worker;
    change(entry, std::move(effect), turn);
}

auto ShardScheduler::endAttempt(JobEntry &entry, const Turn &turn) -> void
{
    const Job &job = entry.m_record.m_job;
    if (Worker *const worker = m_workers.find(job.m_worker)) {
        worker->release(job.m_id, job.m_spec.m_class, entry.m_record.m_reserved);
    }
    entry.m_phase = AttemptPhase::None;
    m_jobs.setDue(entry, TimePoint::max());
    m_queue.rewind();
    change(entry, turn);
}

auto ShardScheduler::complete(JobEntry &entry, const AttemptReport &report, const Turn &turn) -> void
{
    ++m_counters.m_completions;
    observeUsage(entry, report.m_usage);
    const bool isWhole = entry.m_record.m_job.m_checkpoint.empty(); // otherwise the run time is only that of the rest
    if (isWhole && entry.m_peak.m_cpuMillis > 0 && entry.m_peak.m_memoryMb > 0) {
        const auto runTime = std::chrono::duration_cast<Milliseconds>(turn.m_now - entry.m_confirmedAt);
        m_sizes.addAttempt(entry.m_record.m_job.m_spec, entry.m_peak, runTime, turn.m_now);
    }
    entry.m_record.m_job.m_result = report.m_result;
    if (Worker *const worker = m_workers.find(entry.m_record.m_job.m_worker)) {
        worker->m_failures = 0;
    }
    finish(entry, JobState::Completed, "", turn);
}

auto ShardScheduler::failAttempt(JobEntry &entry, const AttemptReport &report, const Turn &turn) -> void
{
    ++m_counters.m_failures;
    countWorkerFailure(entry.m_record.m_job.m_worker, turn);
    const bool watcher = entry.m_record.m_job.m_spec.m_kind == JobKind::Watcher;
    if (watcher && turn.m_now - entry.m_confirmedAt > watcherRunTime) {
        entry.m_record.m_failures = 0;
    }
    ++entry.m_record.m_failures;
    if (entry.m_record.m_failures >= m_settings.m_maxFailures && !entry.m_record.m_cancelRequested) {
        const std::string reason = "failed " + std::to_string(entry.m_record.m_failures) + " times, last: " + report.m_result;
        finish(entry, JobState::Failed, reason, turn);
    } else {
        requeue(entry, turn);
    }
}

auto ShardScheduler::requeue(JobEntry &entry, const Turn &turn) -> void
{
    if (entry.m_record.m_cancelRequested) {
        finish(entry, JobState::Cancelled, "cancelled by the caller", turn);
        return;
    }
    enqueue(entry);
    logJob("job_requeued", entry);
    change(entry, turn);
}

auto ShardScheduler::countWorkerFailure(std::string_view worker, const Turn &turn) -> void
{
    Worker *const found = m_workers.find(worker);
    if (found != nullptr && m_workers.countFailure(*found, turn.m_now)) {
        ++m_counters.m_quarantines;
        logEvent(LogLevel::Warning, "worker_quarantined", {{"worker", worker}, {"shard", m_tenure.m_shard}, {"failures", found->m_failures}});
    }
}

auto ShardScheduler::evictAll(Worker &worker, const Turn &turn) -> void
{
    const std::vector<std::string> jobs(worker.m_jobs.begin(), worker.m_jobs.end());
    for (const auto &id : jobs) {
        evict(*m_jobs.find(id), turn);
    }
}

auto ShardScheduler::evict(JobEntry &entry, const Turn &turn) -> void
{
    const Job &job = entry.m_record.m_job;
    if (entry.m_phase == AttemptPhase::Assigning) {
        // The start was never sent and never will be.
        endAttempt(entry, turn);
        requeue(entry, turn);
    } else if (entry.m_phase == AttemptPhase::Starting) {
        beginStop(entry, turn);
    } else if (entry.m_phase == AttemptPhase::Running) {
        ++m_counters.m_evictions;
        entry.m_phase = AttemptPhase::Checkpointing;
        m_jobs.setDue(entry, turn.m_now + checkpointTime);
        checkpointAttempt(m_workers.at(job.m_worker), {.m_job = job.m_id, .m_number = job.m_attempt}, turn);
        logEvent(LogLevel::Info, "job_evicted", {{"job", job.m_id}, {"attempt", job.m_attempt}, {"worker", job.m_worker}});
    }
}

auto ShardScheduler::repeatOrders(const Turn &turn) -> void
{
    for (const auto &id : m_jobs.expired(turn.m_now)) {
        JobEntry &entry = *m_jobs.find(id);
        m_jobs.setDue(entry, TimePoint::max());
        switch (entry.m_phase) {
        case AttemptPhase::Starting:
            repeatStart(entry, turn);
            break;
        case AttemptPhase::Checkpointing:
            beginStop(entry, turn);
            break;
        case AttemptPhase::Stopping:
            sendStop(entry, turn);
            break;
        default:
            break;
        }
    }
}

auto ShardScheduler::repeatStart(JobEntry &entry, const Turn &turn) -> void
{
    if (entry.m_sends < maxStarts) {
        sendStart(entry, turn);
        return;
    }
    countWorkerFailure(entry.m_record.m_job.m_worker, turn);
    beginStop(entry, turn);
}

auto ShardScheduler::sendStart(JobEntry &entry, const Turn &turn) -> void
{
    const Job &job = entry.m_record.m_job;
    requireInvariant(entry.m_durableAttempt == job.m_attempt, "start_after_durable_assignment", job.m_id);
    const Worker &worker = m_workers.at(job.m_worker);
    ++entry.m_sends;
    JobSpec spec = job.m_spec;
    spec.m_demand = entry.m_record.m_reserved;
    m_jobs.setDue(entry, turn.m_now + m_settings.m_callTimeout);
    turn.m_commands.emplace_back(StartAttempt{.m_worker = worker.m_name,
                                              .m_endpoint = {.m_address = worker.m_host.m_address, .m_port = worker.m_host.m_port},
                                              .m_order = {.m_shard = m_tenure.m_shard,
                                                          .m_epoch = m_tenure.m_epoch,
                                                          .m_attempt = {.m_job = job.m_id, .m_number = job.m_attempt},
                                                          .m_spec = std::move(spec),
                                                          .m_checkpoint = job.m_checkpoint}});
}

auto ShardScheduler::beginStop(JobEntry &entry, const Turn &turn) -> void
{
    entry.m_phase = AttemptPhase::Stopping;
    sendStop(entry, turn);
    if (!m_settings.m_guards.m_tombstoneWait) {
        endAttempt(entry, turn);
        requeue(entry, turn);
    }
}

auto ShardScheduler::sendStop(JobEntry &entry, const Turn &turn) -> void
{
    const Job &job = entry.m_record.m_job;
    m_jobs.setDue(entry, turn.m_now + m_settings.m_callTimeout);
    stopAttempt(m_workers.at(job.m_worker), {.m_job = job.m_id, .m_number = job.m_attempt}, turn);
}

auto ShardScheduler::checkpointAttempt(const Worker &worker, const AttemptId &attempt, const Turn &turn) -> void
{
    turn.m_commands.emplace_back(CheckpointAttempt{.m_worker = worker.m_name,
                                                   .m_endpoint = {.m_address = worker.m_host.m_address, .m_port = worker.m_host.m_port},
                                                   .m_order = {.m_shard = m_tenure.m_shard, .m_epoch = m_tenure.m_epoch, .m_attempt = attempt}});
}

auto ShardScheduler::stopAttempt(const Worker &worker, const AttemptId &attempt, const Turn &turn) -> void
{
    if (worker.hasAddress()) {
        turn.m_commands.emplace_back(StopAttempt{.m_worker = worker.m_name,
                                                 .m_endpoint = {.m_address = worker.m_host.m_address, .m_port = worker.m_host.m_port},
                                                 .m_order = {.m_shard = m_tenure.m_shard, .m_epoch = m_tenure.m_epoch, .m_attempt = attempt}});
    }
}
}

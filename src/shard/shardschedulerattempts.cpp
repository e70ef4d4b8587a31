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
constexpr std::uint32_t maxStarts = 4; // afterwards the attempt is stopped and the job is queued again
constexpr Milliseconds checkpointTime{10'000}; // afterwards the attempt is stopped without a new checkpoint
constexpr Milliseconds watcherRunTime{60'000}; // a watcher that ran longer did not fail at its start, so its earlier failures do not count
}

auto ShardScheduler::handleAttemptEnd(JobEntry &entry, const AttemptReport &report, const CallContext &context) -> void
{
    if (!report.m_checkpoint.empty()) {
        entry.m_record.m_job.m_checkpoint = report.m_checkpoint;
    }
    acknowledge(entry, context);
    endAttempt(entry, context);
    if (report.m_state == AttemptState::Completed && entry.m_record.m_job.m_spec.m_kind == JobKind::Batch) {
        completeJob(entry, report, context);
    } else if (report.m_state == AttemptState::Failed || report.m_state == AttemptState::Completed) {
        failAttempt(entry, report, context);
    } else {
        requeue(entry, context);
    }
}

auto ShardScheduler::acknowledge(JobEntry &entry, const CallContext &context) -> void
{
    DurableEffect effect;
    effect.m_kind = DurableEffect::Kind::Acknowledge;
    effect.m_attempt = entry.m_record.m_job.m_attempt;
    effect.m_worker = entry.m_record.m_job.m_worker;
    recordChange(entry, std::move(effect), context);
}

auto ShardScheduler::endAttempt(JobEntry &entry, const CallContext &context) -> void
{
    const Job &job = entry.m_record.m_job;
    if (Worker *const worker = m_workers.find(job.m_worker)) {
        worker->release(job.m_id, job.m_spec.m_class, entry.m_record.m_reserved);
    }
    entry.m_phase = AttemptPhase::None;
    m_jobs.setDue(entry, TimePoint::max());
    m_queue.rewind();
    recordChange(entry, context);
}

auto ShardScheduler::completeJob(JobEntry &entry, const AttemptReport &report, const CallContext &context) -> void
{
    ++m_counters.m_completions;
    observeUsage(entry, report.m_usage);
    const bool isWhole = entry.m_record.m_job.m_checkpoint.empty(); // an attempt that resumed from a checkpoint ran only a part of the job
    if (isWhole && entry.m_peakUsage.m_cpuMillis > 0 && entry.m_peakUsage.m_memoryMb > 0) {
        const auto runTime = std::chrono::duration_cast<Milliseconds>(context.m_now - entry.m_confirmedAt);
        m_sizes.addAttempt(entry.m_record.m_job.m_spec, entry.m_peakUsage, runTime, context.m_now);
    }
    entry.m_record.m_job.m_result = report.m_result;
    if (Worker *const worker = m_workers.find(entry.m_record.m_job.m_worker)) {
        worker->m_failures = 0;
    }
    finishJob(entry, JobState::Completed, "", context);
}

auto ShardScheduler::failAttempt(JobEntry &entry, const AttemptReport &report, const CallContext &context) -> void
{
    ++m_counters.m_failures;
    countWorkerFailure(entry.m_record.m_job.m_worker, context);
    const bool watcher = entry.m_record.m_job.m_spec.m_kind == JobKind::Watcher;
    if (watcher && context.m_now - entry.m_confirmedAt > watcherRunTime) {
        entry.m_record.m_failures = 0;
    }
    ++entry.m_record.m_failures;
    if (entry.m_record.m_failures >= m_settings.m_maxFailures && !entry.m_record.m_cancelRequested) {
        const std::string reason = "failed " + std::to_string(entry.m_record.m_failures) + " times, last: " + report.m_result;
        finishJob(entry, JobState::Failed, reason, context);
    } else {
        requeue(entry, context);
    }
}

auto ShardScheduler::requeue(JobEntry &entry, const CallContext &context) -> void
{
    if (entry.m_record.m_cancelRequested) {
        finishJob(entry, JobState::Cancelled, "cancelled by the caller", context);
        return;
    }
    enqueue(entry);
    logJob("job_requeued", entry);
    recordChange(entry, context);
}

auto ShardScheduler::countWorkerFailure(std::string_view worker, const CallContext &context) -> void
{
    Worker *const found = m_workers.find(worker);
    if (found != nullptr && m_workers.countFailure(*found, context.m_now)) {
        ++m_counters.m_quarantines;
        logEvent(LogLevel::Warning, "worker_quarantined", {{"worker", worker}, {"shard", m_term.m_shard}, {"failures", found->m_failures}});
    }
}

auto ShardScheduler::evictAll(Worker &worker, const CallContext &context) -> void
{
    const std::vector<std::string> jobs(worker.m_jobs.begin(), worker.m_jobs.end());
    for (const auto &id : jobs) {
        evict(*m_jobs.find(id), context);
    }
}

auto ShardScheduler::evict(JobEntry &entry, const CallContext &context) -> void
{
    const Job &job = entry.m_record.m_job;
    if (entry.m_phase == AttemptPhase::Assigning) {
        // The start was not sent, so there is nothing to stop on the worker.
        endAttempt(entry, context);
        requeue(entry, context);
    } else if (entry.m_phase == AttemptPhase::Starting) {
        beginStop(entry, context);
    } else if (entry.m_phase == AttemptPhase::Running) {
        ++m_counters.m_evictions;
        entry.m_phase = AttemptPhase::Checkpointing;
        m_jobs.setDue(entry, context.m_now + checkpointTime);
        checkpointAttempt(m_workers.findOrAdd(job.m_worker), {.m_job = job.m_id, .m_number = job.m_attempt}, context);
        logEvent(LogLevel::Info, "job_evicted", {{"job", job.m_id}, {"attempt", job.m_attempt}, {"worker", job.m_worker}});
    }
}

auto ShardScheduler::repeatOrders(const CallContext &context) -> void
{
    for (const auto &id : m_jobs.dueJobs(context.m_now)) {
        JobEntry &entry = *m_jobs.find(id);
        m_jobs.setDue(entry, TimePoint::max());
        switch (entry.m_phase) {
        case AttemptPhase::Starting:
            repeatStart(entry, context);
            break;
        case AttemptPhase::Checkpointing:
            beginStop(entry, context);
            break;
        case AttemptPhase::Stopping:
            sendStop(entry, context);
            break;
        default:
            break;
        }
    }
}

auto ShardScheduler::repeatStart(JobEntry &entry, const CallContext &context) -> void
{
    if (entry.m_startsSent < maxStarts) {
        sendStart(entry, context);
        return;
    }
    countWorkerFailure(entry.m_record.m_job.m_worker, context);
    beginStop(entry, context);
}

auto ShardScheduler::sendStart(JobEntry &entry, const CallContext &context) -> void
{
    const Job &job = entry.m_record.m_job;
    requireInvariant(entry.m_durableAttempt == job.m_attempt, "start_after_durable_assignment", job.m_id);
    const Worker &worker = m_workers.findOrAdd(job.m_worker);
    ++entry.m_startsSent;
    JobSpec spec = job.m_spec;
    spec.m_demand = entry.m_record.m_reserved;
    m_jobs.setDue(entry, context.m_now + m_settings.m_callTimeout);
    context.m_commands.emplace_back(StartAttempt{.m_worker = worker.m_name,
                                                 .m_endpoint = {.m_address = worker.m_host.m_address, .m_port = worker.m_host.m_port},
                                                 .m_order = {.m_shard = m_term.m_shard,
                                                             .m_epoch = m_term.m_epoch,
                                                             .m_attempt = {.m_job = job.m_id, .m_number = job.m_attempt},
                                                             .m_spec = std::move(spec),
                                                             .m_checkpoint = job.m_checkpoint}});
}

auto ShardScheduler::beginStop(JobEntry &entry, const CallContext &context) -> void
{
    entry.m_phase = AttemptPhase::Stopping;
    sendStop(entry, context);
    if (!m_settings.m_guards.m_tombstoneWait) {
        endAttempt(entry, context);
        requeue(entry, context);
    }
}

auto ShardScheduler::sendStop(JobEntry &entry, const CallContext &context) -> void
{
    const Job &job = entry.m_record.m_job;
    m_jobs.setDue(entry, context.m_now + m_settings.m_callTimeout);
    stopAttempt(m_workers.findOrAdd(job.m_worker), {.m_job = job.m_id, .m_number = job.m_attempt}, context);
}

auto ShardScheduler::checkpointAttempt(const Worker &worker, const AttemptId &attempt, const CallContext &context) -> void
{
    context.m_commands.emplace_back(CheckpointAttempt{.m_worker = worker.m_name,
                                                      .m_endpoint = {.m_address = worker.m_host.m_address, .m_port = worker.m_host.m_port},
                                                      .m_order = {.m_shard = m_term.m_shard, .m_epoch = m_term.m_epoch, .m_attempt = attempt}});
}

auto ShardScheduler::stopAttempt(const Worker &worker, const AttemptId &attempt, const CallContext &context) -> void
{
    if (worker.hasAddress()) {
        context.m_commands.emplace_back(StopAttempt{.m_worker = worker.m_name,
                                                    .m_endpoint = {.m_address = worker.m_host.m_address, .m_port = worker.m_host.m_port},
                                                    .m_order = {.m_shard = m_term.m_shard, .m_epoch = m_term.m_epoch, .m_attempt = attempt}});
    }
}
}

#include "burdockspur/operations/log.hpp"
#include "burdockspur/shard/shardscheduler.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
constexpr Milliseconds renewalRetry{1'000};
constexpr Milliseconds startRetry{200}; // multiplied by the number of starts already sent
constexpr std::size_t tombstonesAtOnce = 32; // stops sent to one worker in one tick
}

auto ShardScheduler::matchesTerm(ShardId shard, Epoch epoch) const noexcept -> bool
{
    return shard == m_term.m_shard && (epoch == m_term.m_epoch || !m_settings.m_guards.m_epochCheck);
}

auto ShardScheduler::findCurrent(std::string_view worker, const AttemptId &attempt) -> JobEntry *
{
    JobEntry *const entry = m_jobs.find(attempt.m_job);
    if (entry == nullptr || entry->m_phase == AttemptPhase::None) {
        return nullptr;
    }
    const Job &job = entry->m_record.m_job;
    return job.m_attempt == attempt.m_number && job.m_worker == worker ? entry : nullptr;
}

auto ShardScheduler::onEvent(const LeaseAnswered &event, const CallContext &context) -> void
{
    Worker *const worker = m_workers.find(event.m_worker);
    if (worker == nullptr || !worker->m_awaitsAnswer || !matchesTerm(event.m_shard, event.m_epoch)) {
        return;
    }
    if (event.m_report) {
        processReport(*worker, *event.m_report, context);
        return;
    }
    if (event.m_report.error().m_code == ErrorCode::StaleEpoch) {
        context.m_commands.emplace_back(CheckOwnership{.m_shard = m_term.m_shard});
    }
    handleRenewalFailure(*worker, context);
}

auto ShardScheduler::handleRenewalFailure(Worker &worker, const CallContext &context) -> void
{
    const bool wasSuspect = worker.m_suspect;
    worker.recordRenewalLoss();
    worker.m_nextRenewal = context.m_now + (worker.m_suspect && worker.m_jobs.empty() ? m_settings.m_renewal : renewalRetry);
    if (worker.m_suspect && !wasSuspect) {
        logEvent(LogLevel::Warning, "worker_silent", {{"worker", worker.m_name}, {"shard", m_term.m_shard}, {"epoch", m_term.m_epoch}});
    }
}

auto ShardScheduler::processReport(Worker &worker, const LeaseReport &report, const CallContext &context) -> void
{
    const bool isRestarted = worker.lastReport() && worker.lastReport()->m_incarnation != report.m_report.m_incarnation;
    worker.recordRenewalAnswer(report, context.m_now);
    if (isRestarted) {
        stopUnconfirmedStarts(worker, context);
    }
    if (!report.m_granted) {
        worker.m_nextRenewal = context.m_now + (worker.shouldRenewImmediately() ? Milliseconds(0) : renewalRetry);
    }
    std::set<std::string_view> reported;
    for (const auto &attempt : report.m_attempts) {
        reported.insert(attempt.m_attempt.m_job);
        processAttempt(worker, attempt, context);
    }
    stopMissingAttempts(worker, reported, context);
    worker.m_reportedLeaving = report.m_leaving;
    if (worker.isLeaving()) {
        evictAll(worker, context);
    }
}

auto ShardScheduler::processAttempt(Worker &worker, const AttemptReport &report, const CallContext &context) -> void
{
    JobEntry *const entry = findCurrent(worker.m_name, report.m_attempt);
    if (entry == nullptr || entry->m_phase == AttemptPhase::Assigning) {
        processStrayAttempt(worker, report, context);
    } else if (report.m_state == AttemptState::Running) {
        confirmRunning(*entry, report, context);
    } else {
        handleAttemptEnd(*entry, report, context);
    }
}

auto ShardScheduler::processStrayAttempt(Worker &worker, const AttemptReport &report, const CallContext &context) -> void
{
    JobEntry *const entry = m_jobs.find(report.m_attempt.m_job);
    if (entry != nullptr && isLateCompletion(*entry, worker, report)) {
        m_queue.erase(entry->m_record);
        m_unschedulable.erase(report.m_attempt.m_job);
        acknowledge(*entry, context);
        completeJob(*entry, report, context);
    } else if (report.m_state == AttemptState::Running) {
        ++m_counters.m_strays;
        logEvent(LogLevel::Warning, "stray_attempt", {{"job", report.m_attempt.m_job}, {"attempt", report.m_attempt.m_number}, {"worker", worker.m_name}});
        stopAttempt(worker, report.m_attempt, context);
    } else if (!m_journal.isPending(report.m_attempt.m_job) && std::ranges::find(worker.m_toAcknowledge, report.m_attempt) == worker.m_toAcknowledge.end()) {
        // The end of the attempt is durable, but its acknowledgement did not reach the worker.
        worker.m_toAcknowledge.push_back(report.m_attempt);
    }
}

auto ShardScheduler::isLateCompletion(const JobEntry &entry, const Worker &worker, const AttemptReport &report) noexcept -> bool
{
    // The attempt had completed before its lease expired here, and no later attempt exists.
    const Job &job = entry.m_record.m_job;
    return report.m_state == AttemptState::Completed && job.m_spec.m_kind == JobKind::Batch && entry.m_phase == AttemptPhase::None && !isTerminal(job.m_state)
        && job.m_attempt == report.m_attempt.m_number && job.m_worker == worker.m_name;
}

auto ShardScheduler::confirmRunning(JobEntry &entry, const AttemptReport &report, const CallContext &context) -> void
{
    Job &job = entry.m_record.m_job;
    observeUsage(entry, report.m_usage);
    if (!report.m_checkpoint.empty() && report.m_checkpoint != job.m_checkpoint) {
        job.m_checkpoint = report.m_checkpoint;
        recordChange(entry, context);
    }
    if (entry.m_phase != AttemptPhase::Starting && entry.m_phase != AttemptPhase::Reconciling) {
        return;
    }
    // Not written to the journal: a new owner gets this state from the worker's report.
    entry.m_phase = AttemptPhase::Running;
    entry.m_confirmedAt = context.m_now;
    m_jobs.setState(entry, JobState::Running);
    m_jobs.setDue(entry, TimePoint::max());
    if (entry.m_record.m_cancelRequested) {
        beginStop(entry, context);
    }
}

auto ShardScheduler::observeUsage(JobEntry &entry, const Resources &usage) -> void
{
    // A worker that does not report usage sends zero.
    entry.m_peakUsage.m_cpuMillis = std::max(entry.m_peakUsage.m_cpuMillis, usage.m_cpuMillis);
    entry.m_peakUsage.m_memoryMb = std::max(entry.m_peakUsage.m_memoryMb, usage.m_memoryMb);
    if (usage.m_cpuMillis > 0 || usage.m_memoryMb > 0) {
        m_sizes.observe(entry.m_record.m_job.m_spec.m_class, usage);
    }
}

auto ShardScheduler::stopUnconfirmedStarts(const Worker &worker, const CallContext &context) -> void
{
    // The worker may have run the attempt before it crashed, without an answer; a repeated start would run it again.
    const std::vector<std::string> jobs(worker.m_jobs.begin(), worker.m_jobs.end());
    for (const auto &id : jobs) {
        JobEntry &entry = *m_jobs.find(id);
        if (entry.m_phase == AttemptPhase::Starting) {
            beginStop(entry, context);
        }
    }
}

auto ShardScheduler::stopMissingAttempts(Worker &worker, const std::set<std::string_view> &reported, const CallContext &context) -> void
{
    const std::vector<std::string> jobs(worker.m_jobs.begin(), worker.m_jobs.end());
    for (const auto &id : jobs) {
        JobEntry &entry = *m_jobs.find(id);
        // The worker may have sent the report before a start that was confirmed in the meantime.
        const bool wasRunning = entry.m_phase == AttemptPhase::Running && entry.m_confirmedAt < worker.m_lastSent;
        const bool mustBeReported = wasRunning || entry.m_phase == AttemptPhase::Reconciling;
        if (mustBeReported && !reported.contains(id)) {
            // The worker was restarted or never received the start; the stop leaves a tombstone, so a late start is refused.
            beginStop(entry, context);
        }
    }
}

auto ShardScheduler::onEvent(const StartAnswered &event, const CallContext &context) -> void
{
    JobEntry *const entry = findCurrent(event.m_worker, event.m_attempt);
    if (entry == nullptr || entry->m_phase != AttemptPhase::Starting || !matchesTerm(event.m_shard, event.m_epoch)) {
        return;
    }
    Worker &worker = m_workers.findOrAdd(event.m_worker);
    switch (event.m_result.m_status) {
    case StartResult::Status::Started:
        confirmRunning(*entry, AttemptReport(), context);
        logJob("attempt_started", *entry);
        if (worker.isLeaving()) {
            evict(*entry, context);
        }
        break;
    case StartResult::Status::Refused:
        handleRefusedStart(*entry, worker, event.m_result.m_reason, context);
        break;
    case StartResult::Status::Fenced:
        context.m_commands.emplace_back(CheckOwnership{.m_shard = m_term.m_shard});
        break;
    case StartResult::Status::Unknown:
        m_jobs.setDue(*entry, context.m_now + startRetry * entry->m_startsSent);
        break;
    }
}

auto ShardScheduler::handleRefusedStart(JobEntry &entry, Worker &worker, std::string_view reason, const CallContext &context) -> void
{
    if (reason == "tombstoned" || reason == "superseded") {
        AttemptReport report;
        report.m_state = AttemptState::NeverStarted;
        handleAttemptEnd(entry, report, context);
        return;
    }
    if (reason == "no_lease") {
        worker.m_nextRenewal = context.m_now;
        m_jobs.setDue(entry, context.m_now + startRetry * entry.m_startsSent);
        return;
    }
    if (reason == "leaving") {
        worker.m_reportedLeaving = true;
        worker.m_nextRenewal = context.m_now;
    } else {
        worker.m_fullUntil = reason == "no_capacity" ? context.m_now + m_settings.m_renewal : worker.m_fullUntil;
        countWorkerFailure(worker.m_name, context);
    }
    // A delayed copy of the start may still arrive; the tombstone makes the worker refuse it.
    beginStop(entry, context);
}

auto ShardScheduler::onEvent(const StopAnswered &event, const CallContext &context) -> void
{
    Worker *const worker = m_workers.find(event.m_worker);
    if (worker == nullptr || !matchesTerm(event.m_shard, event.m_epoch)) {
        return;
    }
    if (!event.m_report) {
        if (event.m_report.error().m_code == ErrorCode::StaleEpoch) {
            context.m_commands.emplace_back(CheckOwnership{.m_shard = m_term.m_shard});
        }
        return;
    }
    if (std::erase(worker->m_expiredAttempts, event.m_attempt) > 0 && worker->m_expiredAttempts.empty()) {
        worker->m_nextRenewal = context.m_now;
    }
    JobEntry *const entry = findCurrent(event.m_worker, event.m_attempt);
    if (entry != nullptr && entry->m_phase == AttemptPhase::Stopping && event.m_report->m_state != AttemptState::Running) {
        handleAttemptEnd(*entry, *event.m_report, context);
    }
}

auto ShardScheduler::onEvent(const CheckpointAnswered &event, const CallContext &context) -> void
{
    JobEntry *const entry = findCurrent(event.m_worker, event.m_attempt);
    if (entry == nullptr || entry->m_phase != AttemptPhase::Checkpointing || !matchesTerm(event.m_shard, event.m_epoch)) {
        return;
    }
    if (event.m_report && !event.m_report->m_checkpoint.empty()) {
        entry->m_record.m_job.m_checkpoint = event.m_report->m_checkpoint;
    }
    beginStop(*entry, context);
}

auto ShardScheduler::tickWorker(Worker &worker, const CallContext &context) -> void
{
    if (worker.m_awaitsAnswer && context.m_now >= worker.m_answerDeadline) {
        handleRenewalFailure(worker, context);
    }
    if (worker.awaitsExpiry() && context.m_now >= worker.leaseEnd()) {
        expireLease(worker, context);
    }
    if (!worker.m_awaitsAnswer && worker.hasAddress() && context.m_now >= worker.m_nextRenewal) {
        if (worker.m_expiredAttempts.empty()) {
            sendRenewal(worker, context);
        } else {
            sendTombstones(worker, context);
        }
    }
    const bool usable = worker.isUsable(context.m_now);
    if (usable && !worker.m_wasUsable) {
        m_queue.rewind();
    }
    worker.m_wasUsable = usable;
}

auto ShardScheduler::expireLease(Worker &worker, const CallContext &context) -> void
{
    logEvent(LogLevel::Warning,
             "worker_lease_expired",
             {{"worker", worker.m_name}, {"shard", m_term.m_shard}, {"epoch", m_term.m_epoch}, {"attempts", worker.m_jobs.size()}});
    const std::vector<std::string> jobs(worker.m_jobs.begin(), worker.m_jobs.end());
    for (const auto &id : jobs) {
        JobEntry &entry = *m_jobs.find(id);
        ++m_counters.m_losses;
        worker.m_expiredAttempts.push_back({.m_job = id, .m_number = entry.m_record.m_job.m_attempt});
        endAttempt(entry, context);
        requeue(entry, context);
    }
    worker.m_suspect = true;
    worker.m_nextRenewal = context.m_now;
}

auto ShardScheduler::sendTombstones(Worker &worker, const CallContext &context) -> void
{
    // After the renewal of the lease, the worker would accept a delayed start of an expired attempt.
    worker.m_nextRenewal = context.m_now + (worker.m_listed ? m_settings.m_renewal : m_settings.m_unfencedWait);
    const std::size_t count = std::min(worker.m_expiredAttempts.size(), tombstonesAtOnce);
    for (std::size_t i = 0; i < count; ++i) {
        stopAttempt(worker, worker.m_expiredAttempts[i], context);
    }
}

auto ShardScheduler::sendRenewal(Worker &worker, const CallContext &context) -> void
{
    worker.recordRenewalSent(context.m_now);
    worker.m_nextRenewal = context.m_now + m_settings.m_renewal;
    // The worker duty reports a lost answer before this deadline, unless the ring is full.
    worker.m_answerDeadline = context.m_now + m_settings.m_callTimeout + renewalRetry;
    context.m_commands.emplace_back(RenewLease{.m_worker = worker.m_name,
                                               .m_endpoint = {.m_address = worker.m_host.m_address, .m_port = worker.m_host.m_port},
                                               .m_renewal = {.m_shard = m_term.m_shard,
                                                             .m_epoch = m_term.m_epoch,
                                                             .m_owner = m_term.m_host,
                                                             .m_ttl = m_settings.m_workerLease,
                                                             .m_acknowledged = worker.m_toAcknowledge,
                                                             .m_answeredReport = worker.lastReport()}});
}
}

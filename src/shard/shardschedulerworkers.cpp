#include "burdockspur/operations/log.hpp"
#include "burdockspur/shard/shardscheduler.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
constexpr Milliseconds renewalRetry{1'000};
constexpr Milliseconds startRetry{200};
constexpr std::size_t tombstonesAtOnce = 32;
}

auto ShardScheduler::concerns(ShardId shard, Epoch epoch) const noexcept -> bool
{
    return shard == m_tenure.m_shard && (epoch == m_tenure.m_epoch || !m_settings.m_guards.m_epochCheck);
}

auto ShardScheduler::current(std::string_view worker, const AttemptId &attempt) -> JobEntry *
{
    JobEntry *const entry = m_jobs.find(attempt.m_job);
    if (entry == nullptr || entry->m_phase == AttemptPhase::None) {
        return nullptr;
    }
    const Job &job = entry->m_record.m_job;
    return job.m_attempt == attempt.m_number && job.m_worker == worker ? entry : nullptr;
}

auto ShardScheduler::onEvent(const LeaseAnswered &event, const Turn &turn) -> void
{
    Worker *const worker = m_workers.find(event.m_worker);
    if (worker == nullptr || !worker->m_awaiting || !concerns(event.m_shard, event.m_epoch)) {
        return;
    }
    if (event.m_report) {
        takeReport(*worker, *event.m_report, turn);
        return;
    }
    if (event.m_report.error().m_code == ErrorCode::StaleEpoch) {
        turn.m_commands.emplace_back(DoubtOwnership{.m_shard = m_tenure.m_shard});
    }
    renewalFailed(*worker, turn);
}

auto ShardScheduler::renewalFailed(Worker &worker, const Turn &turn) -> void
{
    const bool wasSuspect = worker.m_suspect;
    worker.renewalLost();
    worker.m_nextRenewal = turn.m_now + (worker.m_suspect && worker.m_jobs.empty() ? m_settings.m_renewal : renewalRetry);
    if (worker.m_suspect && !wasSuspect) {
        logEvent(LogLevel::Warning, "worker_silent", {{"worker", worker.m_name}, {"shard", m_tenure.m_shard}, {"epoch", m_tenure.m_epoch}});
    }
}

auto ShardScheduler::takeReport(Worker &worker, const LeaseReport &report, const Turn &turn) -> void
{
    const bool isRestarted = worker.answers() && worker.answers()->m_incarnation != report.m_report.m_incarnation;
    worker.renewalAnswered(report, turn.m_now);
    if (isRestarted) {
        stopStarting(worker, turn);
    }
    if (!report.m_granted) {
        worker.m_nextRenewal = turn.m_now + (worker.renewsAtOnce() ? Milliseconds(0) : renewalRetry);
    }
    std::set<std::string_view> reported;
    for (const auto &attempt : report.m_attempts) {
        reported.insert(attempt.m_attempt.m_job);
        takeAttempt(worker, attempt, turn);
    }
    stopMissing(worker, reported, turn);
    worker.m_reportedLeaving = report.m_leaving;
    if (worker.isLeaving()) {
        evictAll(worker, turn);
    }
}

auto ShardScheduler::takeAttempt(Worker &worker, const AttemptReport &report, const Turn &turn) -> void
{
    JobEntry *const entry = current(worker.m_name, report.m_attempt);
    if (entry == nullptr || entry->m_phase == AttemptPhase::Assigning) {
        takeStray(worker, report, turn);
    } else if (report.m_state == AttemptState::Running) {
        confirmRunning(*entry, report, turn);
    } else {
        settleEnd(*entry, report, turn);
    }
}

auto ShardScheduler::takeStray(Worker &worker, const AttemptReport &report, const Turn &turn) -> void
{
    JobEntry *const entry = m_jobs.find(report.m_attempt.m_job);
    if (entry != nullptr && isLateCompletion(*entry, worker, report)) {
        m_queue.erase(entry->m_record);
        m_unschedulable.erase(report.m_attempt.m_job);
        acknowledge(*entry, turn);
        complete(*entry, report, turn);
    } else if (report.m_state == AttemptState::Running) {
        ++m_counters.m_strays;
        logEvent(LogLevel::Warning, "stray_attempt", {{"job", report.m_attempt.m_job}, {"attempt", report.m_attempt.m_number}, {"worker", worker.m_name}});
        stopAttempt(worker, report.m_attempt, turn);
    } else if (!m_journal.isWaiting(report.m_attempt.m_job) && std::ranges::find(worker.m_ended, report.m_attempt) == worker.m_ended.end()) {
        // Its end is durable, but the acknowledgement was lost.
        worker.m_ended.push_back(report.m_attempt);
    }
}

auto ShardScheduler::isLateCompletion(const JobEntry &entry, const Worker &worker, const AttemptReport &report) noexcept -> bool
{
    // The attempt ended by expiry of the lease, but it had completed before, and no later attempt exists.
    const Job &job = entry.m_record.m_job;
    return report.m_state == AttemptState::Completed && job.m_spec.m_kind == JobKind::Batch && entry.m_phase == AttemptPhase::None && !isTerminal(job.m_state)
        && job.m_attempt == report.m_attempt.m_number && job.m_worker == worker.m_name;
}

auto ShardScheduler::confirmRunning(JobEntry &entry, const AttemptReport &report, const Turn &turn) -> void
{
    Job &job = entry.m_record.m_job;
    observeUsage(entry, report.m_usage);
    if (!report.m_checkpoint.empty() && report.m_checkpoint != job.m_checkpoint) {
        job.m_checkpoint = report.m_checkpoint;
        change(entry, turn);
    }
    if (entry.m_phase != AttemptPhase::Starting && entry.m_phase != AttemptPhase::Reconciling) {
        return;
    }
    // Not written to the journal: a new owner learns it from the worker's report.
    entry.m_phase = AttemptPhase::Running;
    entry.m_confirmedAt = turn.m_now;
    m_jobs.setState(entry, JobState::Running);
    m_jobs.setDue(entry, TimePoint::max());
    if (entry.m_record.m_cancelRequested) {
        beginStop(entry, turn);
    }
}

auto ShardScheduler::observeUsage(JobEntry &entry, const Resources &usage) -> void
{
    // A worker that does not report usage sends zero.
    entry.m_peak.m_cpuMillis = std::max(entry.m_peak.m_cpuMillis, usage.m_cpuMillis);
    entry.m_peak.m_memoryMb = std::max(entry.m_peak.m_memoryMb, usage.m_memoryMb);
    if (usage.m_cpuMillis > 0 || usage.m_memoryMb > 0) {
        m_sizes.observe(entry.m_record.m_job.m_spec.m_class, usage);
    }
}

auto ShardScheduler::stopStarting(const Worker &worker, const Turn &turn) -> void
{
    // The start may have run before the crash with its answer lost; a repeated start would run the same attempt again.
    const std::vector<std::string> jobs(worker.m_jobs.begin(), worker.m_jobs.end());
    for (const auto &id : jobs) {
        JobEntry &entry = *m_jobs.find(id);
        if (entry.m_phase == AttemptPhase::Starting) {
            beginStop(entry, turn);
        }
    }
}

auto ShardScheduler::stopMissing(Worker &worker, const std::set<std::string_view> &reported, const Turn &turn) -> void
{
    const std::vector<std::string> jobs(worker.m_jobs.begin(), worker.m_jobs.end());
    for (const auto &id : jobs) {
        JobEntry &entry = *m_jobs.find(id);
        // A report may be older than the confirmation of a start that was on its way at the same time.
        const bool wasRunning = entry.m_phase == AttemptPhase::Running && entry.m_confirmedAt < worker.m_lastSent;
        const bool unknown = wasRunning || entry.m_phase == AttemptPhase::Reconciling;
        if (unknown && !reported.contains(id)) {
            // The worker was restarted or never got the start; the stop leaves a tombstone.
            beginStop(entry, turn);
        }
    }
}

auto ShardScheduler::onEvent(const StartAnswered &event, const Turn &turn) -> void
{
    JobEntry *const entry = current(event.m_worker, event.m_attempt);
    if (entry == nullptr || entry->m_phase != AttemptPhase::Starting || !concerns(event.m_shard, event.m_epoch)) {
        return;
    }
    Worker &worker = m_workers.at(event.m_worker);
    switch (event.m_result.m_status) {
    case StartResult::Status::Started:
        confirmRunning(*entry, AttemptReport(), turn);
        logJob("attempt_started", *entry);
        if (worker.isLeaving()) {
            evict(*entry, turn);
        }
        break;
    case StartResult::Status::Refused:
        startRefused(*entry, worker, event.m_result.m_reason, turn);
        break;
    case StartResult::Status::Fenced:
        turn.m_commands.emplace_back(DoubtOwnership{.m_shard = m_tenure.m_shard});
        break;
    case StartResult::Status::Unknown:
        m_jobs.setDue(*entry, turn.m_now + startRetry * entry->m_sends);
        break;
    }
}

auto ShardScheduler::startRefused(JobEntry &entry, Worker &worker, std::string_view reason, const Turn &turn) -> void
{
    if (reason == "tombstoned" || reason == "superseded") {
        AttemptReport report;
        report.m_state = AttemptState::NeverStarted;
        settleEnd(entry, report, turn);
        return;
    }
    if (reason == "no_lease") {
        worker.m_nextRenewal = turn.m_now;
        m_jobs.setDue(entry, turn.m_now + startRetry * entry.m_sends);
        return;
    }
    if (reason == "leaving") {
        worker.m_reportedLeaving = true;
        worker.m_nextRenewal = turn.m_now;
    } else {
        worker.m_fullUntil = reason == "no_capacity" ? turn.m_now + m_settings.m_renewal : worker.m_fullUntil;
        countWorkerFailure(worker.m_name, turn);
    }
    // An earlier copy of the start may still arrive; the tombstone excludes it.
    beginStop(entry, turn);
}

auto ShardScheduler::onEvent(const StopAnswered &event, const Turn &turn) -> void
{
    Worker *const worker = m_workers.find(event.m_worker);
    if (worker == nullptr || !concerns(event.m_shard, event.m_epoch)) {
        return;
    }
    if (!event.m_report) {
        if (event.m_report.error().m_code == ErrorCode::StaleEpoch) {
            turn.m_commands.emplace_back(DoubtOwnership{.m_shard = m_tenure.m_shard});
        }
        return;
    }
    if (std::erase(worker->m_expired, event.m_attempt) > 0 && worker->m_expired.empty()) {
        worker->m_nextRenewal = turn.m_now;
    }
    JobEntry *const entry = current(event.m_worker, event.m_attempt);
    if (entry != nullptr && entry->m_phase == AttemptPhase::Stopping && event.m_report->m_state != AttemptState::Running) {
        settleEnd(*entry, *event.m_report, turn);
    }
}

auto ShardScheduler::onEvent(const CheckpointAnswered &event, const Turn &turn) -> void
{
    JobEntry *const entry = current(event.m_worker, event.m_attempt);
    if (entry == nullptr || entry->m_phase != AttemptPhase::Checkpointing || !concerns(event.m_shard, event.m_epoch)) {
        return;
    }
    if (event.m_report && !event.m_report->m_checkpoint.empty()) {
        entry->m_record.m_job.m_checkpoint = event.m_report->m_checkpoint;
    }
    beginStop(*entry, turn);
}

auto ShardScheduler::tickWorker(Worker &worker, const Turn &turn) -> void
{
    if (worker.m_awaiting && turn.m_now >= worker.m_answerDue) {
        renewalFailed(worker, turn);
    }
    if (worker.awaitsExpiry() && turn.m_now >= worker.leaseEnd()) {
        expireLease(worker, turn);
    }
    if (!worker.m_awaiting && worker.hasAddress() && turn.m_now >= worker.m_nextRenewal) {
        if (worker.m_expired.empty()) {
            renew(worker, turn);
        } else {
            sendTombstones(worker, turn);
        }
    }
    const bool usable = worker.isUsable(turn.m_now);
    if (usable && !worker.m_wasUsable) {
        m_queue.rewind();
    }
    worker.m_wasUsable = usable;
}

auto ShardScheduler::expireLease(Worker &worker, const Turn &turn) -> void
{
    logEvent(LogLevel::Warning,
             "worker_lease_expired",
             {{"worker", worker.m_name}, {"shard", m_tenure.m_shard}, {"epoch", m_tenure.m_epoch}, {"attempts", worker.m_jobs.size()}});
    const std::vector<std::string> jobs(worker.m_jobs.begin(), worker.m_jobs.end());
    for (const auto &id : jobs) {
        JobEntry &entry = *m_jobs.find(id);
        ++m_counters.m_losses;
        worker.m_expired.push_back({.m_job = id, .m_number = entry.m_record.m_job.m_attempt});
        endAttempt(entry, turn);
        requeue(entry, turn);
    }
    worker.m_suspect = true;
    worker.m_nextRenewal = turn.m_now;
}

auto ShardScheduler::sendTombstones(Worker &worker, const Turn &turn) -> void
{
    // A delayed copy of a start must not run once the lease is renewed.
    worker.m_nextRenewal = turn.m_now + (worker.m_listed ? m_settings.m_renewal : m_settings.m_unfencedWait);
    const std::size_t count = std::min(worker.m_expired.size(), tombstonesAtOnce);
    for (std::size_t i = 0; i < count; ++i) {
        stopAttempt(worker, worker.m_expired[i], turn);
    }
}

auto ShardScheduler::renew(Worker &worker, const Turn &turn) -> void
{
    worker.renewalSent(turn.m_now);
    worker.m_nextRenewal = turn.m_now + m_settings.m_renewal;
    // The worker duty reports a lost answer earlier; this covers the loss of that report.
    worker.m_answerDue = turn.m_now + m_settings.m_callTimeout + renewalRetry;
    turn.m_commands.emplace_back(RenewLease{.m_worker = worker.m_name,
                                            .m_endpoint = {.m_address = worker.m_host.m_address, .m_port = worker.m_host.m_port},
                                            .m_renewal = {.m_shard = m_tenure.m_shard,
                                                          .m_epoch = m_tenure.m_epoch,
                                                          .m_owner = m_tenure.m_host,
                                                          .m_ttl = m_settings.m_workerLease,
                                                          .m_acknowledged = worker.m_ended,
                                                          .m_answeredReport = worker.answers()}});
}
}

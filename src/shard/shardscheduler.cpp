#include "burdockspur/shard/shardscheduler.hpp"

#include "burdockspur/core/invariant.hpp"
#include "burdockspur/operations/log.hpp"

#include <algorithm>
#include <utility>

namespace Burdockspur
{
ShardScheduler::ShardScheduler(OwnershipTerm term, const ShardSettings &settings, const PlacementPolicy &policy)
    : m_term(std::move(term))
    , m_settings(settings)
    , m_policy(policy)
    , m_workers(settings, m_term.m_since)
    , m_journal(m_term.m_shard, m_term.m_host, settings, m_term.m_epochVersion)
    , m_snapshots(m_term.m_shard, m_term.m_epoch, m_term.m_host, settings, m_term.m_epochVersion)
{
}

auto ShardScheduler::recover(const ShardContent &content) -> void
{
    m_journal.setLastSequence(content.m_lastSequence);
    m_snapshots.recover(content);
    for (const auto &record : content.m_records) {
        m_lastSubmission = std::max(m_lastSubmission, record.m_submission);
        m_jobs.put(record).m_durableAttempt = record.m_job.m_attempt;
    }
    for (auto &[id, entry] : m_jobs.entries()) {
        const Job &job = entry.m_record.m_job;
        if (job.m_state == JobState::Queued) {
            m_queue.insert(entry.m_record);
        } else if (job.m_state == JobState::Unschedulable) {
            m_unschedulable.insert(id);
        } else if (!isTerminal(job.m_state)) {
            entry.m_phase = AttemptPhase::Reconciling;
            if (entry.m_record.m_reserved == Resources()) {
                // Journal rows of older versions do not store the reservation.
                entry.m_record.m_reserved = job.m_spec.m_demand;
            }
            m_workers.findOrAdd(job.m_worker).reserveUnchecked(id, job.m_spec.m_class, entry.m_record.m_reserved);
        }
    }
}

auto ShardScheduler::handle(const ShardEvent &event, TimePoint now, RandomSource &random, ShardCommands &commands) -> void
{
    // One handler for each alternative of ShardEvent, in the same order.
    static constexpr auto table = []<std::size_t... Index>(std::index_sequence<Index...>) {
        return std::array<void (*)(ShardScheduler &, const ShardEvent &, const CallContext &), sizeof...(Index)>{
            [](ShardScheduler &scheduler, const ShardEvent &any, const CallContext &context) {
                using Event = std::variant_alternative_t<Index, ShardEvent>;
                constexpr void (ShardScheduler::*member)(const Event &, const CallContext &) = &ShardScheduler::onEvent;
                (scheduler.*member)(*std::get_if<Index>(&any), context);
            }...};
    }(std::make_index_sequence<std::variant_size_v<ShardEvent>>());
    if (!m_fenced) {
        table[event.index()](*this, event, CallContext{.m_now = now, .m_random = random, .m_commands = commands});
    }
}

auto ShardScheduler::tick(TimePoint now, RandomSource &random, ShardCommands &commands) -> void
{
    if (m_fenced) {
        return;
    }
    const CallContext context{.m_now = now, .m_random = random, .m_commands = commands};
    m_lastTick = now;
    repeatOrders(context);
    std::vector<std::string> unlisted;
    for (auto &[name, worker] : m_workers.workers()) {
        tickWorker(worker, context);
        if (!worker.m_listed) {
            unlisted.push_back(name);
        }
    }
    for (const auto &name : unlisted) {
        m_workers.removeIfGone(name);
    }
    placeQueuedJobs(context);
    m_jobs.trimEnded(m_settings.m_maxEndedJobs, [this](std::string_view id) {
        return m_journal.isPending(id);
    });
    if (m_writesPaused) {
        return;
    }
    m_journal.tick(
        [this](std::string_view id) -> const JobRecord & {
            return m_jobs.at(id).m_record;
        },
        now,
        random,
        commands);
    m_snapshots.tick(
        m_journal.lastSequence(),
        [this] {
            return m_jobs.records();
        },
        now,
        random,
        commands);
}

auto ShardScheduler::abandon(ShardCommands &commands) -> void
{
    m_fenced = true;
    for (const auto &change : m_journal.takeAll()) {
        for (const auto &effect : change.m_effects) {
            if (effect.m_kind == DurableEffect::Kind::Answer) {
                commands.emplace_back(AnswerRequest{.m_ticket = effect.m_ticket, .m_result = failure(ErrorCode::NotOwner, "the shard has another owner")});
            }
        }
    }
}

auto ShardScheduler::beginDrain() noexcept -> void
{
    m_draining = true;
}

auto ShardScheduler::deadline() const noexcept -> TimePoint
{
    if (m_fenced) {
        return TimePoint::max();
    }
    TimePoint earliest = m_jobs.deadline();
    if (!m_writesPaused) {
        earliest = std::min({earliest, m_journal.deadline(), m_snapshots.deadline(m_journal.lastSequence())});
    }
    for (const auto &[name, worker] : m_workers.workers()) {
        earliest = std::min(earliest, worker.deadline());
    }
    if (mayPlace()) {
        earliest = std::min(earliest, m_lastTick + m_settings.m_tick);
    }
    return earliest;
}

auto ShardScheduler::onEvent(const JobSubmitted &event, const CallContext &context) -> void
{
    JobEntry *const known = m_jobs.find(event.m_job);
    if (known == nullptr) {
        acceptJob(event, context);
    } else if (known->m_record.m_job.m_spec != event.m_spec) {
        answerError(event.m_ticket, ErrorCode::IdempotencyConflict, "the key was already used for another job", context);
    } else {
        answer(event.m_ticket, *known, context);
    }
}

auto ShardScheduler::acceptJob(const JobSubmitted &event, const CallContext &context) -> void
{
    if (!event.m_spec.m_demand.isValid()) {
        answerError(event.m_ticket, ErrorCode::BadRequest, "a demand is negative", context);
        return;
    }
    if (m_journal.pendingChanges() >= m_settings.m_maxPendingChanges) {
        ++m_counters.m_refusals;
        answerError(event.m_ticket, ErrorCode::Overloaded, "too many changes wait for the table service", context);
        return;
    }
    ++m_counters.m_submissions;
    JobRecord record;
    record.m_job.m_id = event.m_job;
    record.m_job.m_spec = event.m_spec;
    record.m_submission = ++m_lastSubmission;
    JobEntry &entry = m_jobs.put(record);
    enqueue(entry);
    logJob("job_accepted", entry);
    recordChange(entry, {.m_kind = DurableEffect::Kind::Answer, .m_ticket = event.m_ticket, .m_attempt = 0, .m_worker = {}}, context);
}

auto ShardScheduler::answer(const EntryTicket &ticket, const JobEntry &entry, const CallContext &context) -> void
{
    const Job &job = entry.m_record.m_job;
    if (!m_journal.isPending(job.m_id)) {
        context.m_commands.emplace_back(AnswerRequest{.m_ticket = ticket, .m_result = job});
        return;
    }
    if (m_journal.pendingEffects() >= 2 * m_settings.m_maxPendingChanges) {
        answerError(ticket, ErrorCode::Unavailable, "too many answers wait for the table service", context);
        return;
    }
    // The answer would contain a change that is not durable yet.
    m_journal.recordChange(job.m_id, {.m_kind = DurableEffect::Kind::Answer, .m_ticket = ticket, .m_attempt = 0, .m_worker = {}}, context.m_now);
}

auto ShardScheduler::answerError(const EntryTicket &ticket, ErrorCode code, std::string message, const CallContext &context) -> void
{
    context.m_commands.emplace_back(AnswerRequest{.m_ticket = ticket, .m_result = failure(code, std::move(message))});
}

auto ShardScheduler::onEvent(const CancelRequested &event, const CallContext &context) -> void
{
    JobEntry *const entry = m_jobs.find(event.m_job);
    if (entry == nullptr) {
        answerError(event.m_ticket, ErrorCode::UnknownJob, "no job has this id", context);
        return;
    }
    if (!isTerminal(entry->m_record.m_job.m_state) && !entry->m_record.m_cancelRequested) {
        cancelJob(*entry, context);
    }
    answer(event.m_ticket, *entry, context);
}

auto ShardScheduler::onEvent(const JobQueried &event, const CallContext &context) -> void
{
    const JobEntry *const entry = m_jobs.find(event.m_job);
    if (entry == nullptr) {
        answerError(event.m_ticket, ErrorCode::UnknownJob, "no job has this id", context);
    } else if (isTerminal(entry->m_record.m_job.m_state)) {
        // After a takeover, a terminal state that is not durable could be replaced by another one.
        answer(event.m_ticket, *entry, context);
    } else {
        context.m_commands.emplace_back(AnswerRequest{.m_ticket = event.m_ticket, .m_result = entry->m_record.m_job});
    }
}

auto ShardScheduler::cancelJob(JobEntry &entry, const CallContext &context) -> void
{
    entry.m_record.m_cancelRequested = true;
    recordChange(entry, context);
    if (entry.m_phase == AttemptPhase::None) {
        finishJob(entry, JobState::Cancelled, "cancelled by the caller", context);
    } else if (entry.m_phase == AttemptPhase::Assigning) {
        // The start was not sent, so there is nothing to stop on the worker.
        endAttempt(entry, context);
        finishJob(entry, JobState::Cancelled, "cancelled by the caller", context);
    } else if (entry.m_phase != AttemptPhase::Stopping) {
        beginStop(entry, context);
    }
}

auto ShardScheduler::onEvent(const WorkersListed &event, const CallContext &context) -> void
{
    m_workers.update(event.m_workers, context.m_now);
    for (auto &[name, worker] : m_workers.workers()) {
        if (worker.isLeaving()) {
            evictAll(worker, context);
        }
    }
    retryUnschedulable(context);
}

auto ShardScheduler::onEvent(const PolicyChanged &event, const CallContext &context) -> void
{
    m_workers.setReservation(event.m_reservation);
    m_acceptBatch = event.m_acceptBatch;
    retryUnschedulable(context);
}

auto ShardScheduler::retryUnschedulable(const CallContext &context) -> void
{
    m_queue.rewind();
    for (const auto &id : std::exchange(m_unschedulable, {})) {
        JobEntry &entry = *m_jobs.find(id);
        const Job before = entry.m_record.m_job;
        enqueue(entry);
        if (entry.m_record.m_job != before) {
            recordChange(entry, context);
        }
    }
}

auto ShardScheduler::enqueue(JobEntry &entry) -> void
{
    Job &job = entry.m_record.m_job;
    if (m_workers.canEverHold(job.m_spec.m_demand)) {
        job.m_reason.clear();
        m_jobs.setState(entry, JobState::Queued);
        m_queue.insert(entry.m_record);
        return;
    }
    // While no worker is listed, the capacity of the shard is unknown.
    const bool isKnown = m_workers.hasListedWorker();
    job.m_reason = isKnown ? "no listed worker of the shard has the demanded capacity" : "no worker of the shard is listed";
    m_jobs.setState(entry, isKnown ? JobState::Unschedulable : JobState::Queued);
    m_unschedulable.insert(job.m_id);
}

auto ShardScheduler::finishJob(JobEntry &entry, JobState state, std::string_view reason, const CallContext &context) -> void
{
    m_queue.erase(entry.m_record);
    m_unschedulable.erase(entry.m_record.m_job.m_id);
    m_jobs.setState(entry, state);
    entry.m_record.m_job.m_reason = reason;
    recordChange(entry, context);
    logJob("job_ended", entry);
}

auto ShardScheduler::logJob(std::string_view event, const JobEntry &entry) const -> void
{
    const Job &job = entry.m_record.m_job;
    logEvent(LogLevel::Info,
             event,
             {{"job", job.m_id},
              {"attempt", job.m_attempt},
              {"state", jobStateName(job.m_state)},
              {"worker", job.m_worker},
              {"shard", m_term.m_shard},
              {"epoch", m_term.m_epoch}});
}

auto ShardScheduler::mayPlace() const noexcept -> bool
{
    return !m_draining && !m_queue.isScanned() && m_journal.pendingChanges() < m_settings.m_maxPendingChanges;
}

auto ShardScheduler::placeQueuedJobs(const CallContext &context) -> void
{
    if (!mayPlace()) {
        return;
    }
    std::vector<Resources> tooLarge;
    const Resources largest = m_workers.largestCapacity();
    for (const auto &id : m_queue.scan(m_settings.m_scanLimit)) {
        placeJob(*m_jobs.find(id), largest, tooLarge, context);
    }
}

auto ShardScheduler::placeJob(JobEntry &entry, const Resources &largest, std::vector<Resources> &tooLarge, const CallContext &context) -> void
{
    constexpr std::size_t rememberedDemands = 8;
    const JobSpec &spec = entry.m_record.m_job.m_spec;
    if (spec.m_kind == JobKind::Batch && !m_acceptBatch) {
        return;
    }
    const Resources reserved = reservationFor(spec, largest);
    // Skips the search when a demand of at most this size fitted on no worker in this pass.
    const bool isKnownTooLarge = std::ranges::any_of(tooLarge, [&](const Resources &demand) {
        return demand.fitsInto(reserved);
    });
    if (isKnownTooLarge) {
        return;
    }
    m_workers.findCandidates(reserved, context.m_now, m_candidates);
    if (m_candidates.empty()) {
        if (tooLarge.size() < rememberedDemands) {
            tooLarge.push_back(reserved);
        }
        return;
    }
    if (const auto chosen = m_policy.choose(spec, m_candidates, context.m_random)) {
        assign(entry, m_workers.findOrAdd(m_candidates[*chosen].m_worker->m_name), reserved, context);
    }
}

auto ShardScheduler::reservationFor(const JobSpec &spec, const Resources &largest) const -> Resources
{
    const Resources estimate = m_sizes.reservationFor(spec, largest);
    // The largest amounts may belong to different workers; then only the declared demand is known to fit on a single one.
    return estimate == spec.m_demand || m_workers.canEverHold(estimate) ? estimate : spec.m_demand;
}

auto ShardScheduler::assign(JobEntry &entry, Worker &worker, const Resources &reserved, const CallContext &context) -> void
{
    Job &job = entry.m_record.m_job;
    requireInvariant(entry.m_phase == AttemptPhase::None && job.m_state == JobState::Queued, "one_current_attempt", job.m_id);
    requireInvariant(job.m_attempt >= entry.m_durableAttempt, "attempt_numbers_grow", job.m_id);
    requireInvariant(!worker.isLeaving(), "no_assignment_to_a_leaving_worker", job.m_id);
    worker.reserve(job.m_id, job.m_spec.m_class, reserved, m_workers.reservation());
    m_queue.erase(entry.m_record);
    ++job.m_attempt;
    job.m_worker = worker.m_name;
    m_jobs.setState(entry, JobState::Assigned);
    entry.m_phase = AttemptPhase::Assigning;
    entry.m_startsSent = 0;
    entry.m_record.m_reserved = reserved;
    entry.m_peakUsage = Resources();
    const DurableEffect start{.m_kind = DurableEffect::Kind::Start, .m_ticket = {}, .m_attempt = job.m_attempt, .m_worker = {}};
    recordChange(entry, start, context);
    if (!m_settings.m_guards.m_writeAhead) {
        applyStart(entry, start, context);
    }
}

auto ShardScheduler::recordChange(JobEntry &entry, const CallContext &context) -> void
{
    m_journal.recordChange(entry.m_record.m_job.m_id, context.m_now);
}

auto ShardScheduler::recordChange(JobEntry &entry, DurableEffect effect, const CallContext &context) -> void
{
    m_journal.recordChange(entry.m_record.m_job.m_id, std::move(effect), context.m_now);
}
}

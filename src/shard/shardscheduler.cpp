#include "burdockspur/shard/shardscheduler.hpp"

#include "burdockspur/core/invariant.hpp"
#include "burdockspur/operations/log.hpp"

#include <algorithm>
#include <utility>

namespace Burdockspur
{
ShardScheduler::ShardScheduler(ShardTenure tenure, const ShardSettings &settings, const PlacementPolicy &policy)
    : m_tenure(std::move(tenure))
    , m_settings(settings)
    , m_policy(policy)
    , m_workers(settings, m_tenure.m_since)
    , m_journal(m_tenure.m_shard, m_tenure.m_host, settings, m_tenure.m_epochVersion)
    , m_snapshots(m_tenure.m_shard, m_tenure.m_epoch, m_tenure.m_host, settings, m_tenure.m_epochVersion)
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
                // Rows that were written before reservations became durable.
                entry.m_record.m_reserved = job.m_spec.m_demand;
            }
            m_workers.at(job.m_worker).adopt(id, job.m_spec.m_class, entry.m_record.m_reserved);
        }
    }
}

auto ShardScheduler::handle(const ShardEvent &event, TimePoint now, RandomSource &random, ShardCommands &commands) -> void
{
    // One entry for each alternative of ShardEvent, in its order.
    static constexpr auto table = []<std::size_t... Index>(std::index_sequence<Index...>) {
        return std::array<void (*)(ShardScheduler &, const ShardEvent &, const Turn &), sizeof...(Index)>{
            [](ShardScheduler &scheduler, const ShardEvent &any, const Turn &turn) {
                using Event = std::variant_alternative_t<Index, ShardEvent>;
                constexpr void (ShardScheduler::*member)(const Event &, const Turn &) = &ShardScheduler::onEvent;
                (scheduler.*member)(*std::get_if<Index>(&any), turn);
            }...};
    }(std::make_index_sequence<std::variant_size_v<ShardEvent>>());
    if (!m_fenced) {
        table[event.index()](*this, event, Turn{.m_now = now, .m_random = random, .m_commands = commands});
    }
}

auto ShardScheduler::tick(TimePoint now, RandomSource &random, ShardCommands &commands) -> void
{
    if (m_fenced) {
        return;
    }
    const Turn turn{.m_now = now, .m_random = random, .m_commands = commands};
    m_lastTick = now;
    repeatOrders(turn);
    std::vector<std::string> unlisted;
    for (auto &[name, worker] : m_workers.workers()) {
        tickWorker(worker, turn);
        if (!worker.m_listed) {
            unlisted.push_back(name);
        }
    }
    for (const auto &name : unlisted) {
        m_workers.removeIfGone(name);
    }
    place(turn);
    m_jobs.trimEnded(m_settings.m_maxEndedJobs, [this](std::string_view id) {
        return m_journal.isWaiting(id);
    });
    if (m_writesHeld) {
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
    if (!m_writesHeld) {
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

auto ShardScheduler::onEvent(const JobSubmitted &event, const Turn &turn) -> void
{
    JobEntry *const known = m_jobs.find(event.m_job);
    if (known == nullptr) {
        accept(event, turn);
    } else if (known->m_record.m_job.m_spec != event.m_spec) {
        answerError(event.m_ticket, ErrorCode::IdempotencyConflict, "the key was used for another job", turn);
    } else {
        answer(event.m_ticket, *known, turn);
    }
}

auto ShardScheduler::accept(const JobSubmitted &event, const Turn &turn) -> void
{
    if (!event.m_spec.m_demand.isValid()) {
        answerError(event.m_ticket, ErrorCode::BadRequest, "a demand is negative", turn);
        return;
    }
    if (m_journal.waiting() >= m_settings.m_maxWaitingChanges) {
        ++m_counters.m_refusals;
        answerError(event.m_ticket, ErrorCode::Overloaded, "too many changes wait for the table service", turn);
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
    change(entry, {.m_kind = DurableEffect::Kind::Answer, .m_ticket = event.m_ticket, .m_attempt = 0, .m_worker = {}}, turn);
}

auto ShardScheduler::answer(const EntryTicket &ticket, const JobEntry &entry, const Turn &turn) -> void
{
    const Job &job = entry.m_record.m_job;
    if (!m_journal.isWaiting(job.m_id)) {
        turn.m_commands.emplace_back(AnswerRequest{.m_ticket = ticket, .m_result = job});
        return;
    }
    if (m_journal.waitingEffects() >= 2 * m_settings.m_maxWaitingChanges) {
        answerError(ticket, ErrorCode::Unavailable, "too many answers wait for the table service", turn);
        return;
    }
    // What the caller would learn is not durable yet.
    m_journal.change(job.m_id, {.m_kind = DurableEffect::Kind::Answer, .m_ticket = ticket, .m_attempt = 0, .m_worker = {}}, turn.m_now);
}

auto ShardScheduler::answerError(const EntryTicket &ticket, ErrorCode code, std::string message, const Turn &turn) -> void
{
    turn.m_commands.emplace_back(AnswerRequest{.m_ticket = ticket, .m_result = failure(code, std::move(message))});
}

auto ShardScheduler::onEvent(const CancelRequested &event, const Turn &turn) -> void
{
    JobEntry *const entry = m_jobs.find(event.m_job);
    if (entry == nullptr) {
        answerError(event.m_ticket, ErrorCode::UnknownJob, "no job has this id", turn);
        return;
    }
    if (!isTerminal(entry->m_record.m_job.m_state) && !entry->m_record.m_cancelRequested) {
        cancel(*entry, turn);
    }
    answer(event.m_ticket, *entry, turn);
}

auto ShardScheduler::onEvent(const JobQueried &event, const Turn &turn) -> void
{
    const JobEntry *const entry = m_jobs.find(event.m_job);
    if (entry == nullptr) {
        answerError(event.m_ticket, ErrorCode::UnknownJob, "no job has this id", turn);
    } else if (isTerminal(entry->m_record.m_job.m_state)) {
        // An end that is not durable could still be replaced by another one after a takeover.
        answer(event.m_ticket, *entry, turn);
    } else {
        turn.m_commands.emplace_back(AnswerRequest{.m_ticket = event.m_ticket, .m_result = entry->m_record.m_job});
    }
}

auto ShardScheduler::cancel(JobEntry &entry, const Turn &turn) -> void
{
    entry.m_record.m_cancelRequested = true;
    change(entry, turn);
    if (entry.m_phase == AttemptPhase::None) {
        finish(entry, JobState::Cancelled, "cancelled by the caller", turn);
    } else if (entry.m_phase == AttemptPhase::Assigning) {
        // The start was never sent and never will be.
        endAttempt(entry, turn);
        finish(entry, JobState::Cancelled, "cancelled by the caller", turn);
    } else if (entry.m_phase != AttemptPhase::Stopping) {
        beginStop(entry, turn);
    }
}

auto ShardScheduler::onEvent(const WorkersListed &event, const Turn &turn) -> void
{
    m_workers.update(event.m_workers, turn.m_now);
    for (auto &[name, worker] : m_workers.workers()) {
        if (worker.isLeaving()) {
            evictAll(worker, turn);
        }
    }
    reviewUnschedulable(turn);
}

auto ShardScheduler::onEvent(const PolicyChanged &event, const Turn &turn) -> void
{
    m_workers.setReservation(event.m_reservation);
    m_acceptBatch = event.m_acceptBatch;
    reviewUnschedulable(turn);
}

auto ShardScheduler::reviewUnschedulable(const Turn &turn) -> void
{
    m_queue.rewind();
    for (const auto &id : std::exchange(m_unschedulable, {})) {
        JobEntry &entry = *m_jobs.find(id);
        const Job before = entry.m_record.m_job;
        enqueue(entry);
        if (entry.m_record.m_job != before) {
            change(entry, turn);
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
    // Without any listed worker, nothing is known about the capacity that the shard will have.
    const bool isKnown = m_workers.hasListed();
    job.m_reason = isKnown ? "no listed worker of the shard has the demanded capacity" : "no worker of the shard is listed";
    m_jobs.setState(entry, isKnown ? JobState::Unschedulable : JobState::Queued);
    m_unschedulable.insert(job.m_id);
}

auto ShardScheduler::finish(JobEntry &entry, JobState state, std::string_view reason, const Turn &turn) -> void
{
    m_queue.erase(entry.m_record);
    m_unschedulable.erase(entry.m_record.m_job.m_id);
    m_jobs.setState(entry, state);
    entry.m_record.m_job.m_reason = reason;
    change(entry, turn);
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
              {"shard", m_tenure.m_shard},
              {"epoch", m_tenure.m_epoch}});
}

auto ShardScheduler::mayPlace() const noexcept -> bool
{
    return !m_draining && !m_queue.isScanned() && m_journal.waiting() < m_settings.m_maxWaitingChanges;
}

auto ShardScheduler::place(const Turn &turn) -> void
{
    if (!mayPlace()) {
        return;
    }
    std::vector<Resources> tooLarge;
    const Resources largest = m_workers.largestCapacity();
    for (const auto &id : m_queue.scan(m_settings.m_scanLimit)) {
        placeJob(*m_jobs.find(id), largest, tooLarge, turn);
    }
}

auto ShardScheduler::placeJob(JobEntry &entry, const Resources &largest, std::vector<Resources> &tooLarge, const Turn &turn) -> void
{
    constexpr std::size_t rememberedDemands = 8;
    const JobSpec &spec = entry.m_record.m_job.m_spec;
    if (spec.m_kind == JobKind::Batch && !m_acceptBatch) {
        return;
    }
    const Resources reserved = reservationFor(spec, largest);
    // A demand that contains one which fitted nowhere in this pass fits nowhere either.
    const bool known = std::ranges::any_of(tooLarge, [&](const Resources &demand) {
        return demand.fitsInto(reserved);
    });
    if (known) {
        return;
    }
    m_workers.candidatesFor(reserved, turn.m_now, m_candidates);
    if (m_candidates.empty()) {
        if (tooLarge.size() < rememberedDemands) {
            tooLarge.push_back(reserved);
        }
        return;
    }
    if (const auto chosen = m_policy.choose(spec, m_candidates, turn.m_random)) {
        assign(entry, m_workers.at(m_candidates[*chosen].m_worker->m_name), reserved, turn);
    }
}

auto ShardScheduler::reservationFor(const JobSpec &spec, const Resources &largest) const -> Resources
{
    const Resources estimate = m_sizes.reservationFor(spec, largest);
    // The largest amounts may be of different workers; then only the declared size is known to fit on one.
    return estimate == spec.m_demand || m_workers.canEverHold(estimate) ? estimate : spec.m_demand;
}

auto ShardScheduler::assign(JobEntry &entry, Worker &worker, const Resources &reserved, const Turn &turn) -> void
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
    entry.m_sends = 0;
    entry.m_record.m_reserved = reserved;
    entry.m_peak = Resources();
    const DurableEffect start{.m_kind = DurableEffect::Kind::Start, .m_ticket = {}, .m_attempt = job.m_attempt, .m_worker = {}};
    change(entry, start, turn);
    if (!m_settings.m_guards.m_writeAhead) {
        effectStart(entry, start, turn);
    }
}

auto ShardScheduler::change(JobEntry &entry, const Turn &turn) -> void
{
    m_journal.change(entry.m_record.m_job.m_id, turn.m_now);
}

auto ShardScheduler::change(JobEntry &entry, DurableEffect effect, const Turn &turn) -> void
{
    m_journal.change(entry.m_record.m_job.m_id, std::move(effect), turn.m_now);
}
}

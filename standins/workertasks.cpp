#include "standins/workertasks.hpp"

#include "standins/workeraudit.hpp"
#include "standins/workerfaults.hpp"
#include "standins/workerspec.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <vector>

namespace Burdockspur::Standins
{
namespace
{
constexpr std::int64_t fullPercent = 100;
// An owner answers the latest report that it received, and a new report follows about once a second, so 16 reports
// cover every one that can still grant a lease of 15 s.
constexpr std::size_t answerableReports = 16;

/// @brief Parses the progress after the last dash of a checkpoint's name; 0 when there is none.
[[nodiscard]] auto checkpointPercent(std::string_view checkpoint) -> std::int64_t
{
    const auto dash = checkpoint.rfind('-');
    if (dash == std::string_view::npos) {
        return 0;
    }
    const auto digits = checkpoint.substr(dash + 1);
    std::int64_t percent = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), percent);
    if (parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size()) {
        return 0;
    }
    return std::clamp<std::int64_t>(percent, 0, fullPercent);
}

[[nodiscard]] auto scaled(const Resources &amounts, double factor) -> Resources
{
    return {std::llround(static_cast<double>(amounts.m_cpuMillis) * factor),
            std::llround(static_cast<double>(amounts.m_memoryMb) * factor),
            amounts.m_accelerators};
}

[[nodiscard]] auto milliseconds(double value) -> Duration
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
}
}

WorkerTasks::WorkerTasks(const WorkerSpec &spec, const WorkerFaults &faults, WorkerAudit &audit)
    : m_spec(spec)
    , m_faults(faults)
    , m_audit(audit)
{
}

auto WorkerTasks::advance(TimePoint now) -> void
{
    std::vector<DueTask> due;
    for (const auto &[name, task] : m_running) {
        if (const auto [time, lapsed] = dueTime(task); time <= now) {
            due.push_back({time, name, lapsed});
        }
    }
    std::ranges::stable_sort(due, {}, &DueTask::m_time);
    for (const auto &entry : due) {
        const auto position = m_running.find(entry.m_task);
        if (entry.m_lapsed) {
            end(position, entry.m_time, AttemptState::Stopped, "lapsed");
        } else if (position->second.m_fails) {
            end(position, entry.m_time, AttemptState::Failed, "failed");
        } else {
            end(position, entry.m_time, AttemptState::Completed, "completed");
        }
    }
    removeExpired(now);
}

auto WorkerTasks::nextEvent() const -> std::optional<TimePoint>
{
    std::optional<TimePoint> next;
    for (const auto &[name, task] : m_running) {
        const auto time = dueTime(task).first;
        if (!next || time < *next) {
            next = time;
        }
    }
    return next;
}

auto WorkerTasks::setIncarnation(std::string_view incarnation) -> void
{
    m_incarnation = incarnation;
}

auto WorkerTasks::renewLease(TimePoint now, const LeaseRenewal &renewal) -> std::expected<LeaseReport, Epoch>
{
    if (!fence(renewal.m_shard, renewal.m_epoch)) {
        return std::unexpected(m_leases[renewal.m_shard].m_epoch);
    }
    auto &lease = m_leases[renewal.m_shard];
    for (const auto &attempt : renewal.m_acknowledged) {
        const auto position = m_ended.find({attempt.m_job, attempt.m_number});
        if (position != m_ended.end() && !position->second.m_acknowledged) {
            position->second.m_acknowledged = true;
            m_expiringAttempts.emplace_back(now, position->first);
        }
    }
    LeaseReport report;
    report.m_epoch = renewal.m_epoch;
    report.m_granted = grant(lease, renewal, now);
    report.m_report = nextReport(lease, now);
    for (const auto &[name, task] : m_running) {
        if (task.m_shard == renewal.m_shard) {
            report.m_attempts.push_back(reportOf(name, task, now));
        }
    }
    for (const auto &[key, attempt] : m_ended) {
        if (attempt.m_shard == renewal.m_shard && !attempt.m_acknowledged) {
            report.m_attempts.push_back(attempt.m_report);
        }
    }
    const auto lag = milliseconds(m_faults.m_usageLagMs.m_value);
    report.m_usage = usageAt(now - lag);
    report.m_usageLag = std::chrono::duration_cast<Milliseconds>(lag);
    report.m_leaving = m_faults.m_leaving.isOn();
    return report;
}

auto WorkerTasks::start(TimePoint now, const StartOrder &order) -> OrderAnswer
{
    const auto &[name, number] = order.m_attempt;
    const auto lease = m_leases.find(order.m_shard);
    if (lease != m_leases.end() && order.m_epoch < lease->second.m_epoch) {
        return OrderAnswer::StaleEpoch;
    }
    const auto running = m_running.find(name);
    if (running != m_running.end()) {
        return running->second.m_attempt == number ? OrderAnswer::AlreadyKnown : OrderAnswer::Superseded;
    }
    if (const auto *const latest = latestEnded(name); latest != nullptr && latest->m_report.m_attempt.m_number >= number) {
        if (latest->m_report.m_attempt.m_number > number) {
            return OrderAnswer::Superseded;
        }
        return latest->m_acknowledged ? OrderAnswer::Tombstoned : OrderAnswer::AlreadyKnown;
    }
    if (lease == m_leases.end() || lease->second.m_granted != order.m_epoch || lease->second.m_expiry <= now) {
        return OrderAnswer::NoLease;
    }
    const auto &spec = order.m_spec;
    if (number == 0 || !spec.m_demand.isValid() || spec.m_durationMs < 0) {
        return OrderAnswer::BadOrder;
    }
    if (m_faults.m_leaving.isOn()) {
        return OrderAnswer::Leaving;
    }
    auto free = m_spec.m_capacity;
    free -= m_assigned;
    if (!spec.m_demand.fitsInto(free)) {
        return OrderAnswer::NoCapacity;
    }

    RunningTask task;
    task.m_attempt = number;
    task.m_shard = order.m_shard;
    task.m_kind = spec.m_kind;
    task.m_class = spec.m_class;
    task.m_demand = spec.m_demand;
    task.m_usage = scaled(spec.m_demand, m_faults.m_usageFactor.factor());
    task.m_checkpoint = order.m_checkpoint;
    task.m_result = hexOf(hashOf(spec.m_payload));
    task.m_fails = m_faults.m_failAllTasks.isOn() || spec.m_payload.starts_with("fail");
    task.m_work = milliseconds(static_cast<double>(spec.m_durationMs) * m_faults.m_durationFactor.factor());
    task.m_done = task.m_work * checkpointPercent(order.m_checkpoint) / fullPercent;
    if (m_faults.m_failAllTasks.isOn()) {
        task.m_kind = JobKind::Batch;
        task.m_work = Duration{0};
        task.m_done = Duration{0};
    }
    task.m_since = now;
    task.m_started = now;
    m_assigned += task.m_demand;
    m_running.emplace(name, std::move(task));
    m_audit.taskStarted(now, {name, number, order.m_shard, order.m_epoch}, m_faults.m_leaving.isOn());
    recordUsage(now);
    return OrderAnswer::Done;
}

auto WorkerTasks::stop(TimePoint now, const AttemptOrder &order) -> std::expected<AttemptReport, OrderAnswer>
{
    if (!fence(order.m_shard, order.m_epoch)) {
        return std::unexpected(OrderAnswer::StaleEpoch);
    }
    const AttemptKey key{order.m_attempt.m_job, order.m_attempt.m_number};
    if (const auto running = findRunning(order.m_attempt); running != m_running.end()) {
        end(running, now, AttemptState::Stopped, "stopped");
    }
    if (const auto ended = m_ended.find(key); ended != m_ended.end()) {
        return ended->second.m_report;
    }
    EndedAttempt tombstone;
    tombstone.m_report.m_attempt = order.m_attempt;
    tombstone.m_report.m_state = AttemptState::NeverStarted;
    tombstone.m_shard = order.m_shard;
    tombstone.m_acknowledged = true;
    tombstone.m_ended = now;
    m_expiringAttempts.emplace_back(now, key);
    m_audit.taskTombstoned(now, {order.m_attempt.m_job, order.m_attempt.m_number, order.m_shard, order.m_epoch});
    return m_ended.emplace(key, std::move(tombstone)).first->second.m_report;
}

auto WorkerTasks::checkpoint(TimePoint now, const AttemptOrder &order) -> std::expected<std::string, OrderAnswer>
{
    if (!fence(order.m_shard, order.m_epoch)) {
        return std::unexpected(OrderAnswer::StaleEpoch);
    }
    const auto running = findRunning(order.m_attempt);
    if (running == m_running.end()) {
        return std::unexpected(OrderAnswer::UnknownAttempt);
    }
    auto &task = running->second;
    task.m_checkpoint = order.m_attempt.m_job;
    task.m_checkpoint.append("-").append(std::to_string(task.m_attempt)).append("-").append(std::to_string(percentAt(task, now)));
    return task.m_checkpoint;
}

auto WorkerTasks::throttle(TimePoint now, const AttemptOrder &order, std::int64_t sharePercent) -> OrderAnswer
{
    if (!fence(order.m_shard, order.m_epoch)) {
        return OrderAnswer::StaleEpoch;
    }
    if (sharePercent < 1 || sharePercent > fullPercent) {
        return OrderAnswer::BadOrder;
    }
    const auto running = findRunning(order.m_attempt);
    if (running == m_running.end()) {
        return OrderAnswer::UnknownAttempt;
    }
    auto &task = running->second;
    task.m_done = doneAt(task, now);
    task.m_since = now;
    task.m_sharePercent = sharePercent;
    recordUsage(now);
    return OrderAnswer::Done;
}

auto WorkerTasks::postpone(Duration pause) -> void
{
    for (auto &[name, task] : m_running) {
        task.m_since += pause;
    }
}

auto WorkerTasks::crash(TimePoint now) -> void
{
    for (const auto &[name, task] : m_running) {
        m_audit.taskEnded(now, {name, task.m_attempt, task.m_shard, m_leases[task.m_shard].m_epoch}, "crashed");
    }
    m_leases.clear();
    m_running.clear();
    m_ended.clear();
    m_expiringAttempts.clear();
    m_usageHistory.clear();
    m_assigned = {};
}

auto WorkerTasks::runsBatchOf(std::string_view taskClass) const -> bool
{
    return std::ranges::any_of(m_running, [taskClass](const auto &entry) {
        return entry.second.m_kind == JobKind::Batch && (taskClass.empty() || entry.second.m_class == taskClass);
    });
}

auto WorkerTasks::dueTime(const RunningTask &task) const -> std::pair<TimePoint, bool>
{
    const auto lapse = m_leases.at(task.m_shard).m_expiry;
    if (task.m_kind == JobKind::Watcher) {
        return {lapse, true};
    }
    const auto left = (task.m_work - task.m_done) * fullPercent / task.m_sharePercent;
    const auto finish = task.m_since + std::max(left, Duration{0});
    return finish < lapse ? std::pair{finish, false} : std::pair{lapse, true};
}

auto WorkerTasks::doneAt(const RunningTask &task, TimePoint now) const -> Duration
{
    return task.m_done + (now - task.m_since) * task.m_sharePercent / fullPercent;
}

auto WorkerTasks::percentAt(const RunningTask &task, TimePoint now) const -> std::int64_t
{
    if (task.m_kind == JobKind::Watcher || task.m_work <= Duration{0}) {
        return 0;
    }
    return std::clamp<std::int64_t>(doneAt(task, now) * fullPercent / task.m_work, 0, fullPercent);
}

auto WorkerTasks::fence(ShardId shard, Epoch epoch) -> bool
{
    auto &lease = m_leases[shard];
    if (epoch < lease.m_epoch) {
        return false;
    }
    lease.m_epoch = epoch;
    return true;
}

auto WorkerTasks::answeredReport(const ShardLease &lease, const LeaseRenewal &renewal) const -> const SentReport *
{
    if (!renewal.m_answeredReport || renewal.m_answeredReport->m_incarnation != m_incarnation) {
        return nullptr;
    }
    const auto sent = std::ranges::find(lease.m_reports, renewal.m_answeredReport->m_number, &SentReport::m_number);
    return sent == lease.m_reports.end() || sent->m_epoch != renewal.m_epoch ? nullptr : &*sent;
}

auto WorkerTasks::grant(ShardLease &lease, const LeaseRenewal &renewal, TimePoint now) const -> bool
{
    const auto *const answered = answeredReport(lease, renewal);
    if (answered == nullptr || answered->m_sent + renewal.m_ttl <= now) {
        return false;
    }
    lease.m_granted = renewal.m_epoch;
    lease.m_expiry = std::max(lease.m_expiry, answered->m_sent + renewal.m_ttl);
    return true;
}

auto WorkerTasks::nextReport(ShardLease &lease, TimePoint now) const -> ReportId
{
    lease.m_reports.push_back({.m_number = ++lease.m_lastReport, .m_epoch = lease.m_epoch, .m_sent = now});
    if (lease.m_reports.size() > answerableReports) {
        lease.m_reports.pop_front();
    }
    return {.m_incarnation = m_incarnation, .m_number = lease.m_lastReport};
}

auto WorkerTasks::findRunning(const AttemptId &attempt) -> Running::iterator
{
    const auto position = m_running.find(attempt.m_job);
    return position != m_running.end() && position->second.m_attempt == attempt.m_number ? position : m_running.end();
}

auto WorkerTasks::latestEnded(std::string_view task) const -> const EndedAttempt *
{
    auto position = m_ended.lower_bound({std::string(task), std::numeric_limits<AttemptNumber>::max()});
    if (position != m_ended.end() && position->first.first == task) {
        return &position->second;
    }
    if (position == m_ended.begin()) {
        return nullptr;
    }
    --position;
    return position->first.first == task ? &position->second : nullptr;
}

auto WorkerTasks::reportOf(std::string_view name, const RunningTask &task, TimePoint now) const -> AttemptReport
{
    AttemptReport report;
    report.m_attempt = {std::string(name), task.m_attempt};
    report.m_progressPercent = percentAt(task, now);
    report.m_checkpoint = task.m_checkpoint;
    if (task.m_started <= now - milliseconds(m_faults.m_usageLagMs.m_value)) {
        report.m_usage = task.m_usage;
        report.m_usage.m_cpuMillis = report.m_usage.m_cpuMillis * task.m_sharePercent / fullPercent;
    }
    return report;
}

auto WorkerTasks::usageAt(TimePoint time) const -> Resources
{
    const auto after = std::ranges::upper_bound(m_usageHistory, time, {}, &std::pair<TimePoint, Resources>::first);
    return after == m_usageHistory.begin() ? Resources{} : std::prev(after)->second;
}

auto WorkerTasks::end(Running::iterator position, TimePoint time, AttemptState state, std::string_view auditState) -> void
{
    const auto &[name, task] = *position;
    EndedAttempt ended;
    ended.m_report = reportOf(name, task, time);
    ended.m_report.m_state = state;
    ended.m_report.m_usage = {};
    if (state == AttemptState::Completed) {
        ended.m_report.m_result = task.m_result;
    }
    ended.m_shard = task.m_shard;
    ended.m_ended = time;
    m_audit.taskEnded(time, {name, task.m_attempt, task.m_shard, m_leases[task.m_shard].m_epoch}, auditState);
    m_assigned -= task.m_demand;
    m_ended.insert_or_assign({name, task.m_attempt}, std::move(ended));
    m_running.erase(position);
    recordUsage(time);
}

auto WorkerTasks::recordUsage(TimePoint now) -> void
{
    Resources usage;
    for (const auto &[name, task] : m_running) {
        auto used = task.m_usage;
        used.m_cpuMillis = used.m_cpuMillis * task.m_sharePercent / fullPercent;
        usage += used;
    }
    m_usageHistory.emplace_back(now, usage);
    // Kept longer than the current lag requires, because a test may raise the lag later.
    constexpr Duration minHistory = std::chrono::minutes(1);
    const auto oldest = now - std::max(milliseconds(m_faults.m_usageLagMs.m_value), minHistory);
    constexpr std::size_t maxHistory = 4096; // limits memory when the lag is long
    while (m_usageHistory.size() > maxHistory || (m_usageHistory.size() > 1 && m_usageHistory[1].first <= oldest)) {
        m_usageHistory.pop_front();
    }
    m_audit.updatePeaks(m_assigned, 0);
}

auto WorkerTasks::removeExpired(TimePoint now) -> void
{
    while (!m_expiringAttempts.empty() && m_expiringAttempts.front().first + m_spec.m_attemptRetention <= now) {
        m_ended.erase(m_expiringAttempts.front().second);
        m_expiringAttempts.pop_front();
    }
}
}

#include "burdockspur/host/routerduty.hpp"

#include "burdockspur/host/entrymetrics.hpp"
#include "burdockspur/host/entrystatus.hpp"
#include "burdockspur/operations/log.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
/// Longest wait; some C libraries overflow with a later time point.
constexpr std::chrono::hours longestSleep{1};

/// Period between two updates of the status, which copies the state of every worker.
constexpr Milliseconds publishPeriod{250};

/// Pause before answers are pushed again to a full ring.
constexpr Milliseconds answerRetry{1};

auto appendTargets(std::vector<TargetStatus> &list, std::span<Target *const> group, TimePoint now) -> void
{
    for (const Target *const target : group) {
        const auto &record = target->m_record;
        list.push_back({record.m_name, record.m_place.m_zone, record.m_state, target->m_inFlight, record.m_slots, target->m_failures, target->accepts(now)});
    }
}
}

RouterDuty::RouterDuty(const RouterLimits &limits,
                       std::string_view ownZone,
                       KeyMapIdentity self,
                       std::uint64_t seed,
                       EntryRings &rings,
                       EntryMetrics &metrics,
                       EntryStatus &status)
    : Duty("router")
    , m_router(limits, ownZone, std::move(self))
    , m_random(seed)
    , m_rings(rings)
    , m_metrics(metrics)
    , m_status(status)
{
}

RouterDuty::~RouterDuty()
{
    stop();
}

auto RouterDuty::requestStop() -> void
{
    m_rings.m_router.close();
}

auto RouterDuty::run() -> void
{
    while (!m_rings.m_router.isClosed()) {
        m_events.clear();
        m_rings.m_router.takeUntil(wakeTime(), m_events);
        for (auto &event : m_events) {
            handle(std::move(event));
        }
        while (!m_failureReplies.empty()) {
            RouterEvent event = std::move(m_failureReplies.front());
            m_failureReplies.pop_front();
            handle(std::move(event));
        }
        const TimePoint now = Clock::now();
        if (m_router.nextDeadline() <= now) {
            handle(TimerExpired{});
        }
        deliverAnswers();
        m_isPublished = m_isPublished && m_events.empty();
        publish(now);
    }
}

auto RouterDuty::wakeTime() const -> TimePoint
{
    const TimePoint now = Clock::now();
    TimePoint wake = std::min(m_router.nextDeadline(), now + longestSleep);
    if (!m_answers.empty()) {
        wake = std::min(wake, now + answerRetry);
    }
    if (!m_failureReplies.empty()) {
        wake = now;
    }
    return m_isPublished ? wake : std::min(wake, m_published + publishPeriod);
}

auto RouterDuty::handle(RouterEvent &&event) -> void
{
    m_commands.clear();
    m_router.handle(std::move(event), Clock::now(), m_random, m_commands);
    for (auto &command : m_commands) {
        std::visit(
            [this](auto &content) {
                execute(std::move(content));
            },
            command);
    }
}

auto RouterDuty::execute(ForwardOrder &&order) -> void
{
    if (order.m_retry) {
        logEvent(LogLevel::Info, "request_retried", {{"request", order.m_requestId}, {"worker", order.m_target.m_worker}});
    }
    m_metrics.countForward(order.m_retry);
    const auto dispatch = order.m_dispatch;
    if (!m_rings.m_targets.tryPush(std::move(order))) {
        m_metrics.countRingFull(RingName::Targets);
        m_failureReplies.push_back(
            TargetReplied{{dispatch, TargetReply::Status::NotSent, {}, {ErrorCode::RingFull, "the ring of the target duty is full"}, {}}});
    }
}

auto RouterDuty::execute(SettleOrder &&order) -> void
{
    if (order.m_dispatch.m_exchange != 0) {
        logEvent(LogLevel::Info, "request_settled", {{"request", order.m_requestId}, {"worker", order.m_target.m_worker}});
        m_metrics.countSettle();
    }
    const auto dispatch = order.m_dispatch;
    if (!m_rings.m_targets.tryPush(std::move(order))) {
        m_metrics.countRingFull(RingName::Targets);
        m_failureReplies.push_back(
            SettleReplied{{dispatch, SettleReply::Status::NoReply, {}, {ErrorCode::RingFull, "the ring of the target duty is full"}, {}}});
    }
}

auto RouterDuty::execute(AnswerCaller &&command) -> void
{
    m_answers.emplace_back(std::move(command));
}

auto RouterDuty::execute(PeerQuery &&query) -> void
{
    logEvent(LogLevel::Info, "peer_asked", {{"request", query.m_requestId}, {"peer", query.m_peer}, {"generation", query.m_generation}});
    m_metrics.countPeerQuery();
    PeerReply refused;
    refused.m_dispatch = query.m_dispatch;
    refused.m_peer = query.m_peer;
    refused.m_error = {ErrorCode::RingFull, "the ring of the target duty is full"};
    if (!m_rings.m_targets.tryPush(std::move(query))) {
        m_metrics.countRingFull(RingName::Targets);
        m_failureReplies.push_back(PeerReplied{std::move(refused)});
    }
}

auto RouterDuty::execute(AnswerPeer &&command) -> void
{
    m_answers.emplace_back(std::move(command));
}

auto RouterDuty::execute(ProposeKeyMap &&command) -> void
{
    if (!m_rings.m_platform.tryPush(std::move(command))) {
        m_metrics.countRingFull(RingName::Platform);
        m_failureReplies.push_back(KeyMapNotWritten{});
    }
}

auto RouterDuty::execute(ReadKeyMap &&command) -> void
{
    // A dropped order is harmless: the next poll of PlatformDuty reads a higher generation anyway.
    if (!m_rings.m_platform.tryPush(command)) {
        m_metrics.countRingFull(RingName::Platform);
    }
}

auto RouterDuty::deliverAnswers() -> void
{
    while (!m_answers.empty()) {
        if (!m_rings.m_callers.tryPush(std::move(m_answers.front()))) {
            m_metrics.countRingFull(RingName::Callers);
            return;
        }
        m_answers.pop_front();
    }
}

auto RouterDuty::publish(TimePoint now) -> void
{
    if (m_isPublished || now < m_published + publishPeriod) {
        return;
    }
    m_isPublished = true;
    m_published = now;
    m_metrics.setKeyMap(m_router.keyMap().map());
    m_metrics.setRequests(m_router.inFlight(), m_router.queued());
    std::vector<TargetStatus> targets;
    appendTargets(targets, m_router.targets().local(), now);
    appendTargets(targets, m_router.targets().remote(), now);
    m_status.update([&](EntryReport &report) {
        report.m_requestsInFlight = m_router.inFlight();
        report.m_requestsQueued = m_router.queued();
        report.m_acceptsKeys = m_router.keyMap().isUsable();
        report.m_targets = std::move(targets);
    });
}
}

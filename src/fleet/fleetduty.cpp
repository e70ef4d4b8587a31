#include "burdockspur/fleet/fleetduty.hpp"

#include "burdockspur/fleet/fleetmetrics.hpp"
#include "burdockspur/operations/log.hpp"

#include <algorithm>
#include <chrono>
#include <thread>

namespace Burdockspur
{
namespace
{
/// Maximum wait for a message while nothing is due, as on a host that is not the owner.
constexpr std::chrono::hours idleWait{1};
/// Pause before commands are pushed again to a ring that was full.
constexpr Milliseconds retryPause{2};

[[nodiscard]] auto wallNow() -> FleetScheduler::WallTime
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}
}

FleetDuty::FleetDuty(const FleetLimits &limits, FleetRings &rings, FleetMetrics &metrics)
    : Duty("scheduler")
    , m_scheduler(limits)
    , m_roundInterval(limits.m_roundInterval)
    , m_rings(rings)
    , m_metrics(metrics)
{
}

FleetDuty::~FleetDuty()
{
    stop();
}

auto FleetDuty::requestStop() -> void
{
    m_rings.m_scheduler.close();
}

auto FleetDuty::run() -> void
{
    TimePoint next = Clock::now() + idleWait;
    while (!m_rings.m_scheduler.isClosed()) {
        m_inputs.clear();
        m_rings.m_scheduler.takeUntil(std::min(next, Clock::now() + idleWait), m_inputs);
        const TimePoint now = Clock::now();
        for (auto &input : m_inputs) {
            std::visit(
                [&](auto &content) {
                    on(std::move(content), now);
                },
                input);
        }
        next = m_scheduler.advance(now, wallNow());
        sendCommands();
        if (!m_unsent.empty()) {
            next = std::min(next, now + retryPause);
        }
        const TimePoint end = Clock::now();
        m_metrics.recordRound(m_scheduler.isOwner(), m_scheduler.jobCount(), m_scheduler.workerCount(), m_scheduler.waitingCount(), end - now);
        m_metrics.recordWaits(m_scheduler.idleJobCount(), m_scheduler.longestIdle());
        m_metrics.recordClosedZones(m_scheduler.closedZoneCounts());
        m_metrics.recordCopies(m_scheduler.copyCounters());
        m_load.recordRound(m_scheduler, m_inputs.size(), now, end);
        if (m_scheduler.isOwner() && end < now + m_roundInterval) {
            std::this_thread::sleep_for(now + m_roundInterval - end);
        }
    }
}

auto FleetDuty::on(OwnershipClaimed &&input, TimePoint /*now*/) -> void
{
    m_scheduler.prepare(input.m_epoch, input.m_claimedAt, std::move(input.m_former));
}

auto FleetDuty::on(OwnershipTaken &&input, TimePoint now) -> void
{
    m_scheduler.begin(input.m_epoch, std::move(input.m_jobs), now, wallNow());
    m_scheduler.markArchived(input.m_archived, now);
    m_scheduler.setJobListTime(input.m_asOf);
}

auto FleetDuty::on(OwnershipEnded &&input, TimePoint /*now*/) -> void
{
    if (input.m_epoch == m_scheduler.epoch()) {
        m_scheduler.resign();
    }
}

auto FleetDuty::on(JobsStored &&input, TimePoint now) -> void
{
    for (auto &job : input.m_jobs) {
        m_scheduler.addJob(std::move(job), now, wallNow());
    }
    for (const auto &id : input.m_cancelled) {
        m_scheduler.cancelJob(id);
    }
    m_scheduler.setJobListTime(input.m_asOf);
}

auto FleetDuty::on(JobsArchived &&input, TimePoint now) -> void
{
    if (input.m_epoch == m_scheduler.epoch()) {
        m_scheduler.markArchived(input.m_ids, now);
    }
}

auto FleetDuty::on(InterferencePairsStored &&input, TimePoint /*now*/) -> void
{
    m_scheduler.restoreModel(input.m_pairs);
}

auto FleetDuty::on(WorkersChanged &&input, TimePoint now) -> void
{
    m_scheduler.updateWorkers(input.m_changed, input.m_removed, now);
}

auto FleetDuty::on(ConfigurationConfirmed &&input, TimePoint /*now*/) -> void
{
    m_scheduler.configure(std::move(input.m_configuration));
}

auto FleetDuty::on(ZonesConfirmed &&input, TimePoint now) -> void
{
    m_scheduler.setClosedZones(std::move(input.m_zones), now);
}

auto FleetDuty::on(CommitAnswer &&input, TimePoint now) -> void
{
    if (!m_scheduler.isPreparing()) {
        m_load.recordCommit(input, now);
    }
    m_scheduler.handleAnswer(input, now);
}

auto FleetDuty::on(ReportAnswer &&input, TimePoint now) -> void
{
    m_metrics.recordOrder(FleetMetrics::Order::Report, input.m_outcome);
    m_load.recordAnswerWait(input.m_receivedAt, now);
    m_scheduler.handleAnswer(input, now);
}

auto FleetDuty::on(StartAnswer &&input, TimePoint now) -> void
{
    m_metrics.recordOrder(FleetMetrics::Order::Start, input.m_outcome);
    m_load.recordAnswerWait(input.m_receivedAt, now);
    m_scheduler.handleAnswer(input, now);
}

auto FleetDuty::on(StopAnswer &&input, TimePoint now) -> void
{
    m_metrics.recordOrder(FleetMetrics::Order::Stop, input.m_outcome);
    m_scheduler.handleAnswer(input, now);
}

auto FleetDuty::on(PaceAnswer &&input, TimePoint now) -> void
{
    m_metrics.recordOrder(FleetMetrics::Order::Pace, input.m_outcome);
    m_scheduler.handleAnswer(input, now);
}

auto FleetDuty::sendCommands() -> void
{
    auto commands = m_scheduler.takeCommands();
    m_load.recordCommands(commands, Clock::now());
    std::ranges::move(commands, std::back_inserter(m_unsent));
    while (!m_unsent.empty()) {
        auto &command = m_unsent.front();
        const bool isSent = std::visit(
            [this](auto &content) {
                using Content = std::remove_reference_t<decltype(content)>;
                if constexpr (std::is_same_v<Content, CommitOrder> || std::is_same_v<Content, ArchiveOrder> || std::is_same_v<Content, OwnershipResigned>) {
                    return m_rings.m_store.tryPush(std::move(content));
                } else {
                    return m_rings.m_workers.tryPush(std::move(content));
                }
            },
            command);
        if (!isSent) {
            logEvent(LogLevel::Warning, "ring_full", {{"ring", "store or workers"}, {"from", "scheduler"}, {"waiting", m_unsent.size()}});
            return;
        }
        m_unsent.pop_front();
    }
}
}

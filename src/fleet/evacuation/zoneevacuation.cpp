#include "burdockspur/fleet/evacuation/zoneevacuation.hpp"

#include "burdockspur/fleet/fleetjob.hpp"
#include "burdockspur/fleet/fleetworker.hpp"
#include "burdockspur/operations/log.hpp"

#include <cstdint>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>

namespace Burdockspur
{
namespace
{
/// The log's rate limit, which a busy owner reaches, never suppresses warnings, and an operator waits for these lines.
constexpr auto zoneLevel = LogLevel::Warning;

[[nodiscard]] auto inMs(Duration duration) -> std::int64_t
{
    return std::chrono::duration_cast<Milliseconds>(duration).count();
}

/// What a zone has.
struct ZoneContent {
    std::size_t m_workers = 0;
    std::size_t m_runs = 0;
};

[[nodiscard]] auto contentOf(std::string_view zone, const ZoneEvacuation::Workers &workers) -> ZoneContent
{
    ZoneContent content;
    for (const auto &[id, worker] : workers) {
        if (worker.m_record.m_zone == zone) {
            ++content.m_workers;
            content.m_runs += worker.m_runs.size();
        }
    }
    return content;
}
}

auto ZoneEvacuation::update(ClosedZones &&zones, const Fleet &fleet, TimePoint now) -> bool
{
    const bool wasConfirmed = isConfirmed(now);
    const auto before = std::exchange(m_zones, std::move(zones));
    const auto &closed = m_zones.zones();
    bool hasChanged = isConfirmed(now) != wasConfirmed;
    for (const auto &zone : closed) {
        if (!before.isClosed(zone.first)) {
            hasChanged = true;
            logClosed(zone, fleet, now);
        }
    }
    for (const auto &[zone, since] : before.zones()) {
        if (closed.contains(zone)) {
            continue;
        }
        hasChanged = true;
        if (fleet.m_epoch != 0) {
            const auto content = contentOf(zone, fleet.m_workers);
            logEvent(zoneLevel,
                     "zone_reopened",
                     {{"zone", zone},
                      {"closed_ms", inMs(now - since)},
                      {"workers", content.m_workers},
                      {"runs", content.m_runs},
                      {"waiting", fleet.m_waiting},
                      {"epoch", fleet.m_epoch}});
        }
    }
    return hasChanged;
}

auto ZoneEvacuation::logClosedZones(const Fleet &fleet, TimePoint now) const -> void
{
    for (const auto &zone : m_zones.zones()) {
        logClosed(zone, fleet, now);
    }
}

auto ZoneEvacuation::logClosed(const ClosedZones::Zones::value_type &zone, const Fleet &fleet, TimePoint now) -> void
{
    if (fleet.m_epoch == 0) {
        return;
    }
    const auto content = contentOf(zone.first, fleet.m_workers);
    logEvent(zoneLevel,
             "zone_closed",
             {{"zone", zone.first},
              {"known_ms", inMs(now - zone.second)},
              {"workers", content.m_workers},
              {"runs", content.m_runs},
              {"waiting", fleet.m_waiting},
              {"epoch", fleet.m_epoch}});
}

auto ZoneEvacuation::logConfirmation(Epoch epoch, TimePoint now) -> void
{
    if (isConfirmed(now) == !m_isLoggedUnconfirmed) {
        return;
    }
    m_isLoggedUnconfirmed = !m_isLoggedUnconfirmed;
    const auto age = m_zones.confirmedAt() == TimePoint{} ? -1 : inMs(now - m_zones.confirmedAt());
    if (m_isLoggedUnconfirmed) {
        logEvent(LogLevel::Warning, "zones_unconfirmed", {{"age_ms", age}, {"limit_ms", m_maxAge.count()}, {"epoch", epoch}});
    } else {
        logEvent(LogLevel::Info, "zones_confirmed", {{"age_ms", age}, {"epoch", epoch}});
    }
}

auto ZoneEvacuation::isClosed(const FleetWorker &worker) const noexcept -> bool
{
    return worker.isDescribed() && m_zones.isClosed(worker.m_record.m_zone);
}

auto ZoneEvacuation::mayStart(const FleetWorker &worker, TimePoint now) const noexcept -> bool
{
    return isConfirmed(now) && !isClosed(worker);
}

auto ZoneEvacuation::isConfirmed(TimePoint now) const noexcept -> bool
{
    return m_maxAge.count() == 0 || now - m_zones.confirmedAt() <= m_maxAge;
}

auto ZoneEvacuation::withdrawAssignments(Workers &workers) const -> void
{
    if (m_zones.zones().empty()) {
        return;
    }
    using Step = std::tuple<const FleetJob *, std::uint32_t, std::uint32_t>;
    const auto stepOf = [](const TaskRun &run) {
        return Step(run.m_job, run.m_task.m_occurrence, run.m_task.m_step);
    };
    std::set<Step> gangs;
    for (auto &[id, worker] : workers) {
        if (!worker.m_mayHaveUnsentRuns || !isClosed(worker)) {
            continue;
        }
        for (auto &[name, run] : worker.m_runs) {
            if (run.m_stage != RunStage::Unsent) {
                continue;
            }
            worker.markForStop(run);
            if (run.m_job->stepOf(run.m_task).m_isGang) {
                gangs.insert(stepOf(run));
            }
        }
    }
    if (gangs.empty()) {
        return;
    }
    for (auto &[id, worker] : workers) {
        for (auto &[name, run] : worker.m_runs) {
            if (run.m_stage == RunStage::Unsent && gangs.contains(stepOf(run))) {
                worker.markForStop(run);
            }
        }
    }
}

auto ZoneEvacuation::count(const Workers &workers) const -> Counts
{
    Counts counts{m_zones.zones().size(), 0};
    if (counts.m_zones > 0) {
        for (const auto &[id, worker] : workers) {
            counts.m_runs += isClosed(worker) ? worker.m_runs.size() : 0;
        }
    }
    return counts;
}
}

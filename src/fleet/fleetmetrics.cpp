#include "burdockspur/fleet/fleetmetrics.hpp"

#include "burdockspur/fleet/lookahead/lookaheadplacement.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

#include <string>

namespace Burdockspur
{
namespace
{
/// By FleetMetrics::Order.
constexpr std::array<std::string_view, 4> orderNames{"report", "start", "stop", "pace"};

[[nodiscard]] auto seconds(Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}
}

FleetMetrics::FleetMetrics(Metrics &metrics)
    : m_metrics(metrics)
    , m_callSeconds(metrics.durationHistogram("burdockspur_call_seconds", "Time from a caller's request to its answer"))
    , m_retryAfterSeconds(metrics.durationHistogram("burdockspur_call_retry_after_seconds", "Time after which a refused caller was told to come back"))
    , m_roundSeconds(metrics.durationHistogram("burdockspur_round_seconds", "Time of one round of scheduling decisions"))
    , m_storeAnswering(metrics.gauge("burdockspur_store_answering", "1 while the store answers this host"))
    , m_owner(metrics.gauge("burdockspur_owner", "1 while this host schedules the fleet"))
    , m_jobs(metrics.gauge("burdockspur_jobs", "Jobs in the memory of the owner"))
    , m_workers(metrics.gauge("burdockspur_workers", "Workers in the memory of the owner"))
    , m_waiting(metrics.gauge("burdockspur_waiting_tasks", "Tasks that wait for capacity"))
    , m_idleJobs(metrics.gauge("burdockspur_idle_jobs", "Jobs with a waiting task that had no run for more than a second"))
    , m_longestIdle(metrics.gauge("burdockspur_longest_idle_seconds", "Longest time for which a job with a waiting task has no run"))
    , m_closedZones(metrics.gauge("burdockspur_closed_zones", "Zones that the operator has closed, as this host knows"))
    , m_closedZoneRuns(metrics.gauge("burdockspur_closed_zone_runs", "Runs on the workers of closed zones in the memory of the owner"))
    , m_clientBytes(metrics.gauge("burdockspur_client_bytes", "Memory held by the clients of all ports"))
    , m_clientConnections(metrics.gauge("burdockspur_client_connections", "Open connections of the clients of all ports"))
    , m_limitedAnswers(metrics.counter("burdockspur_answers_limited_total", "Calls that failed because incomplete answers held too much memory"))
    , m_copiesStarted(metrics.counter("burdockspur_copies_started_total", "Copies of stragglers that were assigned"))
    , m_copiesWon(metrics.counter("burdockspur_copies_won_total", "Copies that have succeeded before the original run"))
    , m_copyWaste(metrics.counter("burdockspur_copy_waste_core_seconds_total", "Work of runs that were stopped because of a copy"))
    , m_reservations(metrics.gauge("burdockspur_room_reservations", "Steps that room is kept for"))
    , m_reservedCpu(metrics.gauge("burdockspur_reserved_cores", "Processors that are kept for large steps"))
    , m_reservedMemory(metrics.gauge("burdockspur_reserved_memory_mb", "Memory that is kept for large steps"))
    , m_reservationsMade(metrics.gauge("burdockspur_room_reservations_made", "Reservations of room since the start of the process"))
    , m_reservationsMoved(metrics.gauge("burdockspur_room_reservations_moved", "Reserved rooms that were given up because they were late or lost"))
    , m_reservationsExpired(metrics.gauge("burdockspur_room_reservations_expired", "Reservations of room that ended unused"))
{
    recordStore(true);
    for (std::size_t size = 0; size < jobSizeNames.size(); ++size) {
        m_startWaits[size] = &metrics.durationHistogram(
            "burdockspur_start_wait_seconds", "Time from the acceptance of a job to its first run", {{"size", std::string(jobSizeNames[size])}});
    }
}

auto FleetMetrics::recordCall(std::string_view kind, int status, Duration took) -> void
{
    m_metrics.counter("burdockspur_calls_total", "Answered requests of callers", {{"kind", std::string(kind)}, {"status", std::to_string(status)}}).Increment();
    m_callSeconds.Observe(seconds(took));
}

auto FleetMetrics::recordRetryAdvice(int seconds) -> void
{
    m_retryAfterSeconds.Observe(static_cast<double>(seconds));
}

auto FleetMetrics::recordStore(bool isAnswering) -> void
{
    m_storeAnswering.Set(isAnswering ? 1 : 0);
}

auto FleetMetrics::recordOrder(Order order, OrderOutcome outcome) -> void
{
    auto &known = m_orders[static_cast<std::size_t>(order)][static_cast<std::size_t>(outcome)];
    auto *counter = known.load();
    if (counter == nullptr) {
        const std::string name(orderNames[static_cast<std::size_t>(order)]);
        counter =
            &m_metrics.counter("burdockspur_orders_total", "Orders to workers by outcome", {{"order", name}, {"outcome", std::string(outcomeName(outcome))}});
        known = counter;
    }
    counter->Increment();
}

auto FleetMetrics::recordRound(bool isOwner, std::size_t jobs, std::size_t workers, std::size_t waiting, Duration took) -> void
{
    m_owner.Set(isOwner ? 1 : 0);
    m_jobs.Set(static_cast<double>(jobs));
    m_workers.Set(static_cast<double>(workers));
    m_waiting.Set(static_cast<double>(waiting));
    m_roundSeconds.Observe(seconds(took));
}

auto FleetMetrics::recordWaits(std::size_t idleJobs, Duration longestIdle) -> void
{
    m_idleJobs.Set(static_cast<double>(idleJobs));
    m_longestIdle.Set(seconds(longestIdle));
}

auto FleetMetrics::recordLimitedAnswer() -> void
{
    m_limitedAnswers.Increment();
}

auto FleetMetrics::recordClosedZones(const ZoneEvacuation::Counts &counts) -> void
{
    m_closedZones.Set(static_cast<double>(counts.m_zones));
    m_closedZoneRuns.Set(static_cast<double>(counts.m_runs));
}

auto FleetMetrics::recordClients(const ClientCounts &counts) -> void
{
    struct Row {
        std::string_view m_action;
        std::uint64_t ClientCounts::*m_count;
    };
    static constexpr std::array<Row, 4> rows{{
        {"closed_for_memory", &ClientCounts::m_closedForMemory},
        {"closed_for_descriptor", &ClientCounts::m_closedForDescriptor},
        {"refused_connection", &ClientCounts::m_refusedConnections},
        {"refused_request", &ClientCounts::m_refusedRequests},
    }};
    m_clientBytes.Set(static_cast<double>(counts.m_heldBytes));
    m_clientConnections.Set(static_cast<double>(counts.m_connections));
    for (const auto &row : rows) {
        m_metrics
            .counter(
                "burdockspur_clients_limited_total", "Connections and requests of clients that were closed or refused", {{"action", std::string(row.m_action)}})
            .Increment(static_cast<double>(counts.*row.m_count - m_clientCounts.*row.m_count));
    }
    m_clientCounts = counts;
}

auto FleetMetrics::recordCopies(const CopyCounters &counters) -> void
{
    m_copiesStarted.Increment(static_cast<double>(counters.m_started - m_recordedCopies.m_started));
    m_copiesWon.Increment(static_cast<double>(counters.m_won - m_recordedCopies.m_won));
    m_copyWaste.Increment(counters.m_wastedCoreSeconds - m_recordedCopies.m_wastedCoreSeconds);
    m_recordedCopies = counters;
}

auto FleetMetrics::recordReservedRoom(const LookAheadPlacement &lookAhead) -> void
{
    constexpr double millisPerCore = 1'000;
    const auto room = lookAhead.reservedRoom();
    const auto counters = lookAhead.counters();
    m_reservations.Set(static_cast<double>(lookAhead.reservationCount()));
    m_reservedCpu.Set(static_cast<double>(room.m_cpuMillis) / millisPerCore);
    m_reservedMemory.Set(static_cast<double>(room.m_memoryMb));
    m_reservationsMade.Set(static_cast<double>(counters.m_reserved));
    m_reservationsMoved.Set(static_cast<double>(counters.m_moved));
    m_reservationsExpired.Set(static_cast<double>(counters.m_expired));
}

auto FleetMetrics::recordStartWaits(std::span<const StartWait> waits) -> void
{
    for (const auto &wait : waits) {
        m_startWaits[static_cast<std::size_t>(wait.m_size)]->Observe(seconds(wait.m_wait));
    }
}
}

#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/evacuation/zoneevacuation.hpp"
#include "burdockspur/fleet/fleetanswer.hpp"
#include "burdockspur/fleet/lookahead/startwait.hpp"
#include "burdockspur/fleet/stragglers/copycounters.hpp"
#include "burdockspur/link/clientcounts.hpp"
#include "burdockspur/operations/metrics.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace prometheus
{
class Counter;
class Gauge;
class Histogram;
}

namespace Burdockspur
{
class LookAheadPlacement;

/// @brief The metrics of one host. All functions are thread-safe.
class FleetMetrics
{
public:
    explicit FleetMetrics(Metrics &metrics);

    /// @brief Records an answered request of a caller.
    /// @param kind `submit`, `state`, `cancel`, `pending` or `invalid`
    /// @param status HTTP status
    /// @param took time from the request to its answer
    auto recordCall(std::string_view kind, int status, Duration took) -> void;

    /// @brief Records when a refused caller was told to come back.
    /// @param seconds the advice, in seconds
    auto recordRetryAdvice(int seconds) -> void;

    /// @brief Records whether the store answers this host.
    auto recordStore(bool isAnswering) -> void;

    /// Kinds of orders to workers.
    enum class Order : std::uint8_t {
        Report,
        Start,
        Stop,
        Pace,
    };

    /// @brief Records the outcome of an order to a worker.
    auto recordOrder(Order order, OrderOutcome outcome) -> void;

    /// @brief Records the state of the scheduler after a round and the duration of the round.
    auto recordRound(bool isOwner, std::size_t jobs, std::size_t workers, std::size_t waiting, Duration took) -> void;

    /// @brief Records how long jobs with waiting tasks have no run.
    /// @param idleJobs number of jobs without a run for more than a second
    /// @param longestIdle longest such time
    auto recordWaits(std::size_t idleJobs, Duration longestIdle) -> void;

    /// @brief Records the zones that the operator has closed.
    auto recordClosedZones(const ZoneEvacuation::Counts &counts) -> void;

    /// @brief Records what the clients hold and what was closed or refused; to be called from one thread.
    auto recordClients(const ClientCounts &counts) -> void;

    /// @brief Records a call to the store or a worker that failed because incomplete answers hold too much.
    auto recordLimitedAnswer() -> void;

    /// @brief Records the counters of the copies of stragglers; only one thread calls this.
    /// @param counters since the start of the process
    auto recordCopies(const CopyCounters &counters) -> void;

    /// @brief Records the room that is kept for large work after a round.
    auto recordReservedRoom(const LookAheadPlacement &lookAhead) -> void;

    /// @brief Records how long jobs have waited for their first run.
    auto recordStartWaits(std::span<const StartWait> waits) -> void;

private:
    static constexpr std::size_t orderCount = 4;
    static constexpr std::size_t outcomeCount = static_cast<std::size_t>(OrderOutcome::NoAnswer) + 1;

    Metrics &m_metrics;
    /// Counters in use, by order and outcome; the registry would compare all labels for each answer.
    std::array<std::array<std::atomic<prometheus::Counter *>, outcomeCount>, orderCount> m_orders{};
    prometheus::Histogram &m_callSeconds;
    prometheus::Histogram &m_retryAfterSeconds;
    prometheus::Histogram &m_roundSeconds;
    prometheus::Gauge &m_storeAnswering;
    prometheus::Gauge &m_owner;
    prometheus::Gauge &m_jobs;
    prometheus::Gauge &m_workers;
    prometheus::Gauge &m_waiting;
    prometheus::Gauge &m_idleJobs;
    prometheus::Gauge &m_longestIdle;
    prometheus::Gauge &m_closedZones;
    prometheus::Gauge &m_closedZoneRuns;
    prometheus::Gauge &m_clientBytes;
    prometheus::Gauge &m_clientConnections;
    prometheus::Counter &m_limitedAnswers;
    ClientCounts m_clientCounts; ///< as of the last recordClients()
    prometheus::Counter &m_copiesStarted;
    prometheus::Counter &m_copiesWon;
    prometheus::Counter &m_copyWaste;
    CopyCounters m_recordedCopies; ///< what the counters of copies already contain
    prometheus::Gauge &m_reservations;
    prometheus::Gauge &m_reservedCpu;
    prometheus::Gauge &m_reservedMemory;
    prometheus::Gauge &m_reservationsMade;
    prometheus::Gauge &m_reservationsMoved;
    prometheus::Gauge &m_reservationsExpired;
    std::array<prometheus::Histogram *, jobSizeNames.size()> m_startWaits{}; ///< by JobSize
};
}

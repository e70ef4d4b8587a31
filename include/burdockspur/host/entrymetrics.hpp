#pragma once

#include "burdockspur/contract/outcome.hpp"
#include "burdockspur/core/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace prometheus
{
class Counter;
class Gauge;
class Histogram;
}

namespace Burdockspur
{
class Metrics;
struct KeyMap;

/// @brief Ring of an entry daemon, as a label of the ring-full counter.
enum class RingName : std::uint8_t {
    Router,
    Targets,
    Callers,
    Links,
    Platform,
};

/// @brief Registers and updates the metrics of an entry daemon.
class EntryMetrics
{
public:
    /// @param metrics registry; must outlive this object
    explicit EntryMetrics(Metrics &metrics);

    /// @brief Counts the answer to a service request and records its latency.
    auto recordAnswer(Outcome outcome, Duration latency) noexcept -> void;

    /// @brief Counts an answer whose caller had closed its connection.
    auto countDiscardedAnswer() noexcept -> void;

    auto countForward(bool isRetry) noexcept -> void;
    auto countSettle() noexcept -> void;
    auto countPeerQuery() noexcept -> void;
    auto countRingFull(RingName ring) noexcept -> void;
    auto countJobCommand() noexcept -> void;
    auto setRequests(std::size_t inFlight, std::size_t queued) noexcept -> void;
    auto setOpenLinks(std::size_t links) noexcept -> void;
    auto setKeyMap(const KeyMap &map) noexcept -> void;
    auto setConfigVersion(std::uint64_t version) noexcept -> void;

private:
    static constexpr std::size_t outcomeCount = 4;
    static constexpr std::size_t ringCount = 5;

    std::array<prometheus::Counter *, outcomeCount> m_answers{};
    std::array<prometheus::Counter *, ringCount> m_ringRefusals{};
    prometheus::Histogram *m_latency;
    prometheus::Counter *m_discarded;
    prometheus::Counter *m_forwards;
    prometheus::Counter *m_retries;
    prometheus::Counter *m_settles;
    prometheus::Counter *m_peerQueries;
    prometheus::Counter *m_jobCommands;
    prometheus::Gauge *m_inFlight;
    prometheus::Gauge *m_queued;
    prometheus::Gauge *m_openLinks;
    prometheus::Gauge *m_configVersion;
    prometheus::Gauge *m_keyMapGeneration;
    prometheus::Gauge *m_keyMapChanges;
};
}

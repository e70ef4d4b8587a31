#include "burdockspur/host/entrymetrics.hpp"

#include "burdockspur/contract/keymap.hpp"
#include "burdockspur/operations/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

namespace Burdockspur
{
namespace
{
// In the order of RingName.
constexpr std::array<std::string_view, 5> ringNames{"router", "targets", "callers", "links", "platform"};
}

EntryMetrics::EntryMetrics(Metrics &metrics)
    : m_latency(&metrics.durationHistogram("burdockspur_request_seconds", "Time from the arrival of a service request to its answer"))
    , m_discarded(&metrics.counter("burdockspur_answers_discarded_total", "Answers whose caller had closed its connection"))
    , m_forwards(&metrics.counter("burdockspur_forwards_total", "Requests sent to workers, including retries"))
    , m_retries(&metrics.counter("burdockspur_retries_total", "Requests sent to a worker again"))
    , m_settles(&metrics.counter("burdockspur_settles_total", "Settles sent to workers to learn the outcome of a request"))
    , m_peerQueries(&metrics.counter("burdockspur_peer_questions_total", "Questions to other entry daemons about a request with an idempotency key"))
    , m_jobCommands(&metrics.counter("burdockspur_job_commands_total", "Job commands of callers"))
    , m_inFlight(&metrics.gauge("burdockspur_requests_in_flight", "Callers that wait for the answer to a service request"))
    , m_queued(&metrics.gauge("burdockspur_requests_queued", "Service requests that wait for a free slot"))
    , m_openLinks(&metrics.gauge("burdockspur_scheduler_links_open", "Open links to schedulers"))
    , m_configVersion(&metrics.gauge("burdockspur_config_version", "Version of the configuration in force"))
    , m_keyMapGeneration(&metrics.gauge("burdockspur_key_map_generation", "Generation of the key map; 0 when none was read"))
    , m_keyMapChanges(&metrics.gauge("burdockspur_key_map_recent_changes", "Recent changes listed in the key map"))
{
    for (std::size_t i = 0; i < outcomeCount; ++i) {
        const Metrics::Labels labels{{"outcome", std::string(outcomeName(static_cast<Outcome>(i)))}};
        m_answers[i] = &metrics.counter("burdockspur_requests_total", "Service requests by outcome", labels);
    }
    for (std::size_t i = 0; i < ringCount; ++i) {
        const Metrics::Labels labels{{"ring", std::string(ringNames[i])}};
        m_ringRefusals[i] = &metrics.counter("burdockspur_ring_full_total", "Messages that did not fit into a full ring", labels);
    }
}

auto EntryMetrics::recordAnswer(Outcome outcome, Duration latency) noexcept -> void
{
    m_answers[static_cast<std::size_t>(outcome)]->Increment();
    m_latency->Observe(std::chrono::duration<double>(latency).count());
}

auto EntryMetrics::countDiscardedAnswer() noexcept -> void
{
    m_discarded->Increment();
}

auto EntryMetrics::countForward(bool isRetry) noexcept -> void
{
    m_forwards->Increment();
    if (isRetry) {
        m_retries->Increment();
    }
}

auto EntryMetrics::countSettle() noexcept -> void
{
    m_settles->Increment();
}

auto EntryMetrics::countPeerQuery() noexcept -> void
{
    m_peerQueries->Increment();
}

auto EntryMetrics::setKeyMap(const KeyMap &map) noexcept -> void
{
    m_keyMapGeneration->Set(static_cast<double>(map.m_generation));
    m_keyMapChanges->Set(static_cast<double>(map.m_changes.size()));
}

auto EntryMetrics::countRingFull(RingName ring) noexcept -> void
{
    m_ringRefusals[static_cast<std::size_t>(ring)]->Increment();
}

auto EntryMetrics::countJobCommand() noexcept -> void
{
    m_jobCommands->Increment();
}

auto EntryMetrics::setRequests(std::size_t inFlight, std::size_t queued) noexcept -> void
{
    m_inFlight->Set(static_cast<double>(inFlight));
    m_queued->Set(static_cast<double>(queued));
}

auto EntryMetrics::setOpenLinks(std::size_t links) noexcept -> void
{
    m_openLinks->Set(static_cast<double>(links));
}

auto EntryMetrics::setConfigVersion(std::uint64_t version) noexcept -> void
{
    m_configVersion->Set(static_cast<double>(version));
}
}

#include "burdockspur/fleet/handover.hpp"

#include "burdockspur/operations/log.hpp"

namespace Burdockspur
{
namespace
{
/// Minimum duration of an ownership before a hand-over: each takeover reads all jobs, so owners must not change in quick succession.
constexpr Milliseconds minOwnershipTime{3'000};
/// Time between two reads of the candidate's row while an offer of a stronger host is likely.
constexpr Milliseconds checkInterval{1'000};
/// Time between two reads when no stronger host is known; longer, because calls to the store are charged.
constexpr Milliseconds idleCheckInterval{5'000};
/// Time after a takeover in which offers are likely: a candidate needs some seconds of answers from the store, and one of its polls.
constexpr Milliseconds initialCheckPeriod{15'000};

[[nodiscard]] auto inMs(Duration duration) -> Milliseconds
{
    return std::chrono::duration_cast<Milliseconds>(duration);
}
}

HandOver::HandOver(std::string_view host, const HostCapacity &capacity)
    : m_host(host)
    , m_capacity(capacity)
{
}

auto HandOver::begin(const FleetOwnerRow &row, TimePoint now) -> void
{
    m_epoch = row.m_epoch;
    m_best = row.m_best;
    m_bestAt = now;
    m_beganAt = now;
    m_lastCheckAt.reset();
}

auto HandOver::best(TimePoint now) const noexcept -> KnownCapacity
{
    return m_best.updated(inMs(now - m_bestAt), m_capacity);
}

auto HandOver::isCheckDue(TimePoint now) -> bool
{
    if (!m_capacity.isKnown() || now - m_beganAt < minOwnershipTime) {
        return false;
    }
    const bool isStrongerKnown = best(now).m_capacity.isMuchStrongerThan(m_capacity);
    const auto interval = isStrongerKnown || now - m_beganAt < initialCheckPeriod ? checkInterval : idleCheckInterval;
    if (m_lastCheckAt && now - *m_lastCheckAt < interval) {
        return false;
    }
    m_lastCheckAt = now;
    return true;
}

auto HandOver::observeCandidate(const std::optional<TableRow> &row, TimePoint now) -> std::optional<FleetCandidateRow>
{
    auto candidate = row ? decodeFleetCandidateRow(row->m_value) : Result<FleetCandidateRow>(FleetCandidateRow{});
    if (!candidate) {
        logEvent(LogLevel::Error, "candidate_row_corrupt", {{"version", row->m_version}, {"reason", candidate.error().m_message}});
        return std::nullopt;
    }
    // The host of an offer to an earlier owner may no longer exist.
    if (candidate->m_host.empty() || candidate->m_host == m_host || candidate->m_epoch != m_epoch) {
        return std::nullopt;
    }
    m_best = best(now).updated(Milliseconds{0}, candidate->m_capacity);
    m_bestAt = now;
    if (now - m_beganAt < minOwnershipTime || !candidate->m_capacity.isMuchStrongerThan(m_capacity)) {
        return std::nullopt;
    }
    return std::move(*candidate);
}
}

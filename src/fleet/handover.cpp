#include "burdockspur/fleet/handover.hpp"

#include "burdockspur/operations/log.hpp"

namespace Burdockspur
{
namespace
{
/// An owner is not relieved before: each takeover reads all jobs, so owners must not follow each other quickly.
constexpr Milliseconds leastOwnership{3'000};
/// Between two looks at the candidate's row while a stronger host may come.
constexpr Milliseconds lookInterval{1'000};
/// Between two looks when no stronger host is known; calls to the store are priced.
constexpr Milliseconds idleLookInterval{5'000};
/// Candidates of a new owner come within this time: they need some seconds of a steady store and one of their looks.
constexpr Milliseconds settlingTime{15'000};

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
    m_lastLook.reset();
}

auto HandOver::best(TimePoint now) const noexcept -> KnownCapacity
{
    return m_best.after(inMs(now - m_bestAt), m_capacity);
}

auto HandOver::isLookDue(TimePoint now) -> bool
{
    if (!m_capacity.isKnown() || now - m_beganAt < leastOwnership) {
        return false;
    }
    const bool isStrongerKnown = best(now).m_capacity.isMuchStrongerThan(m_capacity);
    const auto interval = isStrongerKnown || now - m_beganAt < settlingTime ? lookInterval : idleLookInterval;
    if (m_lastLook && now - *m_lastLook < interval) {
        return false;
    }
    m_lastLook = now;
    return true;
}

auto HandOver::observeCandidate(const std::optional<TableRow> &row, TimePoint now) -> std::optional<FleetCandidateRow>
{
    auto candidate = row ? decodeFleetCandidateRow(row->m_value) : Result<FleetCandidateRow>(FleetCandidateRow{});
    if (!candidate) {
        logEvent(LogLevel::Error, "candidate_row_corrupt", {{"version", row->m_version}, {"reason", candidate.error().m_message}});
        return std::nullopt;
    }
    // An offer to an earlier owner may come from a host that is gone.
    if (candidate->m_host.empty() || candidate->m_host == m_host || candidate->m_epoch != m_epoch) {
        return std::nullopt;
    }
    m_best = best(now).after(Milliseconds{0}, candidate->m_capacity);
    m_bestAt = now;
    if (now - m_beganAt < leastOwnership || !candidate->m_capacity.isMuchStrongerThan(m_capacity)) {
        return std::nullopt;
    }
    return std::move(*candidate);
}
}

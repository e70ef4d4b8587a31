#include "burdockspur/fleet/ownershipcandidate.hpp"

#include "burdockspur/operations/log.hpp"

namespace Burdockspur
{
namespace
{
/// Time for which the store must have answered without interruption: twice the usual timeout of a call and some reads.
constexpr Milliseconds minAnsweringTime{3'000};
/// Minimum time between two reads of the candidate's row.
constexpr Milliseconds checkInterval{1'000};
/// Time after which an offer that its host has not renewed may be replaced.
constexpr Milliseconds offerLifetime{3'000};
/// Time without offers after a lost or released ownership, so that two hosts do not replace each other in turn.
constexpr Milliseconds backOffTime{10'000};
}

OwnershipCandidate::OwnershipCandidate(std::string_view host, std::string_view incarnation, const HostCapacity &capacity)
    : m_host(host)
    , m_incarnation(incarnation)
    , m_capacity(capacity)
{
}

auto OwnershipCandidate::observeUnreachable() noexcept -> void
{
    m_storeAnsweringSince.reset();
}

auto OwnershipCandidate::backOff(TimePoint now) noexcept -> void
{
    m_backOffUntil = now + backOffTime;
}

auto OwnershipCandidate::isAwaitingHandOver(TimePoint now) const noexcept -> bool
{
    return m_ownerEpoch != 0 && m_offeredEpoch == m_ownerEpoch && m_offeredAt && now - *m_offeredAt < offerLifetime;
}

auto OwnershipCandidate::observeOwner(const FleetOwnerRow &row, TimePoint now) -> bool
{
    m_storeAnsweringSince = m_storeAnsweringSince.value_or(now);
    const bool hasBegun = !row.m_host.empty() && row.m_commit > 0;
    const bool isWeak = hasBegun && row.m_host != m_host && m_capacity.isMuchStrongerThan(row.m_capacity);
    m_ownerEpoch = isWeak ? row.m_epoch : 0;
    const bool isSteady = now - *m_storeAnsweringSince >= minAnsweringTime;
    const bool isDue = !m_lastCheckAt || now - *m_lastCheckAt >= checkInterval;
    if (!isWeak || !isSteady || !isDue || now < m_backOffUntil) {
        return false;
    }
    m_lastCheckAt = now;
    return true;
}

auto OwnershipCandidate::observeCandidate(const std::optional<TableRow> &row, TimePoint now) -> std::optional<CandidateAttempt>
{
    const std::uint64_t version = row ? row->m_version : 0;
    if (!m_unchangedSince || version != m_version) {
        m_unchangedSince = now;
    }
    m_version = version;
    if (m_ownerEpoch == 0 || now < m_backOffUntil) {
        return std::nullopt;
    }
    const auto offer = row ? decodeFleetCandidateRow(row->m_value) : Result<FleetCandidateRow>(FleetCandidateRow{});
    const bool isCurrent = offer && offer->m_epoch == m_ownerEpoch && now - *m_unchangedSince < offerLifetime;
    if (isCurrent && !m_capacity.isMuchStrongerThan(offer->m_capacity)) {
        if (isOwnOffer(*offer) && m_offeredEpoch != m_ownerEpoch) {
            // The row holds an offer of this host whose answer was lost.
            m_offeredEpoch = m_ownerEpoch;
            m_offeredAt = now;
        }
        return std::nullopt;
    }
    m_offeredEpoch = m_ownerEpoch;
    m_offeredAt = now;
    logEvent(LogLevel::Info,
             "ownership_candidate",
             {{"epoch", m_ownerEpoch}, {"version", version}, {"previous", offer ? offer->m_host : std::string()}, {"capacity", m_capacity.text()}});
    return CandidateAttempt{version, {m_host, m_incarnation, m_capacity, m_ownerEpoch}};
}
}

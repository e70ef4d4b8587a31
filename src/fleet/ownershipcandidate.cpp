#include "burdockspur/fleet/ownershipcandidate.hpp"

#include "burdockspur/operations/log.hpp"

namespace Burdockspur
{
namespace
{
/// The store must have answered for this long: twice its usual time-out of a call and some reads.
constexpr Milliseconds steadyTime{3'000};
/// Between two looks at the candidate's row.
constexpr Milliseconds lookInterval{1'000};
/// An offer that its host has not renewed for this long is replaced.
constexpr Milliseconds offerLifetime{3'000};
/// After a lost ownership, so that two hosts do not relieve each other in turn.
constexpr Milliseconds holdBackTime{10'000};
}

OwnershipCandidate::OwnershipCandidate(std::string_view host, std::string_view incarnation, const HostCapacity &capacity)
    : m_host(host)
    , m_incarnation(incarnation)
    , m_capacity(capacity)
{
}

auto OwnershipCandidate::observeUnreachable() noexcept -> void
{
    m_answeringSince.reset();
}

auto OwnershipCandidate::holdBack(TimePoint now) noexcept -> void
{
    m_heldBackUntil = now + holdBackTime;
}

auto OwnershipCandidate::isExpecting(TimePoint now) const noexcept -> bool
{
    return m_ownerEpoch != 0 && m_offeredEpoch == m_ownerEpoch && m_offeredAt && now - *m_offeredAt < offerLifetime;
}

auto OwnershipCandidate::observeOwner(const FleetOwnerRow &row, TimePoint now) -> bool
{
    m_answeringSince = m_answeringSince.value_or(now);
    const bool hasBegun = !row.m_host.empty() && row.m_commit > 0;
    const bool isWeak = hasBegun && row.m_host != m_host && m_capacity.isMuchStrongerThan(row.m_capacity);
    m_ownerEpoch = isWeak ? row.m_epoch : 0;
    const bool isSteady = now - *m_answeringSince >= steadyTime;
    const bool isDue = !m_lastLook || now - *m_lastLook >= lookInterval;
    if (!isWeak || !isSteady || !isDue || now < m_heldBackUntil) {
        return false;
    }
    m_lastLook = now;
    return true;
}

auto OwnershipCandidate::observeCandidate(const std::optional<TableRow> &row, TimePoint now) -> std::optional<CandidateAttempt>
{
    const std::uint64_t version = row ? row->m_version : 0;
    if (!m_unchangedSince || version != m_version) {
        m_unchangedSince = now;
    }
    m_version = version;
    if (m_ownerEpoch == 0 || now < m_heldBackUntil) {
        return std::nullopt;
    }
    const auto offer = row ? decodeFleetCandidateRow(row->m_value) : Result<FleetCandidateRow>(FleetCandidateRow{});
    const bool isCurrent = offer && offer->m_epoch == m_ownerEpoch && now - *m_unchangedSince < offerLifetime;
    if (isCurrent && !m_capacity.isMuchStrongerThan(offer->m_capacity)) {
        if (isOurs(*offer) && m_offeredEpoch != m_ownerEpoch) {
            // The answer to the offer was lost.
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

#include "burdockspur/fleet/ownershipclaim.hpp"

#include "burdockspur/operations/log.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
/// Additional wait of a weak host after the timeout of an owner. A strong host polls the row every 0.4 s, and its call may take as
/// long as the store's usual timeout, so a strong host that can claim has done so by then.
constexpr Milliseconds weakHostTimeoutExtra{1'200};
/// Additional wait of a weak host before it claims a released row: one poll of a strong host and the time of its write.
constexpr Milliseconds weakHostReleaseDelay{600};
/// Time reserved for the successor that a release names. The successor polls every 0.1 s, so it has claimed by then unless it has failed.
constexpr Milliseconds successorGrace{800};
/// Time without claims after this host has released the ownership; every other host has polled the row and passed its own wait by then.
constexpr Milliseconds backOffTime{3'000};
}

OwnershipClaim::OwnershipClaim(std::string_view host, std::string_view incarnation, Milliseconds ownerTimeout, const HostCapacity &capacity)
    : m_host(host)
    , m_incarnation(incarnation)
    , m_ownerTimeout(ownerTimeout)
    , m_capacity(capacity)
{
}

auto OwnershipClaim::observeUnreachable() noexcept -> void
{
    m_unchangedSince.reset();
}

auto OwnershipClaim::backOff(TimePoint now) noexcept -> void
{
    m_backOffUntil = now + backOffTime;
}

auto OwnershipClaim::requiredWait() const noexcept -> Milliseconds
{
    if (isAnswerLost()) {
        return Milliseconds{0};
    }
    const bool isWeak = m_owner.m_best.m_capacity.isMuchStrongerThan(m_capacity);
    if (!m_owner.m_host.empty()) {
        return m_ownerTimeout + (isWeak ? weakHostTimeoutExtra : Milliseconds{0});
    }
    if (m_owner.m_successor == m_host && m_owner.m_successorIncarnation == m_incarnation) {
        return Milliseconds{0};
    }
    // A takeover that failed on one host would probably also fail on hosts that are no stronger.
    const bool isLikelyToFail = m_owner.m_hasFailed && m_owner.m_capacity.isKnown() && !m_capacity.isMuchStrongerThan(m_owner.m_capacity);
    return (m_owner.m_successor.empty() ? Milliseconds{0} : successorGrace) + (isWeak || isLikelyToFail ? weakHostReleaseDelay : Milliseconds{0});
}

auto OwnershipClaim::waitingJobs() const -> std::optional<WaitingJobs>
{
    if (!m_owner.m_waitingAge || !m_writtenAfter) {
        return std::nullopt;
    }
    return WaitingJobs{m_owner.m_waiting, *m_writtenAfter - *m_owner.m_waitingAge};
}

auto OwnershipClaim::observe(const std::optional<TableRow> &row, TimePoint sentAt, TimePoint now) -> std::optional<ClaimAttempt>
{
    const std::uint64_t version = row ? row->m_version : 0;
    if (!m_unchangedSince || version != m_version) {
        m_unchangedSince = now;
    }
    if (version != m_version || !m_writtenBefore) {
        m_writtenBefore = now;
    }
    if (version != m_version) {
        m_writtenAfter = m_lastReadAt;
    }
    m_lastReadAt = sentAt;
    m_version = version;
    // When the row cannot be read or is gone, the owner may have renewed any lease.
    m_owner.m_silentWorkers.clear();
    if (row) {
        if (auto decoded = decodeFleetOwnerRow(row->m_value)) {
            m_owner = std::move(*decoded);
        } else {
            // An epoch grows by one with each claim, which is one transaction, so it is at most the version of the store.
            m_owner.m_epoch = std::max(m_owner.m_epoch, version);
            if (const auto heldBack = m_corruptRowLog.admit(now)) {
                logEvent(LogLevel::Error, "owner_row_corrupt", {{"version", version}, {"reason", decoded.error().m_message}, {"held_back", *heldBack}});
            }
        }
    }
    const auto unchangedFor = std::chrono::duration_cast<Milliseconds>(now - *m_unchangedSince);
    const auto wait = row ? requiredWait() : Milliseconds{0};
    if (unchangedFor < wait || now < m_backOffUntil) {
        return std::nullopt;
    }
    logEvent(LogLevel::Info,
             "ownership_claim",
             {{"previous", m_owner.m_host},
              {"previous_epoch", m_owner.m_epoch},
              {"version", version},
              {"silent_ms", unchangedFor.count()},
              {"wait_ms", wait.count()},
              {"capacity", m_capacity.text()},
              {"previous_capacity", m_owner.m_capacity.text()},
              {"best_capacity", m_owner.m_best.m_capacity.text()}});
    ClaimAttempt attempt;
    attempt.m_expectedVersion = version;
    attempt.m_row.m_host = m_host;
    attempt.m_row.m_incarnation = m_incarnation;
    attempt.m_row.m_epoch = m_owner.m_epoch + 1;
    attempt.m_row.m_capacity = m_capacity;
    attempt.m_row.m_best = m_owner.m_best.updated(unchangedFor, m_capacity);
    attempt.m_former = formerOwner(now);
    m_unansweredEpoch = attempt.m_row.m_epoch;
    return attempt;
}

auto OwnershipClaim::formerOwner(TimePoint now) const -> FormerOwner
{
    // An outage of the store does not matter here: the version was written before it was first read.
    FormerOwner former{m_writtenBefore.value_or(now), {}};
    for (const auto &worker : m_owner.m_silentWorkers) {
        former.m_silentWorkers.emplace(worker.m_worker, former.m_lastSign + worker.m_leaseLeft);
    }
    return former;
}
}

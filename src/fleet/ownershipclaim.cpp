#include "burdockspur/fleet/ownershipclaim.hpp"

#include "burdockspur/operations/log.hpp"

#include <algorithm>

namespace Burdockspur
{
OwnershipClaim::OwnershipClaim(std::string_view host, std::string_view incarnation, Milliseconds silence)
    : m_host(host)
    , m_incarnation(incarnation)
    , m_silence(silence)
{
}

auto OwnershipClaim::observeUnreachable() noexcept -> void
{
    m_unchangedSince.reset();
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
    if (version != m_version) {
        m_writtenAfter = m_lastReadAt;
    }
    m_lastReadAt = sentAt;
    m_version = version;
    if (row) {
        if (auto decoded = decodeFleetOwnerRow(row->m_value)) {
            m_owner = std::move(*decoded);
        } else {
            logEvent(LogLevel::Error, "owner_row_corrupt", {{"version", version}, {"reason", decoded.error().m_message}});
        }
    }
    // A row of this process, which is not the owner, is left from a claim whose answer was lost or that came to nothing.
    const bool isFree = !row || m_owner.m_host.empty() || isOurs(m_owner);
    const auto silentFor = std::chrono::duration_cast<Milliseconds>(now - *m_unchangedSince);
    if (!isFree && silentFor < m_silence) {
        return std::nullopt;
    }
    logEvent(LogLevel::Info,
             "ownership_claim",
             {{"previous", m_owner.m_host}, {"previous_epoch", m_owner.m_epoch}, {"version", version}, {"silent_ms", silentFor.count()}});
    ClaimAttempt attempt;
    attempt.m_expectedVersion = version;
    attempt.m_row.m_host = m_host;
    attempt.m_row.m_incarnation = m_incarnation;
    attempt.m_row.m_epoch = m_owner.m_epoch + 1;
    return attempt;
}
}

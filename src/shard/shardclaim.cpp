#include "burdockspur/shard/shardclaim.hpp"

#include <algorithm>
#include <array>

namespace Burdockspur
{
namespace
{
// Schedulers that start at the same time read rows without an owner at the same time; the jitter spreads their claims.
constexpr std::uint32_t claimJitterMs = 100;
// A read that finds a new heartbeat makes the next read earlier within the heartbeat period, by the period divided by one
// of these values, until a read comes just before a heartbeat. The takeover time starts with the first read after the last
// heartbeat, so reads shortly after the heartbeats shorten a takeover. Once the reads are aligned, the smaller step
// keeps the share of reads that come too early, which detect a heartbeat late, below a few percent.
constexpr int searchDivisor = 10;
constexpr int alignedDivisor = 500;
// Each shard above the share delays the takeover from an unresponsive owner by a quarter of a heartbeat period, at most
// by half of one.
constexpr int excessDelayDivisor = 4;
constexpr std::size_t maxExcessSteps = 2;
}

ShardClaim::ShardClaim(ShardId shard, std::string_view host, const ShardSettings &settings)
    : m_shard(shard)
    , m_host(host)
    , m_settings(settings)
    , m_write(settings.m_storeTimeout, settings.m_guards, settings.m_heartbeat)
{
    m_ownership.m_shard = shard;
}

auto ShardClaim::tick(const ClaimBalance &balance, TimePoint now, RandomSource &random, ShardCommands &commands) -> void
{
    // Indexed by State.
    static constexpr std::array<TickMember, 4> table{&ShardClaim::watch, &ShardClaim::waitForWrite, &ShardClaim::sendHeartbeat, &ShardClaim::beginRelease};
    m_writeBegunAt = m_write.inProgress() ? m_writeBegunAt : now;
    (this->*table[static_cast<std::size_t>(m_state)])(balance, now, random);
    appendWrite(now, random, commands);
    appendRead(now, commands);
}

auto ShardClaim::watch(const ClaimBalance &balance, TimePoint now, RandomSource &random) -> void
{
    // Without a recent read, an unchanged version of the row does not show that the owner has stopped.
    const bool isRecentlyRead = now - m_observedAt < m_settings.m_heartbeat * 3 / 2;
    m_claimAt = m_hasReadRow && isRecentlyRead && balance.m_mayClaim ? std::max(m_unchangedSince + claimDelay(balance), m_earliestClaim) : TimePoint::max();
    if (now < m_claimAt) {
        return;
    }
    m_state = State::Claiming;
    m_claimAt = TimePoint::max();
    beginWrite({.m_shard = m_shard, .m_epoch = m_ownership.m_epoch + 1, .m_owner = m_host, .m_heartbeat = m_ownership.m_heartbeat + 1}, random);
}

auto ShardClaim::sendHeartbeat(const ClaimBalance &balance, TimePoint now, RandomSource &random) -> void
{
    if (m_write.inProgress()) {
        return;
    }
    if (m_releaseRequested) {
        m_state = State::Releasing;
        beginRelease(balance, now, random);
    } else if (now >= m_nextHeartbeat) {
        m_nextHeartbeat = now + m_settings.m_heartbeat;
        ShardOwnership next = m_ownership;
        ++next.m_heartbeat;
        beginWrite(std::move(next), random);
    }
}

auto ShardClaim::beginRelease(const ClaimBalance & /*balance*/, TimePoint /*now*/, RandomSource &random) -> void
{
    if (m_write.inProgress()) {
        return;
    }
    ShardOwnership next = m_ownership;
    ++next.m_heartbeat;
    next.m_owner.clear();
    beginWrite(std::move(next), random);
}

auto ShardClaim::waitForWrite(const ClaimBalance & /*balance*/, TimePoint /*now*/, RandomSource & /*random*/) -> void
{
}

auto ShardClaim::beginWrite(ShardOwnership next, RandomSource &random) -> void
{
    m_next = std::move(next);
    m_write.begin(m_host + "-" + hexOf(random.next64()), m_version);
}

auto ShardClaim::appendWrite(TimePoint now, RandomSource &random, ShardCommands &commands) -> void
{
    const auto action = m_write.next(now, random);
    if (action == ConditionalWrite::Action::Write) {
        commands.emplace_back(WriteOwnerRow{.m_ownership = m_next,
                                            .m_version = m_version,
                                            .m_takeover = m_state == State::Claiming,
                                            .m_epochVersion = m_epochVersion,
                                            .m_operation = std::string(m_write.operation())});
    } else if (action == ConditionalWrite::Action::ReadBack) {
        commands.emplace_back(ReadRow{.m_shard = m_shard, .m_row = ShardRow::Owner, .m_sequence = 0, .m_operation = std::string(m_write.operation())});
    }
}

auto ShardClaim::appendRead(TimePoint now, ShardCommands &commands) -> void
{
    if (m_readAtOnce || (m_state == State::Watching && now >= m_nextRead)) {
        m_readAtOnce = false;
        m_nextRead = now + m_settings.m_heartbeat;
        commands.emplace_back(ReadRow{.m_shard = m_shard, .m_row = ShardRow::Owner, .m_sequence = 0, .m_operation = {}});
    }
}

auto ShardClaim::onWritten(const RowWritten &answer, TimePoint now, RandomSource &random) -> Change
{
    using Status = CommitResult::Status;
    m_storeFailed = m_storeFailed || answer.m_status == Status::NotApplied || answer.m_status == Status::Unknown;
    const bool isOutcomeKnown = answer.m_status == Status::Committed || answer.m_status == Status::Conflict;
    if (isOutcomeKnown && answer.m_epochVersion > 0 && m_write.inProgress() && answer.m_operation == m_write.operation()) {
        m_epochVersion = answer.m_epochVersion;
    }
    return applyWriteState(m_write.onWritten(answer, now, random), answer.m_stamp, now);
}

auto ShardClaim::onRead(const RowRead &answer, TimePoint now, RandomSource &random) -> Change
{
    m_storeFailed = m_storeFailed || !answer.m_succeeded;
    if (answer.m_operation.empty()) {
        return updateFromRead(answer, now);
    }
    const bool takeover = m_state == State::Claiming;
    const auto writeState = m_write.onRead(answer, now, random);
    if (takeover && writeState == ConditionalWrite::WriteState::Committed) {
        // The takeover itself has raised the version of the epoch row by one.
        ++m_epochVersion;
    }
    return applyWriteState(writeState, answer.m_stamp, now);
}

auto ShardClaim::applyWriteState(ConditionalWrite::WriteState writeState, const RowStamp &stamp, TimePoint now) -> Change
{
    switch (writeState) {
    case ConditionalWrite::WriteState::Committed:
        return onCommitted(stamp, now);
    case ConditionalWrite::WriteState::Rejected:
        return onRejected(now);
    case ConditionalWrite::WriteState::Pending:
        break;
    }
    return Change::None;
}

auto ShardClaim::onCommitted(const RowStamp &stamp, TimePoint now) -> Change
{
    m_version = stamp.m_version;
    m_ownership = m_next;
    m_confirmedAt = m_writeBegunAt;
    m_storeFailed = false;
    if (m_state == State::Claiming) {
        m_state = State::Owning;
        m_nextHeartbeat = now + m_settings.m_heartbeat;
        return Change::Acquired;
    }
    if (m_state == State::Releasing) {
        startWatching(now);
        return Change::Released;
    }
    return Change::None;
}

auto ShardClaim::onRejected(TimePoint now) -> Change
{
    const bool owned = isOwner();
    startWatching(now);
    return owned ? Change::Lost : Change::None;
}

auto ShardClaim::updateFromRead(const RowRead &answer, TimePoint now) -> Change
{
    if (isOwner()) {
        const bool fenced = answer.m_succeeded && answer.m_ownership.m_epoch > m_ownership.m_epoch;
        return fenced ? onRejected(now) : Change::None;
    }
    if (m_state != State::Watching) {
        return Change::None;
    }
    if (!answer.m_succeeded) {
        // The owner cannot write its heartbeat either, so the time of an outage does not count towards the takeover.
        m_hasReadRow = false;
        m_failingSince = std::min(m_failingSince, now);
        return Change::None;
    }
    const bool changed = !m_hasReadRow || answer.m_stamp.m_version != m_version;
    if (m_failingSince != TimePoint::max()) {
        // After an outage, the owner's heartbeat may first wait for the timeout of a lost call and for the longest retry.
        const bool wasLong = now - m_failingSince >= m_settings.m_takeover;
        m_outageGrace = wasLong ? Duration(m_settings.m_storeTimeout + m_settings.m_heartbeat) : m_outageGrace;
        m_failingSince = TimePoint::max();
    } else if (m_hasReadRow && changed) {
        m_outageGrace = Duration(0);
    }
    if (changed) {
        m_unchangedSince = now;
    }
    if (answer.m_ownership.m_epoch != m_ownership.m_epoch || m_epochVersion == 0) {
        // The epoch row is written once for each epoch; if its version differs, the conflict returns the right one.
        m_epochVersion = answer.m_ownership.m_epoch;
    }
    m_isAligned = m_isAligned && answer.m_ownership.m_epoch == m_ownership.m_epoch;
    scheduleRead(changed, now);
    m_hasReadRow = true;
    m_observedAt = now;
    m_version = answer.m_stamp.m_version;
    m_ownership = answer.m_ownership;
    m_ownership.m_shard = m_shard;
    m_jitter = Milliseconds(hashOf(m_host, m_version) % claimJitterMs);
    return Change::None;
}

auto ShardClaim::scheduleRead(bool changed, TimePoint now) noexcept -> void
{
    // There is about one read for each heartbeat period, aligned or not.
    const Duration period = m_settings.m_heartbeat;
    if (changed) {
        m_nextRead = now + period - period / (m_isAligned ? alignedDivisor : searchDivisor);
        return;
    }
    // This read came shortly before the heartbeat, so the next one is made later within its period. A row that has been
    // unchanged for longer than one and a half periods does not show when the owner writes.
    m_isAligned = now - m_unchangedSince < period + period / 2;
    m_nextRead = now + period + period / searchDivisor;
}

auto ShardClaim::delayClaim(TimePoint until) noexcept -> void
{
    m_earliestClaim = until;
}

auto ShardClaim::requestCheck() noexcept -> void
{
    m_readAtOnce = true;
}

auto ShardClaim::release() noexcept -> void
{
    m_releaseRequested = true;
}

auto ShardClaim::relinquish(TimePoint now) noexcept -> void
{
    startWatching(now);
}

auto ShardClaim::startWatching(TimePoint now) noexcept -> void
{
    m_write.abandon();
    m_state = State::Watching;
    m_hasReadRow = false;
    m_failingSince = TimePoint::max();
    m_outageGrace = Duration(0);
    m_isAligned = false;
    m_releaseRequested = false;
    m_nextRead = now;
    m_claimAt = TimePoint::max();
}

auto ShardClaim::mayAct(TimePoint now) const noexcept -> bool
{
    return isOwner() && (m_storeFailed || now - m_confirmedAt < m_settings.m_ownerLease);
}

auto ShardClaim::claimDelay(const ClaimBalance &balance) const noexcept -> Duration
{
    // Each shard above the share lengthens the delay, so that schedulers with fewer shards claim first.
    const std::size_t excess = balance.m_owned < balance.m_share ? 0 : balance.m_owned - balance.m_share + 1;
    if (m_ownership.m_owner.empty()) {
        // Other schedulers may read a released row up to one period later, and can claim it only then.
        const Duration late = excess == 0 ? Duration(0) : Duration(m_settings.m_heartbeat / 2);
        return m_jitter + late + m_settings.m_heartbeat * static_cast<std::int64_t>(excess);
    }
    const auto parts = static_cast<std::int64_t>(std::min(excess, maxExcessSteps));
    return m_outageGrace + m_settings.m_takeover + m_jitter + m_settings.m_heartbeat * parts / excessDelayDivisor;
}

auto ShardClaim::deadline() const noexcept -> TimePoint
{
    if (m_readAtOnce) {
        return TimePoint::min();
    }
    if (m_write.inProgress()) {
        return m_write.deadline();
    }
    if (m_state == State::Watching) {
        return std::min(m_nextRead, m_claimAt);
    }
    return m_releaseRequested ? TimePoint::min() : m_nextHeartbeat;
}
}

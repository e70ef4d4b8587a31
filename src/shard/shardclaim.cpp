#include "burdockspur/shard/shardclaim.hpp"

#include <algorithm>
#include <array>

namespace Burdockspur
{
namespace
{
// Schedulers that start together read the free rows together; the jitter spreads their claims.
constexpr std::uint32_t claimJitterMs = 100;
// Reads move towards the owner's heartbeat by these parts of the heartbeat period. A takeover waits from the first
// read after the last heartbeat, so a read that follows closely shortens it. Once aligned, the smaller step keeps
// the reads that come too early, after which a heartbeat is seen late, below a few percent.
constexpr int searchStep = 10;
constexpr int alignedStep = 500;
// Excess shards delay the takeover from a silent owner by this part of a heartbeat each, at most by half of one.
constexpr int excessParts = 4;
constexpr std::size_t maxExcessParts = 2;
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
    static constexpr std::array<TickMember, 4> table{&ShardClaim::watch, &ShardClaim::idle, &ShardClaim::heartbeat, &ShardClaim::beginRelease};
    m_begunAt = m_write.inProgress() ? m_begunAt : now;
    (this->*table[static_cast<std::size_t>(m_state)])(balance, now, random);
    appendWrite(now, random, commands);
    appendRead(now, commands);
}

auto ShardClaim::watch(const ClaimBalance &balance, TimePoint now, RandomSource &random) -> void
{
    // Without recent answers, the unchanged count says nothing about the owner.
    const bool recent = now - m_observedAt < m_settings.m_heartbeat * 3 / 2;
    m_claimAt = m_seen && recent && balance.m_mayClaim ? std::max(m_unchangedSince + claimDelay(balance), m_notBefore) : TimePoint::max();
    if (now < m_claimAt) {
        return;
    }
    m_state = State::Claiming;
    m_claimAt = TimePoint::max();
    begin({.m_shard = m_shard, .m_epoch = m_ownership.m_epoch + 1, .m_owner = m_host, .m_heartbeat = m_ownership.m_heartbeat + 1}, random);
}

auto ShardClaim::heartbeat(const ClaimBalance &balance, TimePoint now, RandomSource &random) -> void
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
        begin(std::move(next), random);
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
    begin(std::move(next), random);
}

auto ShardClaim::idle(const ClaimBalance & /*balance*/, TimePoint /*now*/, RandomSource & /*random*/) -> void
{
}

auto ShardClaim::begin(ShardOwnership next, RandomSource &random) -> void
{
    m_next = std::move(next);
    m_write.begin(m_host + "-" + hexOf(random.next64()), m_version);
}

auto ShardClaim::appendWrite(TimePoint now, RandomSource &random, ShardCommands &commands) -> void
{
    const auto need = m_write.next(now, random);
    if (need == ConditionalWrite::Need::Write) {
        commands.emplace_back(WriteOwnerRow{.m_ownership = m_next,
                                            .m_version = m_version,
                                            .m_takeover = m_state == State::Claiming,
                                            .m_epochVersion = m_epochVersion,
                                            .m_operation = std::string(m_write.operation())});
    } else if (need == ConditionalWrite::Need::ReadBack) {
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
    const bool known = answer.m_status == Status::Committed || answer.m_status == Status::Conflict;
    if (known && answer.m_epochVersion > 0 && m_write.inProgress() && answer.m_operation == m_write.operation()) {
        m_epochVersion = answer.m_epochVersion;
    }
    return settle(m_write.onWritten(answer, now, random), answer.m_stamp, now);
}

auto ShardClaim::onRead(const RowRead &answer, TimePoint now, RandomSource &random) -> Change
{
    m_storeFailed = m_storeFailed || !answer.m_succeeded;
    if (answer.m_operation.empty()) {
        return observe(answer, now);
    }
    const bool takeover = m_state == State::Claiming;
    const auto verdict = m_write.onRead(answer, now, random);
    if (takeover && verdict == ConditionalWrite::Verdict::Committed) {
        // Its own write raised the row's version by one.
        ++m_epochVersion;
    }
    return settle(verdict, answer.m_stamp, now);
}

auto ShardClaim::settle(ConditionalWrite::Verdict verdict, const RowStamp &stamp, TimePoint now) -> Change
{
    switch (verdict) {
    case ConditionalWrite::Verdict::Committed:
        return committed(stamp, now);
    case ConditionalWrite::Verdict::Rejected:
        return rejected(now);
    case ConditionalWrite::Verdict::Pending:
        break;
    }
    return Change::None;
}

auto ShardClaim::committed(const RowStamp &stamp, TimePoint now) -> Change
{
    m_version = stamp.m_version;
    m_ownership = m_next;
    m_confirmedAt = m_begunAt;
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

auto ShardClaim::rejected(TimePoint now) -> Change
{
    const bool owned = isOwner();
    startWatching(now);
    return owned ? Change::Lost : Change::None;
}

auto ShardClaim::observe(const RowRead &answer, TimePoint now) -> Change
{
    if (isOwner()) {
        const bool fenced = answer.m_succeeded && answer.m_ownership.m_epoch > m_ownership.m_epoch;
        return fenced ? rejected(now) : Change::None;
    }
    if (m_state != State::Watching) {
        return Change::None;
    }
    if (!answer.m_succeeded) {
        // The owner cannot write its heartbeat either, so the time without a store does not count.
        m_seen = false;
        m_failingSince = std::min(m_failingSince, now);
        return Change::None;
    }
    const bool changed = !m_seen || answer.m_stamp.m_version != m_version;
    if (m_failingSince != TimePoint::max()) {
        // After an outage the owner's heartbeat may first wait for the loss of a call and for the longest retry.
        const bool wasLong = now - m_failingSince >= m_settings.m_takeover;
        m_grace = wasLong ? Duration(m_settings.m_storeTimeout + m_settings.m_heartbeat) : m_grace;
        m_failingSince = TimePoint::max();
    } else if (m_seen && changed) {
        m_grace = Duration(0);
    }
    if (changed) {
        m_unchangedSince = now;
    }
    if (answer.m_ownership.m_epoch != m_ownership.m_epoch || m_epochVersion == 0) {
        // The epoch row is written once for each epoch; if its version differs, the conflict tells it.
        m_epochVersion = answer.m_ownership.m_epoch;
    }
    m_isAligned = m_isAligned && answer.m_ownership.m_epoch == m_ownership.m_epoch;
    scheduleRead(changed, now);
    m_seen = true;
    m_observedAt = now;
    m_version = answer.m_stamp.m_version;
    m_ownership = answer.m_ownership;
    m_ownership.m_shard = m_shard;
    m_jitter = Milliseconds(hashOf(m_host, m_version) % claimJitterMs);
    return Change::None;
}

auto ShardClaim::scheduleRead(bool changed, TimePoint now) noexcept -> void
{
    // An owner beats once a period, so there is about one read a period whether aligned or not.
    const Duration period = m_settings.m_heartbeat;
    if (changed) {
        m_nextRead = now + period - period / (m_isAligned ? alignedStep : searchStep);
        return;
    }
    // The heartbeat comes soon after this read, so the next read has to be somewhat later within its period.
    // A row that is unchanged for longer tells nothing about the owner's phase.
    m_isAligned = now - m_unchangedSince < period + period / 2;
    m_nextRead = now + period + period / searchStep;
}

auto ShardClaim::holdOff(TimePoint until) noexcept -> void
{
    m_notBefore = until;
}

auto ShardClaim::doubt() noexcept -> void
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
    m_seen = false;
    m_failingSince = TimePoint::max();
    m_grace = Duration(0);
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
    // Each shard above the share waits longer, so that schedulers with fewer shards claim first.
    const std::size_t excess = balance.m_owned < balance.m_share ? 0 : balance.m_owned - balance.m_share + 1;
    if (m_ownership.m_owner.empty()) {
        // Others read a released row up to one period later, and may claim it only then.
        const Duration late = excess == 0 ? Duration(0) : Duration(m_settings.m_heartbeat / 2);
        return m_jitter + late + m_settings.m_heartbeat * static_cast<std::int64_t>(excess);
    }
    const auto parts = static_cast<std::int64_t>(std::min(excess, maxExcessParts));
    return m_grace + m_settings.m_takeover + m_jitter + m_settings.m_heartbeat * parts / excessParts;
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

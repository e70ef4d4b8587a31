#include "burdockspur/shard/shardduty.hpp"

#include "burdockspur/core/invariant.hpp"
#include "burdockspur/operations/log.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace Burdockspur
{
namespace
{
constexpr Milliseconds metricsPeriod{1'000};
constexpr Milliseconds recoveryRetry{10'000};
constexpr Milliseconds minSleep{1}; // prevents a busy loop when a defect leaves a deadline in the past

[[nodiscard]] auto randomSeed() -> std::uint64_t
{
    std::random_device device;
    return (std::uint64_t(device()) << 32U) | device();
}
}

ShardDuty::ShardDuty(const SchedulerSettings &settings, SchedulerRings &rings, SchedulerMetrics &metrics, StatusText &status, WakeDescriptor &drained)
    : Duty("shards")
    , m_settings(settings)
    , m_rings(rings)
    , m_metrics(metrics)
    , m_status(status)
    , m_drained(drained)
    , m_random(randomSeed())
    , m_balancer(settings.m_rebalance)
{
}

ShardDuty::~ShardDuty()
{
    stop();
}

auto ShardDuty::requestStop() -> void
{
    m_rings.m_shards.close();
}

auto ShardDuty::run() -> void
{
    std::vector<ShardInput> inputs;
    while (!m_rings.m_shards.isClosed()) {
        inputs.clear();
        m_rings.m_shards.takeUntil(std::max(deadline(), Clock::now() + minSleep), inputs);
        m_now = Clock::now();
        for (auto &input : inputs) {
            std::visit(
                [this](auto &alternative) {
                    process(alternative);
                },
                input);
            executeAll();
        }
        tickAll();
        advanceDrain();
        rebalance();
        publishOwnership();
        publishMetrics();
        m_metrics.observeTick(Clock::now() - m_now);
    }
}

auto ShardDuty::deadline() const noexcept -> TimePoint
{
    TimePoint earliest = std::min({m_nextMetricsAt, m_drainEnd, m_balancer.deadline()});
    for (const auto &[id, shard] : m_shards) {
        earliest = std::min({earliest, shard.m_claim.deadline(), shard.m_recoverAt, shard.m_handoverEnd});
        if (shard.m_scheduler && shard.m_claim.mayAct(m_now)) {
            earliest = std::min(earliest, shard.m_scheduler->deadline());
        }
    }
    return earliest;
}

auto ShardDuty::tickAll() -> void
{
    for (auto &[id, shard] : m_shards) {
        tick(shard);
    }
    executeAll();
}

auto ShardDuty::tick(OwnedShard &shard) -> void
{
    if (m_now >= shard.m_claim.deadline()) {
        shard.m_claim.tick(balance(), m_now, m_random, m_commands);
    }
    if (m_now >= shard.m_recoverAt) {
        shard.m_recoverAt = m_now + recoveryRetry;
        const ShardOwnership &ownership = shard.m_claim.ownership();
        m_commands.emplace_back(RecoverShard{.m_shard = ownership.m_shard, .m_epoch = ownership.m_epoch});
    }
    if (shard.m_scheduler) {
        shard.m_scheduler->setWritesPaused(shard.m_claim.isHeartbeatLate());
    }
    if (shard.m_scheduler && shard.m_claim.mayAct(m_now) && m_now >= shard.m_scheduler->deadline()) {
        shard.m_scheduler->tick(m_now, m_random, m_commands);
    }
}

auto ShardDuty::executeAll() -> void
{
    const ShardCommands commands = std::exchange(m_commands, {});
    for (auto command : commands) {
        std::visit(
            [this](auto &alternative) {
                execute(alternative);
            },
            command);
    }
}

template<typename Command>
auto ShardDuty::execute(Command &command) -> void
{
    constexpr bool forWorker = std::is_constructible_v<WorkerCommand, Command>;
    bool isPushed = false;
    if constexpr (forWorker) {
        isPushed = m_rings.m_workers.tryPush(std::move(command));
    } else {
        isPushed = m_rings.m_platform.tryPush(std::move(command));
    }
    if (!isPushed) {
        // The decision code repeats every command after a deadline.
        m_metrics.countRingFull();
        logEvent(LogLevel::Warning, "ring_full", {{"ring", forWorker ? "workers" : "platform"}, {"from", "shards"}});
    }
}

auto ShardDuty::execute(AnswerRequest &command) -> void
{
    if (command.m_result) {
        answer(command.m_ticket, JobReply{.m_job = std::move(*command.m_result)});
    } else {
        answer(command.m_ticket, ErrorReply{.m_error = std::move(command.m_result.error())});
    }
}

auto ShardDuty::execute(CheckOwnership &command) -> void
{
    if (OwnedShard *const shard = find(command.m_shard)) {
        shard->m_claim.requestCheck();
    }
}

auto ShardDuty::dispatch(OwnedShard &shard, const ShardEvent &event) -> void
{
    if (!shard.m_scheduler) {
        return;
    }
    shard.m_scheduler->handle(event, m_now, m_random, m_commands);
    if (shard.m_scheduler->isFenced()) {
        dropScheduler(shard);
        shard.m_claim.relinquish(m_now);
    }
}

auto ShardDuty::process(EntryRequest &input) -> void
{
    std::visit(
        [&]<typename Body>(const Body &body) {
            if constexpr (requires { serve(input.m_ticket, body); }) {
                serve(input.m_ticket, body);
            } else {
                answerError(input.m_ticket, ErrorCode::BadRequest, "the message is not a request");
            }
        },
        input.m_body);
}

auto ShardDuty::process(RowWritten &input) -> void
{
    m_metrics.countStoreResult(input.m_status);
    OwnedShard *const shard = find(input.m_shard);
    if (shard == nullptr) {
        return;
    }
    if (input.m_row == ShardRow::Owner) {
        applyClaimChange(*shard, shard->m_claim.onWritten(input, m_now, m_random));
    } else {
        dispatch(*shard, input);
    }
}

auto ShardDuty::process(RowRead &input) -> void
{
    OwnedShard *const shard = find(input.m_shard);
    if (shard == nullptr) {
        return;
    }
    if (input.m_row != ShardRow::Owner) {
        dispatch(*shard, input);
        return;
    }
    applyClaimChange(*shard, shard->m_claim.onRead(input, m_now, m_random));
    // The row that was read may allow a claim before the deadline of the claim.
    shard->m_claim.tick(balance(), m_now, m_random, m_commands);
}

auto ShardDuty::process(SnapshotStored &input) -> void
{
    if (OwnedShard *const shard = find(input.m_shard)) {
        dispatch(*shard, input);
    }
}

auto ShardDuty::process(ShardRecovered &input) -> void
{
    OwnedShard *const shard = find(input.m_shard);
    if (shard == nullptr || shard->m_scheduler || !shard->m_claim.isOwner() || shard->m_claim.ownership().m_epoch != input.m_epoch) {
        return;
    }
    if (!input.m_content) {
        shard->m_recoverAt = m_now + metricsPeriod;
        return;
    }
    shard->m_recoverAt = TimePoint::max();
    shard->m_exportedCounters = {};
    shard->m_scheduler = std::make_unique<ShardScheduler>(
        OwnershipTerm{
            .m_shard = input.m_shard, .m_epoch = input.m_epoch, .m_epochVersion = shard->m_claim.epochVersion(), .m_host = m_settings.m_host, .m_since = m_now},
        m_settings,
        m_policy);
    shard->m_scheduler->recover(*input.m_content);
    dispatch(*shard, policy());
    dispatch(*shard, workersOf(input.m_shard));
    if (m_draining) {
        shard->m_scheduler->beginDrain();
    }
    m_ownershipChanged = true;
    logEvent(LogLevel::Info,
             "shard_recovered",
             {{"shard", input.m_shard},
              {"epoch", input.m_epoch},
              {"records", input.m_content->m_records.size()},
              {"row", input.m_content->m_lastSequence},
              {"reads", input.m_content->m_reads}});
}

auto ShardDuty::process(LeaseAnswered &input) -> void
{
    if (OwnedShard *const shard = find(input.m_shard)) {
        dispatch(*shard, input);
    }
}

auto ShardDuty::process(StartAnswered &input) -> void
{
    if (OwnedShard *const shard = find(input.m_shard)) {
        dispatch(*shard, input);
    }
}

auto ShardDuty::process(StopAnswered &input) -> void
{
    if (OwnedShard *const shard = find(input.m_shard)) {
        dispatch(*shard, input);
    }
}

auto ShardDuty::process(CheckpointAnswered &input) -> void
{
    if (OwnedShard *const shard = find(input.m_shard)) {
        dispatch(*shard, input);
    }
}

auto ShardDuty::process(Configuration &input) -> void
{
    if (m_configuration && m_configuration->m_shards != input.m_shards) {
        logEvent(LogLevel::Error, "shard_count_changed", {{"shards", m_configuration->m_shards}, {"ignored", input.m_shards}});
        input.m_shards = m_configuration->m_shards;
    }
    requireInvariant(!m_configuration || input.m_version >= m_configuration->m_version, "configuration_never_reverts", {});
    m_configuration = std::move(input);
    if (m_listing && m_shards.empty()) {
        HostListing listing = *m_listing;
        process(listing);
    }
    for (auto &[id, shard] : m_shards) {
        dispatch(shard, policy());
    }
    m_ownershipChanged = true;
}

auto ShardDuty::process(HostListing &input) -> void
{
    const std::vector<std::string> before = liveSchedulers();
    m_listing = std::move(input);
    if (liveSchedulers() != before) {
        m_balancer.onSchedulersChanged();
    }
    if (!m_configuration) {
        return;
    }
    // The claims are created only once the workers and the number of schedulers are known.
    for (ShardId id = 0; m_shards.size() < m_configuration->m_shards; ++id) {
        m_shards.try_emplace(id, id, m_settings.m_host, m_settings);
    }
    for (auto &[id, shard] : m_shards) {
        dispatch(shard, workersOf(id));
    }
}

auto ShardDuty::process(SchedulerDrainRequested & /*input*/) -> void
{
    if (m_draining) {
        return;
    }
    m_draining = true;
    m_balancer.onSchedulersChanged();
    m_drainEnd = m_now + m_settings.m_drain;
    m_ownershipChanged = true;
    logEvent(LogLevel::Info, "drain_begins", {{"shards", balance().m_owned}});
    for (auto &[id, shard] : m_shards) {
        shard.m_handoverEnd = TimePoint::max();
        if (shard.m_scheduler) {
            shard.m_scheduler->beginDrain();
        }
    }
}

auto ShardDuty::advanceDrain() -> void
{
    if (!m_draining || m_drainEnd == TimePoint::max()) {
        return;
    }
    bool owns = false;
    for (auto &[id, shard] : m_shards) {
        owns = owns || shard.m_claim.isOwner() || shard.m_claim.isClaiming();
        if (shard.m_claim.isOwner() && (!shard.m_scheduler || shard.m_scheduler->isDurable())) {
            shard.m_claim.release();
        }
    }
    if (!owns || m_now >= m_drainEnd) {
        logEvent(owns ? LogLevel::Warning : LogLevel::Info, "drain_ends", {{"released", owns ? "false" : "true"}});
        m_drainEnd = TimePoint::max();
        m_drained.signal();
    }
}

auto ShardDuty::rebalance() -> void
{
    if (m_draining || !m_configuration) {
        return;
    }
    if (const auto handover = m_balancer.shardInHandover()) {
        advanceHandover(*find(*handover));
        return;
    }
    m_balanced.clear();
    for (const auto &[id, shard] : m_shards) {
        if (shard.m_claim.isOwner() || shard.m_claim.isClaiming()) {
            m_balanced.push_back({.m_shard = id,
                                  .m_isRecovered = shard.m_scheduler != nullptr,
                                  .m_storeFailed = shard.m_claim.hasStoreFailed(),
                                  .m_jobs = shard.m_scheduler ? shard.m_scheduler->jobs().size() : 0});
        }
    }
    if (const auto chosen = m_balancer.choose(m_balanced, m_shards.size(), liveSchedulers().size(), m_now)) {
        beginHandover(*find(*chosen));
    }
}

auto ShardDuty::beginHandover(OwnedShard &shard) -> void
{
    const ShardOwnership &ownership = shard.m_claim.ownership();
    m_metrics.countHandover();
    logEvent(LogLevel::Info, "handover_begins", {{"shard", ownership.m_shard}, {"epoch", ownership.m_epoch}, {"owned", m_balanced.size()}});
    shard.m_scheduler->beginDrain();
    shard.m_handoverEnd = m_now + m_settings.m_drain;
    advanceHandover(shard);
}

auto ShardDuty::advanceHandover(OwnedShard &shard) -> void
{
    if (shard.m_claim.isOwner()) {
        // Workers may report ended attempts continuously, so the wait is bounded. They report the ends that are not durable
        // yet to the next owner again.
        const bool isReady = !shard.m_scheduler || shard.m_scheduler->isQuiescent() || m_now >= shard.m_handoverEnd;
        if (shard.m_handoverEnd != TimePoint::max() && isReady) {
            shard.m_handoverEnd = TimePoint::max();
            shard.m_claim.release();
        }
        return;
    }
    const std::string_view owner = shard.m_claim.ownership().m_owner;
    if (!shard.m_claim.isClaiming() && !owner.empty() && owner != m_settings.m_host) {
        m_balancer.endHandover(true);
    }
}

auto ShardDuty::applyClaimChange(OwnedShard &shard, ShardClaim::Change change) -> void
{
    if (change == ShardClaim::Change::None) {
        return;
    }
    const ShardOwnership &ownership = shard.m_claim.ownership();
    if (change == ShardClaim::Change::Acquired) {
        m_metrics.countTakeover();
        if (m_balancer.shardInHandover() == ownership.m_shard) {
            logEvent(LogLevel::Info, "handover_not_taken", {{"shard", ownership.m_shard}, {"epoch", ownership.m_epoch}});
            m_balancer.endHandover(false);
        }
        shard.m_recoverAt = m_now;
        logEvent(LogLevel::Info, "shard_acquired", {{"shard", ownership.m_shard}, {"epoch", ownership.m_epoch}});
        return;
    }
    const bool lost = change == ShardClaim::Change::Lost;
    logEvent(lost ? LogLevel::Warning : LogLevel::Info, lost ? "shard_lost" : "shard_released", {{"shard", ownership.m_shard}, {"epoch", ownership.m_epoch}});
    if (!lost && m_balancer.shardInHandover() == ownership.m_shard) {
        shard.m_claim.delayClaim(m_now + m_settings.m_takeover);
    }
    dropScheduler(shard);
}

auto ShardDuty::dropScheduler(OwnedShard &shard) -> void
{
    shard.m_recoverAt = TimePoint::max();
    shard.m_handoverEnd = TimePoint::max();
    if (shard.m_scheduler) {
        shard.m_scheduler->abandon(m_commands);
        m_metrics.add(shard.m_exportedCounters, shard.m_scheduler->counters());
        shard.m_scheduler.reset();
    }
    m_ownershipChanged = true;
}

auto ShardDuty::find(ShardId shard) -> OwnedShard *
{
    const auto found = m_shards.find(shard);
    return found == m_shards.end() ? nullptr : &found->second;
}

auto ShardDuty::balance() const -> ClaimBalance
{
    ClaimBalance balance;
    balance.m_mayClaim = !m_draining;
    const std::size_t schedulers = std::max<std::size_t>(liveSchedulers().size(), 1);
    balance.m_share = (m_shards.size() + schedulers - 1) / schedulers;
    for (const auto &[id, shard] : m_shards) {
        balance.m_owned += shard.m_claim.isOwner() || shard.m_claim.isClaiming() ? 1 : 0;
    }
    return balance;
}

auto ShardDuty::liveSchedulers() const -> std::vector<std::string>
{
    std::vector<std::string> names;
    if (m_listing) {
        for (const auto &host : m_listing->m_hosts) {
            if (host.m_role == HostRole::Entry && host.m_state == HostState::Live) {
                // The address and the port distinguish a host from one that replaces it under the same name.
                names.push_back(host.m_name + " " + host.m_address + " " + std::to_string(host.m_framePort));
            }
        }
    }
    return names;
}

auto ShardDuty::workersOf(ShardId shard) const -> WorkersListed
{
    WorkersListed listed;
    for (const auto &host : m_listing->m_hosts) {
        if (host.m_role == HostRole::Worker && shardOf(host.m_name, m_configuration->m_shards) == shard) {
            listed.m_workers.push_back(host);
        }
    }
    return listed;
}

auto ShardDuty::policy() const -> PolicyChanged
{
    PolicyChanged policy;
    for (const auto &service : m_configuration->m_services) {
        policy.m_reservation += service.m_reservation;
    }
    const auto preset = std::ranges::find(m_configuration->m_presets, m_configuration->m_presetInForce, &Preset::m_name);
    policy.m_acceptBatch = preset == m_configuration->m_presets.end() || preset->m_acceptBatch;
    return policy;
}
}

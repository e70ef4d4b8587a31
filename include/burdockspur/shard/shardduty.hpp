#pragma once

#include "burdockspur/contract/configuration.hpp"
#include "burdockspur/core/duty.hpp"
#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/core/wakedescriptor.hpp"
#include "burdockspur/shard/bestfitspread.hpp"
#include "burdockspur/shard/ownedshard.hpp"
#include "burdockspur/shard/schedulermetrics.hpp"
#include "burdockspur/shard/schedulerrings.hpp"
#include "burdockspur/shard/schedulersettings.hpp"
#include "burdockspur/shard/shardbalancer.hpp"
#include "burdockspur/shard/statustext.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Burdockspur
{
/// @brief Thread `shards`: runs the claim of every shard and the scheduler of each owned shard.
///
/// The thread sleeps until an input arrives or until the next deadline of a claim or scheduler.
class ShardDuty : public Duty
{
public:
    /// @param settings kept by reference
    /// @param rings kept by reference
    /// @param metrics kept by reference
    /// @param status receives the text of `GET /v1/status`
    /// @param drained signalled once, when a drain has ended
    ShardDuty(const SchedulerSettings &settings, SchedulerRings &rings, SchedulerMetrics &metrics, StatusText &status, WakeDescriptor &drained);
    ~ShardDuty() override;
    ShardDuty(const ShardDuty &) = delete;
    ShardDuty(ShardDuty &&) = delete;
    auto operator=(const ShardDuty &) -> ShardDuty & = delete;
    auto operator=(ShardDuty &&) -> ShardDuty & = delete;

protected:
    auto run() -> void override;
    auto requestStop() -> void override;

private:
    // Inputs: one function for each alternative of ShardInput.
    auto process(EntryRequest &input) -> void;
    auto process(RowWritten &input) -> void;
    auto process(RowRead &input) -> void;
    auto process(SnapshotStored &input) -> void;
    auto process(ShardRecovered &input) -> void;
    auto process(LeaseAnswered &input) -> void;
    auto process(StartAnswered &input) -> void;
    auto process(StopAnswered &input) -> void;
    auto process(CheckpointAnswered &input) -> void;
    auto process(Configuration &input) -> void;
    auto process(HostListing &input) -> void;
    auto process(SchedulerDrainRequested &input) -> void;

    // Requests of entry daemons: one function for each message body that is a request.
    auto serve(const EntryTicket &ticket, const SubmitJob &request) -> void;
    auto serve(const EntryTicket &ticket, const CancelJob &request) -> void;
    auto serve(const EntryTicket &ticket, const QueryJob &request) -> void;
    auto serve(const EntryTicket &ticket, const ListJobs &request) -> void;

    // Commands: the template pushes the alternatives of ShardCommand that another thread executes.
    auto execute(AnswerRequest &command) -> void;
    auto execute(CheckOwnership &command) -> void;
    template<typename Command>
    auto execute(Command &command) -> void;

    auto dispatch(OwnedShard &shard, const ShardEvent &event) -> void;
    auto applyClaimChange(OwnedShard &shard, ShardClaim::Change change) -> void;
    auto tick(OwnedShard &shard) -> void;
    auto tickAll() -> void;
    auto executeAll() -> void;
    auto dropScheduler(OwnedShard &shard) -> void;
    auto advanceDrain() -> void;
    auto rebalance() -> void;
    auto beginHandover(OwnedShard &shard) -> void;
    auto advanceHandover(OwnedShard &shard) -> void;
    auto answer(const EntryTicket &ticket, PeerMessage::Body body) -> void;
    auto answerError(const EntryTicket &ticket, ErrorCode code, std::string message) -> void;
    auto publishOwnership() -> void;
    auto publishMetrics() -> void;

    [[nodiscard]] auto find(ShardId shard) -> OwnedShard *;
    [[nodiscard]] auto schedulerOf(std::string_view job, const EntryTicket &ticket) -> OwnedShard *;
    [[nodiscard]] auto balance() const -> ClaimBalance;
    [[nodiscard]] auto liveSchedulers() const -> std::vector<std::string>;
    [[nodiscard]] auto workersOf(ShardId shard) const -> WorkersListed;
    [[nodiscard]] auto policy() const -> PolicyChanged;
    [[nodiscard]] auto deadline() const noexcept -> TimePoint;

    const SchedulerSettings &m_settings;
    SchedulerRings &m_rings;
    SchedulerMetrics &m_metrics;
    StatusText &m_status;
    WakeDescriptor &m_drained;
    RandomSource m_random;
    BestFitSpread m_policy;
    ShardBalancer m_balancer;
    std::map<ShardId, OwnedShard> m_shards;
    std::optional<Configuration> m_configuration;
    std::optional<HostListing> m_listing;
    std::vector<BalancedShard> m_balanced;
    ShardCommands m_commands;
    TimePoint m_now;
    TimePoint m_nextMetricsAt;
    TimePoint m_drainEnd = TimePoint::max();
    bool m_draining = false;
    bool m_ownershipChanged = false;
};
}

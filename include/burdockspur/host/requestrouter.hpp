#pragma once

#include "burdockspur/host/exchangetable.hpp"
#include "burdockspur/host/idempotencytable.hpp"
#include "burdockspur/host/keymapkeeper.hpp"
#include "burdockspur/host/leastloadedpicker.hpp"
#include "burdockspur/host/rendezvouspicker.hpp"
#include "burdockspur/host/retrybudget.hpp"
#include "burdockspur/host/routercommand.hpp"
#include "burdockspur/host/routerevent.hpp"
#include "burdockspur/host/routerlimits.hpp"
#include "burdockspur/host/targettable.hpp"
#include "burdockspur/host/waitingqueues.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
class RandomSource;

/// @brief Decides on the admission, the worker, the retries and the outcome of each service request of an entry host.
///
/// The router consumes events and produces commands; it uses no socket, thread, codec or clock. It answers `refused`
/// only if no worker can have run the request, and resends a non-idempotent request only after proof that it did
/// not run.
///
/// To settle a request is to ask its worker for the outcome. A worker that never started the request replies so and
/// stores a tombstone, which makes it reject the request id from then on. This reply is a proof only if it comes from
/// the incarnation that the router knew before it forwarded the request: a restarted worker has lost its records.
///
/// A request with an idempotency key has the same request id on every entry host. The router tries the workers in
/// rendezvous order, and proceeds to the next one only after the current one has stored a tombstone for the id. A
/// non-idempotent request with a key is sent only to the home worker given by the key map, and only to the incarnation
/// listed there. After a recent change that affects the home, the router first asks every other entry daemon whether
/// it has sent the request.
///
/// @code
/// RequestRouter router(limits, "zone-a");
/// router.handle(HostsChanged{listing}, now, random, commands);
/// router.handle(RequestArrived{ticket, std::move(request)}, now, random, commands);
/// sleepUntil(router.nextDeadline());
/// @endcode
class RequestRouter
{
public:
    /// @param limits capacities, timeouts and backoffs
    /// @param ownZone zone of this entry host
    /// @param self this entry daemon in the key map; with an empty name the key map is disabled, and a key runs at most
    /// once only as long as no worker restarts
    RequestRouter(const RouterLimits &limits, std::string_view ownZone, KeyMapIdentity self = {});
    ~RequestRouter() = default;
    RequestRouter(const RequestRouter &) = delete;
    RequestRouter(RequestRouter &&) = delete;
    auto operator=(const RequestRouter &) -> RequestRouter & = delete;
    auto operator=(RequestRouter &&) -> RequestRouter & = delete;

    /// @brief Handles one event.
    /// @param event what happened
    /// @param now current time; must not be earlier than in the previous call
    /// @param random source of random choices and jitter
    /// @param commands receives the resulting commands at its end
    auto handle(RouterEvent &&event, TimePoint now, RandomSource &random, std::vector<RouterCommand> &commands) -> void;

    /// @brief Returns when TimerExpired is due, or TimePoint::max().
    [[nodiscard]] auto nextDeadline() const noexcept -> TimePoint;

    /// @brief Returns true if a drain was requested and no request is in progress.
    [[nodiscard]] auto isDrained() const noexcept -> bool;

    /// @brief Returns the number of callers that wait for an answer.
    [[nodiscard]] auto inFlight() const noexcept -> std::size_t;

    /// @brief Returns the number of requests that wait for a free slot.
    [[nodiscard]] auto queued() const noexcept -> std::size_t;

    /// @brief Returns the workers with their state as tracked by this router.
    [[nodiscard]] auto targets() const noexcept -> const TargetTable &;

    /// @brief Returns the tracker of the key map.
    [[nodiscard]] auto keyMap() const noexcept -> const KeyMapKeeper &;

private:
    struct EventContext {
        TimePoint m_now;
        RandomSource &m_random;
        std::vector<RouterCommand> &m_commands;
    };

    template<typename Event>
    auto dispatch(RouterEvent &&event, EventContext &context) -> void
    {
        if (auto *const content = std::get_if<Event>(&event); content != nullptr) {
            on(std::move(*content), context);
        }
    }

    auto on(RequestArrived &&event, EventContext &context) -> void;
    auto on(CallerDisconnected &&event, EventContext &context) -> void;
    auto on(TargetReplied &&event, EventContext &context) -> void;
    auto on(SettleReplied &&event, EventContext &context) -> void;
    auto on(HostsChanged &&event, EventContext &context) -> void;
    auto on(ConfigurationChanged &&event, EventContext &context) -> void;
    auto on(DrainRequested &&event, EventContext &context) -> void;
    auto on(KeyMapRead &&event, EventContext &context) -> void;
    auto on(KeyMapNotWritten &&event, EventContext &context) -> void;
    auto on(PeerQueryReceived &&event, EventContext &context) -> void;
    auto on(PeerReplied &&event, EventContext &context) -> void;
    auto on(TimerExpired &&event, EventContext &context) -> void;

    // Admission; the admit functions match the values of KeyState.
    [[nodiscard]] auto admissionError(const ServiceRequest &request, TimePoint now) const -> std::optional<ErrorCode>;
    auto admitByKey(RequestArrived &&event, EventContext &context) -> void;
    auto admitNew(RequestArrived &&event, EventContext &context) -> void;
    auto admitDuplicate(RequestArrived &&event, EventContext &context) -> void;
    auto admitAnswered(RequestArrived &&event, EventContext &context) -> void;
    auto admitUnresolved(RequestArrived &&event, EventContext &context) -> void;
    auto admitConflict(RequestArrived &&event, EventContext &context) -> void;
    [[nodiscard]] auto openExchange(RequestArrived &&event, EventContext &context) -> Exchange *;

    // Choice of the worker, queueing and forwarding.
    auto place(Exchange &exchange, EventContext &context) -> void;
    auto placeAnywhere(Exchange &exchange, EventContext &context) -> void;
    auto placeByKey(Exchange &exchange, EventContext &context) -> void;
    auto placeByKeyMap(Exchange &exchange, EventContext &context) -> void;
    auto sendTo(Exchange &exchange, Target &target, EventContext &context) -> void;
    auto enqueue(Exchange &exchange, WaitingQueues &queues, std::string_view name, EventContext &context) -> void;
    auto forward(Exchange &exchange, Target &target, EventContext &context) -> void;
    auto dispatchQueued(EventContext &context) -> void;
    [[nodiscard]] auto takeQueued(const Target &target, TimePoint now) -> Exchange *;

    // Replies of workers, one function for each TargetReply::Status and SettleReply::Status.
    auto handleTargetAnswer(Exchange &exchange, TargetReply &&reply, EventContext &context) -> void;
    auto handleTargetFailure(Exchange &exchange, TargetReply &&reply, EventContext &context) -> void;
    auto handleTargetFull(Exchange &exchange, TargetReply &&reply, EventContext &context) -> void;
    auto handleTargetLeaving(Exchange &exchange, TargetReply &&reply, EventContext &context) -> void;
    auto handleTargetTombstone(Exchange &exchange, TargetReply &&reply, EventContext &context) -> void;
    auto handleTargetRestart(Exchange &exchange, TargetReply &&reply, EventContext &context) -> void;
    auto handleTargetNotReached(Exchange &exchange, TargetReply &&reply, EventContext &context) -> void;
    auto handleTargetLost(Exchange &exchange, TargetReply &&reply, EventContext &context) -> void;
    auto handleSettledNeverStarted(Exchange &exchange, SettleReply &&reply, EventContext &context) -> void;
    auto handleSettledRunning(Exchange &exchange, SettleReply &&reply, EventContext &context) -> void;
    auto handleSettledAnswer(Exchange &exchange, SettleReply &&reply, EventContext &context) -> void;
    auto handleSettledFailure(Exchange &exchange, SettleReply &&reply, EventContext &context) -> void;
    auto handleSettleNotReached(Exchange &exchange, SettleReply &&reply, EventContext &context) -> void;

    // Retries and settling.
    auto retryElsewhere(Exchange &exchange, EventContext &context) -> void;
    auto retryLater(Exchange &exchange, EventContext &context) -> void;
    [[nodiscard]] auto resendFromUnknown(Exchange &exchange, EventContext &context) -> bool;
    auto waitWithBackoff(Exchange &exchange, ExchangeState state, TimePoint latest, EventContext &context) -> void;
    auto settle(Exchange &exchange, EventContext &context) -> void;

    // Incarnations of workers.
    [[nodiscard]] auto provesNotRun(const Exchange &exchange, std::string_view incarnation) const noexcept -> bool;
    auto handleLostRecord(Exchange &exchange, EventContext &context) -> void;
    auto probe(Target &target, EventContext &context) -> void;
    auto handleProbeReply(const SettleReply &reply, EventContext &context) -> void;

    // Key map.
    [[nodiscard]] auto usesKeyMap(const Exchange &exchange) const noexcept -> bool;
    auto emitKeyMapCommands(std::vector<KeyMapCommand> &&commands, EventContext &context) -> void;
    auto recordIncarnation(Target &target, std::string_view incarnation, EventContext &context) -> void;
    auto awaitIncarnation(Exchange &exchange, EventContext &context) -> void;
    auto awaitKeyMap(Exchange &exchange, EventContext &context) -> void;
    auto placeAwaitingKeyMap(EventContext &context) -> void;
    auto queryPeers(Exchange &exchange, EventContext &context) -> void;
    auto continueAfterPeerReplies(Exchange &exchange, EventContext &context) -> void;
    auto handlePeerAnswer(Exchange &exchange, PeerReply &&reply, EventContext &context) -> void;
    auto handlePeerFailure(Exchange &exchange, PeerReply &&reply, EventContext &context) -> void;
    auto handlePeerConflict(Exchange &exchange, PeerReply &&reply, EventContext &context) -> void;
    auto handlePeerNeverSent(Exchange &exchange, PeerReply &&reply, EventContext &context) -> void;
    auto handlePeerUnknown(Exchange &exchange, PeerReply &&reply, EventContext &context) -> void;
    auto handlePeerInconclusive(Exchange &exchange, PeerReply &&reply, EventContext &context) -> void;
    [[nodiscard]] auto makePeerReply(std::string_view id, TimePoint now) -> PeerReply;

    // Timers, one function for each ExchangeState.
    auto handleQueueTimeout(Exchange &exchange, EventContext &context) -> void;
    auto handleRetryPauseEnd(Exchange &exchange, EventContext &context) -> void;
    auto handleReplyTimeout(Exchange &exchange, EventContext &context) -> void;
    auto handleSettlePauseEnd(Exchange &exchange, EventContext &context) -> void;
    auto handleKeyMapWaitEnd(Exchange &exchange, EventContext &context) -> void;
    auto handlePeerQueryPauseEnd(Exchange &exchange, EventContext &context) -> void;

    // Completion.
    auto finish(Exchange &exchange, Outcome outcome, ErrorCode code, std::string &&body, EventContext &context) -> void;
    auto finishWithoutAnswer(Exchange &exchange, ErrorCode code, EventContext &context) -> void;
    auto recordKey(const Exchange &exchange, const RequestAnswer &answer, TimePoint now) -> void;
    auto abandon(Exchange &exchange) -> void;
    auto removeFromQueue(const Exchange &exchange) -> void;
    static auto answer(CallerTicket ticket, RequestAnswer &&answer, EventContext &context) -> void;
    static auto refuse(const RequestArrived &event, ErrorCode code, EventContext &context) -> void;

    [[nodiscard]] auto findCurrent(const DispatchId &dispatch, ExchangeState state) noexcept -> Exchange *;
    [[nodiscard]] auto settleDeadlineOf(const Exchange &exchange) const noexcept -> TimePoint;
    static auto attach(Exchange &exchange, Target &target) -> void;
    auto detach(Exchange &exchange) -> void;

    RouterLimits m_limits;
    TargetTable m_targets;
    LeastLoadedPicker m_leastLoaded;
    RendezvousPicker m_rendezvous;
    RetryBudget m_budget;
    IdempotencyTable m_keys;
    WaitingQueues m_queuedByService;
    WaitingQueues m_queuedByWorker; ///< requests with a key wait for one particular worker
    ExchangeTable m_exchanges;
    KeyMapKeeper m_keyMap;
    std::map<std::string, PeerQuery, std::less<>> m_peers; ///< query templates with the addresses of the listed entry daemons, by name
    std::set<std::uint64_t> m_awaitingKeyMap; ///< exchanges to place again after a change of the key map
    bool m_keyMapChanged = false; ///< set by the current event when m_awaitingKeyMap must be placed again
    ConfigVersion m_configVersion = 0; ///< configuration version of m_services
    std::set<std::string, std::less<>> m_services; ///< known services; while empty, every name is accepted
    std::vector<Target *> m_freedTargets; ///< workers with slots freed by the current event
    std::map<std::uint32_t, std::string> m_probes; ///< workers that were sent an incarnation probe, by sequence number
    std::uint32_t m_lastProbe = 0;
    bool m_draining = false;
};
}

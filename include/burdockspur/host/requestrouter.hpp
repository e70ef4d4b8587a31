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

/// @brief Decides what happens to each request of an entry host: admission, worker, retries, outcome.
///
/// Takes events and appends commands; it knows no socket, thread, codec or clock. `refused` is answered only
/// when no worker can have run the request; a non-idempotent request is sent again only after a proof that it
/// did not run.
///
/// The word of a worker that a request never started is a proof only from the incarnation that the router knew
/// before it forwarded the request: a worker that restarts forgets what it ran.
///
/// A request with an idempotency key has the same request id on every entry host. It goes along the workers in
/// rendezvous order, and moves on from a worker only after that worker has left a tombstone for the id. One that is
/// not idempotent goes only to the home that the key map gives, and only to the process that the key map names;
/// after a recent change of the home every other entry daemon is asked first.
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
    /// @param limits bounds and periods
    /// @param ownZone zone of this entry host
    /// @param self this entry daemon in the key map; without a name keys are protected only until a worker restarts
    RequestRouter(const RouterLimits &limits, std::string_view ownZone, KeyMapIdentity self = {});
    ~RequestRouter() = default;
    RequestRouter(const RequestRouter &) = delete;
    RequestRouter(RequestRouter &&) = delete;
    auto operator=(const RequestRouter &) -> RequestRouter & = delete;
    auto operator=(RequestRouter &&) -> RequestRouter & = delete;

    /// @brief Handles one event.
    /// @param event what happened
    /// @param now current time; never earlier than in the previous call
    /// @param random source of all random choices
    /// @param commands appended to
    auto handle(RouterEvent &&event, TimePoint now, RandomSource &random, std::vector<RouterCommand> &commands) -> void;

    /// @brief When TimePassed is due, or TimePoint::max().
    [[nodiscard]] auto nextDeadline() const noexcept -> TimePoint;

    /// @brief True after DrainRequested when no request is in progress.
    [[nodiscard]] auto isDrained() const noexcept -> bool;

    /// @brief Number of callers that wait for an answer.
    [[nodiscard]] auto inFlight() const noexcept -> std::size_t;

    /// @brief Number of requests that wait for a free slot.
    [[nodiscard]] auto queued() const noexcept -> std::size_t;

    /// @brief The workers.
    [[nodiscard]] auto targets() const noexcept -> const TargetTable &;

    /// @brief The key map as last read.
    [[nodiscard]] auto keyMap() const noexcept -> const KeyMapKeeper &;

private:
    struct Turn {
        TimePoint m_now;
        RandomSource &m_random;
        std::vector<RouterCommand> &m_commands;
    };

    template<typename Event>
    auto dispatch(RouterEvent &&event, Turn &turn) -> void
    {
        if (auto *const content = std::get_if<Event>(&event); content != nullptr) {
            on(std::move(*content), turn);
        }
    }

    auto on(RequestArrived &&event, Turn &turn) -> void;
    auto on(CallerLeft &&event, Turn &turn) -> void;
    auto on(TargetReplied &&event, Turn &turn) -> void;
    auto on(SettleReplied &&event, Turn &turn) -> void;
    auto on(HostsChanged &&event, Turn &turn) -> void;
    auto on(ConfigurationChanged &&event, Turn &turn) -> void;
    auto on(DrainRequested &&event, Turn &turn) -> void;
    auto on(KeyMapRead &&event, Turn &turn) -> void;
    auto on(KeyMapNotWritten &&event, Turn &turn) -> void;
    auto on(PeerAsked &&event, Turn &turn) -> void;
    auto on(PeerReplied &&event, Turn &turn) -> void;
    auto on(TimePassed &&event, Turn &turn) -> void;

    // Admission, one function for each KeyState.
    [[nodiscard]] auto admissionError(const ServiceRequest &request, TimePoint now) const -> std::optional<ErrorCode>;
    auto admitByKey(RequestArrived &&event, Turn &turn) -> void;
    auto admitNew(RequestArrived &&event, Turn &turn) -> void;
    auto admitSecond(RequestArrived &&event, Turn &turn) -> void;
    auto admitAnswered(RequestArrived &&event, Turn &turn) -> void;
    auto admitUnresolved(RequestArrived &&event, Turn &turn) -> void;
    auto admitConflict(RequestArrived &&event, Turn &turn) -> void;
    [[nodiscard]] auto openExchange(RequestArrived &&event, Turn &turn) -> Exchange *;

    // Choice of the worker.
    auto place(Exchange &exchange, Turn &turn) -> void;
    auto placeAnywhere(Exchange &exchange, Turn &turn) -> void;
    auto placeByKey(Exchange &exchange, Turn &turn) -> void;
    auto placeByMap(Exchange &exchange, Turn &turn) -> void;
    auto sendTo(Exchange &exchange, Target &target, Turn &turn) -> void;
    auto enqueue(Exchange &exchange, WaitingQueues &queues, std::string_view name, Turn &turn) -> void;
    auto forward(Exchange &exchange, Target &target, Turn &turn) -> void;
    auto dispatchQueued(Turn &turn) -> void;
    [[nodiscard]] auto takeQueued(const Target &target, TimePoint now) -> Exchange *;

    // Replies of workers, one function for each TargetReply::Status and SettleReply::Status.
    auto targetAnswered(Exchange &exchange, TargetReply &&reply, Turn &turn) -> void;
    auto targetFailed(Exchange &exchange, TargetReply &&reply, Turn &turn) -> void;
    auto targetFull(Exchange &exchange, TargetReply &&reply, Turn &turn) -> void;
    auto targetLeaving(Exchange &exchange, TargetReply &&reply, Turn &turn) -> void;
    auto targetTombstoned(Exchange &exchange, TargetReply &&reply, Turn &turn) -> void;
    auto targetRestarted(Exchange &exchange, TargetReply &&reply, Turn &turn) -> void;
    auto targetNotReached(Exchange &exchange, TargetReply &&reply, Turn &turn) -> void;
    auto targetLost(Exchange &exchange, TargetReply &&reply, Turn &turn) -> void;
    auto settledNeverStarted(Exchange &exchange, SettleReply &&reply, Turn &turn) -> void;
    auto settledRunning(Exchange &exchange, SettleReply &&reply, Turn &turn) -> void;
    auto settledAnswered(Exchange &exchange, SettleReply &&reply, Turn &turn) -> void;
    auto settledFailed(Exchange &exchange, SettleReply &&reply, Turn &turn) -> void;
    auto settleNotReached(Exchange &exchange, SettleReply &&reply, Turn &turn) -> void;

    // Retries and settling.
    auto retryElsewhere(Exchange &exchange, Turn &turn) -> void;
    auto retryLater(Exchange &exchange, Turn &turn) -> void;
    [[nodiscard]] auto resendFromUnknown(Exchange &exchange, Turn &turn) -> bool;
    auto pause(Exchange &exchange, ExchangeState state, TimePoint latest, Turn &turn) -> void;
    auto settle(Exchange &exchange, Turn &turn) -> void;

    // Incarnations of workers.
    [[nodiscard]] auto isProof(const Exchange &exchange, std::string_view incarnation) const noexcept -> bool;
    auto workerForgot(Exchange &exchange, Turn &turn) -> void;
    auto probe(Target &target, Turn &turn) -> void;
    auto probeReplied(const SettleReply &reply, Turn &turn) -> void;

    // Key map.
    [[nodiscard]] auto isMapped(const Exchange &exchange) const noexcept -> bool;
    auto orderMap(std::vector<KeyMapCommand> &&commands, Turn &turn) -> void;
    auto noteIncarnation(Target &target, std::string_view incarnation, Turn &turn) -> void;
    auto awaitIncarnation(Exchange &exchange, Turn &turn) -> void;
    auto awaitMap(Exchange &exchange, Turn &turn) -> void;
    auto placeWaiting(Turn &turn) -> void;
    auto askPeers(Exchange &exchange, Turn &turn) -> void;
    auto peersReplied(Exchange &exchange, Turn &turn) -> void;
    auto peerAnswered(Exchange &exchange, PeerReply &&reply, Turn &turn) -> void;
    auto peerFailed(Exchange &exchange, PeerReply &&reply, Turn &turn) -> void;
    auto peerConflicts(Exchange &exchange, PeerReply &&reply, Turn &turn) -> void;
    auto peerNeverSent(Exchange &exchange, PeerReply &&reply, Turn &turn) -> void;
    auto peerDoesNotKnow(Exchange &exchange, PeerReply &&reply, Turn &turn) -> void;
    auto peerToAskAgain(Exchange &exchange, PeerReply &&reply, Turn &turn) -> void;
    [[nodiscard]] auto knowledgeOf(std::string_view id, TimePoint now) -> PeerReply;

    // Timers, one function for each ExchangeState.
    auto queuedTooLong(Exchange &exchange, Turn &turn) -> void;
    auto retryPauseEnded(Exchange &exchange, Turn &turn) -> void;
    auto noReplyInTime(Exchange &exchange, Turn &turn) -> void;
    auto settlePauseEnded(Exchange &exchange, Turn &turn) -> void;
    auto keyMapWaitEnded(Exchange &exchange, Turn &turn) -> void;
    auto askPauseEnded(Exchange &exchange, Turn &turn) -> void;

    // Ends.
    auto finish(Exchange &exchange, Outcome outcome, ErrorCode code, std::string &&body, Turn &turn) -> void;
    auto finishWithoutAnswer(Exchange &exchange, ErrorCode code, Turn &turn) -> void;
    auto recordKey(const Exchange &exchange, const RequestAnswer &answer, TimePoint now) -> void;
    auto abandon(Exchange &exchange) -> void;
    auto leaveQueue(const Exchange &exchange) -> void;
    static auto answer(CallerTicket ticket, RequestAnswer &&answer, Turn &turn) -> void;
    static auto refuse(const RequestArrived &event, ErrorCode code, Turn &turn) -> void;

    [[nodiscard]] auto current(const DispatchId &dispatch, ExchangeState state) noexcept -> Exchange *;
    [[nodiscard]] auto endOf(const Exchange &exchange) const noexcept -> TimePoint;
    static auto attach(Exchange &exchange, Target &target) -> void;
    auto detach(Exchange &exchange) -> void;

    RouterLimits m_limits;
    TargetTable m_targets;
    LeastLoadedPicker m_leastLoaded;
    RendezvousPicker m_rendezvous;
    RetryBudget m_budget;
    IdempotencyTable m_keys;
    WaitingQueues m_queuedByService;
    WaitingQueues m_queuedByWorker; ///< requests with a key wait for their worker
    ExchangeTable m_exchanges;
    KeyMapKeeper m_keyMap;
    std::map<std::string, PeerQuery, std::less<>> m_peers; ///< entry daemons of the host list, with their addresses
    std::set<std::uint64_t> m_waitingForMap; ///< exchanges that a change of the key map may let go on
    bool m_mapMoved = false; ///< the current event may let them go on
    ConfigVersion m_configVersion = 0; ///< of the services
    std::set<std::string, std::less<>> m_services; ///< empty: every name is accepted
    std::vector<Target *> m_freed; ///< workers with slots freed by the current event
    std::map<std::uint32_t, std::string> m_probes; ///< workers asked for their incarnation, by sequence
    std::uint32_t m_lastProbe = 0;
    bool m_draining = false;
};
}

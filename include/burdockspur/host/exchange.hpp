#pragma once

#include "burdockspur/contract/servicerequest.hpp"
#include "burdockspur/core/clock.hpp"
#include "burdockspur/host/routerevent.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace Burdockspur
{
struct Target;

/// @brief State of an exchange, determined by what it waits for.
enum class ExchangeState : std::uint8_t {
    Queued, ///< waits for a free slot on a worker
    RetryPause, ///< waits for the end of the backoff before it is placed again
    Forwarded, ///< waits for the worker's answer
    Settling, ///< waits for the worker's reply to a settle
    SettlePause, ///< waits for the end of the backoff before the next settle
    KeyMapWait, ///< waits for a key map that permits sending the request
    QueryingPeers, ///< waits for the replies of the other entry daemons
    PeerQueryPause, ///< waits for the end of the backoff before they are queried again
};

/// @brief A caller that waits for the answer of an exchange.
struct Waiter {
    CallerTicket m_ticket = 0;
    TimePoint m_expires; ///< answered `unknown` at this time if there is no answer yet
};

/// @brief A request in progress, from its arrival to its final answer.
struct Exchange {
    std::uint64_t m_number = 0;
    ServiceRequest m_request;
    std::vector<Waiter> m_waiters; ///< more than one when requests share an idempotency key
    ExchangeState m_state = ExchangeState::RetryPause;
    TimePoint m_stateTimer = TimePoint::max(); ///< timeout of the current state
    TimePoint m_timer = TimePoint::max(); ///< key in the timer set of ExchangeTable: the earlier of m_stateTimer and the first expiry of a waiter
    Target *m_target = nullptr; ///< worker that was sent the latest message; counted in its m_references
    bool m_holdsSlot = false;
    std::string m_lastWorker; ///< worker of the latest forward
    std::string m_wireId; ///< request id of the latest forward
    std::string m_incarnation; ///< incarnation of the worker known before the latest forward; empty if unknown
    std::vector<std::string> m_excluded; ///< workers that must not be chosen
    std::uint64_t m_keyGeneration = 0; ///< generation of the key map to which m_excluded belongs
    std::uint64_t m_confirmedUnsentGeneration = 0; ///< generation of the key map whose entry daemons all replied that they never sent the request
    std::vector<std::string> m_pendingPeers; ///< entry daemons whose replies to the current round of queries are missing
    bool m_hasUnknownPeerReply = false; ///< an entry daemon replied `unknown` in this round
    bool m_repeatPeerQuery = false; ///< an entry daemon replied `running` in this round, or gave no usable reply
    std::string m_queue; ///< service or worker whose queue it is in
    std::uint32_t m_sequence = 0; ///< number of the latest message; a reply with another number is late and ignored
    std::uint32_t m_forwards = 0; ///< times that the request was sent to a worker
    std::uint32_t m_pauses = 0; ///< backoffs so far; determines the length of the next one
    bool m_mayHaveRun = false; ///< the latest forward may have run: no reply has proved otherwise
    bool m_mayHaveRunBefore = false; ///< the same for an earlier forward; only set for idempotent requests
};
}

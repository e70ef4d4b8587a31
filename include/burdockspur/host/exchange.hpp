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

/// @brief What an exchange waits for.
enum class ExchangeState : std::uint8_t {
    Queued, ///< a free slot
    RetryPause, ///< the next attempt to place it
    Forwarded, ///< the worker's answer
    Settling, ///< the worker's answer to a settle
    SettlePause, ///< the next settle
    KeyMapWait, ///< a key map by which the request may be sent
    AskingPeers, ///< the replies of the other entry daemons
    AskPause, ///< the next question to them
};

/// @brief A caller that waits for the answer of an exchange.
struct Waiter {
    CallerTicket m_ticket = 0;
    TimePoint m_expires; ///< gets `unknown` at this time when there is no answer
};

/// @brief One request in progress.
struct Exchange {
    std::uint64_t m_number = 0;
    ServiceRequest m_request;
    std::vector<Waiter> m_waiters; ///< more than one when requests share an idempotency key
    ExchangeState m_state = ExchangeState::RetryPause;
    TimePoint m_stateTimer = TimePoint::max(); ///< when the state ends by itself
    TimePoint m_timer = TimePoint::max(); ///< entry in the timer set of ExchangeTable
    Target *m_target = nullptr; ///< worker that is asked; counted in its m_references
    bool m_holdsSlot = false;
    std::string m_lastWorker; ///< worker of the latest forward
    std::string m_wireId; ///< request id of the latest forward
    std::string m_incarnation; ///< of the worker as known before the latest forward; empty when not known
    std::vector<std::string> m_excluded; ///< workers that are not an option
    std::uint64_t m_keyGeneration = 0; ///< of the key map to which m_excluded belongs
    std::uint64_t m_askedGeneration = 0; ///< of the key map whose entry daemons all said that they never sent it
    std::vector<std::string> m_peersLeft; ///< entry daemons that have not replied in this round
    bool m_peerDoesNotKnow = false; ///< one replied `unknown` in this round
    bool m_askAgain = false; ///< one replied `running`, or not at all
    std::string m_queue; ///< class or worker in whose queue it waits
    std::uint32_t m_sequence = 0; ///< of the latest message to a worker
    std::uint32_t m_forwards = 0;
    std::uint32_t m_pauses = 0; ///< since the latest progress; sets the length of the next pause
    bool m_mayHaveRun = false; ///< no proof that the latest forward did not run
    bool m_mayHaveRunBefore = false; ///< the same for an earlier forward; idempotent requests only
};
}

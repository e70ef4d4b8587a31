#pragma once

#include "burdockspur/contract/configuration.hpp"
#include "burdockspur/contract/keymap.hpp"
#include "burdockspur/contract/peerquery.hpp"
#include "burdockspur/contract/servicerequest.hpp"
#include "burdockspur/contract/targetreply.hpp"
#include "burdockspur/machine/hostrecord.hpp"

#include <cstdint>
#include <variant>

namespace Burdockspur
{
/// @brief Identifies a waiting caller; assigned by the front end and never reused.
using CallerTicket = std::uint64_t;

/// @brief A caller sent a request.
struct RequestArrived {
    CallerTicket m_ticket = 0;
    ServiceRequest m_request;
};

/// @brief A caller disconnected and will not read its answer.
struct CallerDisconnected {
    CallerTicket m_ticket = 0;
};

/// @brief A worker replied to a forwarded request, or the wait for its reply ended.
struct TargetReplied {
    TargetReply m_reply;
};

/// @brief A worker replied to a settle, or the wait for its reply ended.
struct SettleReplied {
    SettleReply m_reply;
};

/// @brief The host list was read.
struct HostsChanged {
    HostListing m_listing;
};

/// @brief A higher version of the configuration was read.
struct ConfigurationChanged {
    Configuration m_configuration;
};

/// @brief The daemon is shutting down; new requests are refused from now on.
struct DrainRequested {
};

/// @brief The time returned by nextDeadline() has passed.
struct TimerExpired {
};

/// @brief The key map was read or written; its generation is 0 if the table holds none.
struct KeyMapRead {
    KeyMap m_map;
};

/// @brief A proposed key map was not written, or the result of the write is unknown.
struct KeyMapNotWritten {
};

/// @brief Another entry daemon queried the state of a request on this one.
struct PeerQueryReceived {
    CallerTicket m_ticket = 0;
    std::string m_requestId;
    std::uint64_t m_generation = 0;
};

/// @brief Another entry daemon replied to a query, or the wait for its reply ended.
struct PeerReplied {
    PeerReply m_reply;
};

/// @brief Events that RequestRouter handles.
using RouterEvent = std::variant<RequestArrived,
                                 CallerDisconnected,
                                 TargetReplied,
                                 SettleReplied,
                                 HostsChanged,
                                 ConfigurationChanged,
                                 DrainRequested,
                                 KeyMapRead,
                                 KeyMapNotWritten,
                                 PeerQueryReceived,
                                 PeerReplied,
                                 TimerExpired>;
}

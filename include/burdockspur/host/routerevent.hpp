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
/// @brief Names one waiting caller; chosen by the front end and never reused.
using CallerTicket = std::uint64_t;

/// @brief A caller sent a request.
struct RequestArrived {
    CallerTicket m_ticket = 0;
    ServiceRequest m_request;
};

/// @brief A caller will not read its answer.
struct CallerLeft {
    CallerTicket m_ticket = 0;
};

/// @brief A worker replied to a forwarded request, or will not.
struct TargetReplied {
    TargetReply m_reply;
};

/// @brief A worker replied to a settle, or will not.
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

/// @brief New requests are refused from now on.
struct DrainRequested {
};

/// @brief The deadline given by the router has come.
struct TimePassed {
};

/// @brief The key map was read or written; generation 0 when the table holds none.
struct KeyMapRead {
    KeyMap m_map;
};

/// @brief A proposed key map was not written, or it is not known whether it was.
struct KeyMapNotWritten {
};

/// @brief Another entry daemon asks what this one knows of a request.
struct PeerAsked {
    CallerTicket m_ticket = 0;
    std::string m_requestId;
    std::uint64_t m_generation = 0;
};

/// @brief Another entry daemon replied to a question, or will not.
struct PeerReplied {
    PeerReply m_reply;
};

/// @brief Everything that RequestRouter reacts to.
using RouterEvent = std::variant<RequestArrived,
                                 CallerLeft,
                                 TargetReplied,
                                 SettleReplied,
                                 HostsChanged,
                                 ConfigurationChanged,
                                 DrainRequested,
                                 KeyMapRead,
                                 KeyMapNotWritten,
                                 PeerAsked,
                                 PeerReplied,
                                 TimePassed>;
}

#pragma once

#include "burdockspur/contract/peerquery.hpp"
#include "burdockspur/contract/requestanswer.hpp"
#include "burdockspur/contract/targetorder.hpp"
#include "burdockspur/host/keymapcommand.hpp"
#include "burdockspur/host/routerevent.hpp"

#include <variant>

namespace Burdockspur
{
/// @brief Sends a caller the answer to its request.
struct AnswerCaller {
    CallerTicket m_ticket = 0;
    RequestAnswer m_answer;
};

/// @brief Sends another entry daemon the reply to its query.
struct AnswerPeer {
    CallerTicket m_ticket = 0;
    PeerReply m_reply;
};

/// @brief Commands that RequestRouter issues.
using RouterCommand = std::variant<ForwardOrder, SettleOrder, AnswerCaller, PeerQuery, AnswerPeer, ProposeKeyMap, ReadKeyMap>;
}

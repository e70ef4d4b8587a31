#pragma once

#include "burdockspur/contract/peerquery.hpp"
#include "burdockspur/contract/requestanswer.hpp"
#include "burdockspur/contract/targetorder.hpp"
#include "burdockspur/host/keymapcommand.hpp"
#include "burdockspur/host/routerevent.hpp"

#include <variant>

namespace Burdockspur
{
/// @brief Gives a caller its answer.
struct AnswerCaller {
    CallerTicket m_ticket = 0;
    RequestAnswer m_answer;
};

/// @brief Gives another entry daemon the answer to its question.
struct AnswerPeer {
    CallerTicket m_ticket = 0;
    PeerReply m_reply;
};

/// @brief Everything that RequestRouter orders.
using RouterCommand = std::variant<ForwardOrder, SettleOrder, AnswerCaller, PeerQuery, AnswerPeer, ProposeKeyMap, ReadKeyMap>;
}

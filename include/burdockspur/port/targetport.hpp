#pragma once

#include "burdockspur/contract/peerquery.hpp"
#include "burdockspur/contract/targetreply.hpp"

#include <functional>

namespace Burdockspur
{
/// @brief Sends requests to workers, and queries about requests to workers and other entry daemons.
///
/// Lives in the thread of the target duty. Callbacks run there, exactly once for each order, never from
/// within the call.
class TargetPort
{
public:
    using ForwardCallback = std::function<void(TargetReply &&)>;
    using SettleCallback = std::function<void(SettleReply &&)>;

    using PeerCallback = std::function<void(PeerReply &&)>;

    TargetPort() = default;
    virtual ~TargetPort() = default;
    TargetPort(const TargetPort &) = delete;
    TargetPort(TargetPort &&) = delete;
    auto operator=(const TargetPort &) -> TargetPort & = delete;
    auto operator=(TargetPort &&) -> TargetPort & = delete;

    /// @brief Sends a request once.
    virtual auto forward(ForwardOrder &&order, ForwardCallback callback) -> void = 0;

    /// @brief Queries the worker about the outcome of a request, over another connection than the one that carried it.
    virtual auto settle(SettleOrder &&order, SettleCallback callback) -> void = 0;

    /// @brief Queries another entry daemon about its state of a request.
    virtual auto queryPeer(PeerQuery &&question, PeerCallback callback) -> void = 0;
};
}

#pragma once

#include "burdockspur/link/httpclient.hpp"
#include "burdockspur/port/targetport.hpp"

#include <string_view>

namespace Burdockspur
{
/// @brief TargetPort over the workers' HTTP protocol.
///
/// An answer is accepted only if it carries the id of the request and its checksum matches its body.
class HttpTargetPort final : public TargetPort
{
public:
    /// @param forwards client for requests; must live in the same thread and outlive the port
    /// @param settles a separate client, so that a call of settle() never waits behind a stalled connection
    HttpTargetPort(HttpClient &forwards, HttpClient &settles);

    auto forward(ForwardOrder &&order, ForwardCallback callback) -> void override;
    auto settle(SettleOrder &&order, SettleCallback callback) -> void override;
    auto queryPeer(PeerQuery &&question, PeerCallback callback) -> void override;

private:
    HttpClient *m_forwards;
    HttpClient *m_settles;
};

/// @brief Decodes the reply to a forwarded request.
/// @param reply reply that the client has received
/// @param requestId id that the response has to carry
[[nodiscard]] auto decodeTargetReply(HttpReply &&reply, std::string_view requestId) -> TargetReply;

/// @brief Decodes the reply to a call of settle().
[[nodiscard]] auto decodeSettleReply(const HttpReply &reply, std::string_view requestId) -> SettleReply;
}

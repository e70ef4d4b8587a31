#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/link/httpclient.hpp"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur::Bench
{
/// @brief A request and the server that receives it.
struct PendingCall {
    HttpEndpoint m_server;
    HttpRequest m_request;
};

/// @brief Makes blocking HTTP calls from a program that runs no event loop.
///
/// @code
/// CallerSession session;
/// const HttpReply reply = session.get(entry, "/v1/status");
/// @endcode
class CallerSession
{
public:
    /// @param timeout timeout of each call
    explicit CallerSession(Duration timeout = std::chrono::seconds(15));

    /// @brief Makes several calls concurrently and waits for every reply.
    /// @param calls calls to make; their requests are moved from
    /// @param concurrency limit of the calls in progress
    /// @returns a reply for each call, in the order of the calls
    [[nodiscard]] auto callAll(std::span<PendingCall> calls, std::size_t concurrency = 64) -> std::vector<HttpReply>;

    /// @brief Makes one call.
    /// @param server server that receives the call
    /// @param method HTTP method
    /// @param target path and query
    /// @param body JSON text, may be empty
    /// @param fields header fields
    [[nodiscard]] auto
    call(const HttpEndpoint &server, std::string_view method, std::string_view target, std::string body = {}, std::vector<HttpField> fields = {}) -> HttpReply;

    /// @brief Makes a GET call.
    [[nodiscard]] auto get(const HttpEndpoint &server, std::string_view target) -> HttpReply
    {
        return call(server, "GET", target);
    }

    /// @brief Waits for a time while events are processed.
    static auto wait(Milliseconds time) -> void;

private:
    Duration m_timeout;
    HttpClient m_client;
};
}

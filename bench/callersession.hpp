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
/// @brief A request and the server that it goes to.
struct PendingCall {
    HttpEndpoint m_server;
    HttpRequest m_request;
};

/// @brief Makes calls from a program without an event loop of its own.
///
/// @code
/// CallerSession session;
/// const HttpReply reply = session.get(entry, "/v1/status");
/// @endcode
class CallerSession
{
public:
    /// @param timeout of each call
    explicit CallerSession(Duration timeout = std::chrono::seconds(15));

    /// @brief Makes calls, a bounded number at a time, and waits for every reply.
    /// @param calls moved from
    /// @param concurrency most calls in progress
    /// @returns a reply for each call, in the order of the calls
    [[nodiscard]] auto callAll(std::span<PendingCall> calls, std::size_t concurrency = 64) -> std::vector<HttpReply>;

    /// @brief Makes one call.
    /// @param server where to
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

    /// @brief Lets the event loop run for a time.
    static auto wait(Milliseconds time) -> void;

private:
    Duration m_timeout;
    HttpClient m_client;
};
}

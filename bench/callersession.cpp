#include "callersession.hpp"

#include <QEventLoop>
#include <QTimer>

#include <algorithm>
#include <functional>

namespace Burdockspur::Bench
{
namespace
{
[[nodiscard]] auto sessionLimits() -> HttpClientLimits
{
    HttpClientLimits limits;
    limits.m_maxConnectionsPerEndpoint = 32;
    return limits;
}
}

CallerSession::CallerSession(Duration timeout)
    : m_timeout(timeout)
    , m_client(sessionLimits())
{
}

auto CallerSession::callAll(std::span<PendingCall> calls, std::size_t concurrency) -> std::vector<HttpReply>
{
    std::vector<HttpReply> replies(calls.size(), HttpReply(HttpResponse{}));
    QEventLoop loop;
    std::size_t next = 0;
    std::size_t inFlight = 0;
    std::function<void()> startNext = [&] {
        if (next == calls.size()) {
            if (inFlight == 0) {
                loop.quit();
            }
            return;
        }
        const std::size_t index = next++;
        ++inFlight;
        m_client.call(calls[index].m_server, std::move(calls[index].m_request), m_timeout, [&, index](HttpReply &&reply) {
            replies[index] = std::move(reply);
            --inFlight;
            startNext();
        });
    };
    for (std::size_t i = 0; i < std::min(concurrency, calls.size()); ++i) {
        startNext();
    }
    if (inFlight > 0) {
        loop.exec();
    }
    return replies;
}

auto CallerSession::call(const HttpEndpoint &server, std::string_view method, std::string_view target, std::string body, std::vector<HttpField> fields)
    -> HttpReply
{
    PendingCall pending{
        .m_server = server,
        .m_request = {.m_method = std::string(method), .m_target = std::string(target), .m_fields = std::move(fields), .m_body = std::move(body)}};
    return std::move(callAll(std::span(&pending, 1)).front());
}

auto CallerSession::wait(Milliseconds time) -> void
{
    QEventLoop loop;
    QTimer::singleShot(time, &loop, &QEventLoop::quit);
    loop.exec();
}
}

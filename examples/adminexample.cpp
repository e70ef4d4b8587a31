// Shows the building blocks of every daemon: duties with an event loop, bounded rings to the main thread,
// metrics and the admin port. Opens an admin port, sends it a status request and a drain request, prints the
// answers and exits.

#include "burdockspur/core/boundedring.hpp"
#include "burdockspur/core/eventloopduty.hpp"
#include "burdockspur/link/httpclient.hpp"
#include "burdockspur/operations/adminserver.hpp"
#include "burdockspur/operations/metrics.hpp"

#include <prometheus/counter.h>

#include <QCoreApplication>

#include <iostream>
#include <optional>
#include <vector>

using namespace Burdockspur;

namespace
{
/// @brief Event that the admin duty sends to the main thread.
struct AdminEvent {
    Result<std::uint16_t> m_port; ///< bound port, or the reason why it could not be opened
    bool m_isDrainRequested = false;
};

/// @brief Thread that serves the admin port.
class AdminDuty : public EventLoopDuty
{
public:
    AdminDuty(Metrics &metrics, BoundedRing<AdminEvent> &events)
        : EventLoopDuty("admin")
        , m_metrics(metrics)
        , m_events(events)
    {
    }

    ~AdminDuty() override
    {
        stop();
    }

    AdminDuty(const AdminDuty &) = delete;
    AdminDuty(AdminDuty &&) = delete;
    auto operator=(const AdminDuty &) -> AdminDuty & = delete;
    auto operator=(AdminDuty &&) -> AdminDuty & = delete;

protected:
    auto setUp() -> void override
    {
        auto status = [this] {
            m_metrics.counter("example_status_total", "Status requests").Increment();
            return std::string(R"({"state":"running"})");
        };
        auto drain = [this] {
            return m_events.tryPush({0, true});
        };
        m_server = std::make_unique<AdminServer>(m_metrics, status, drain);
        static_cast<void>(m_events.tryPush({m_server->listen("127.0.0.1", 0), false}));
    }

    auto tearDown() -> void override
    {
        m_server.reset();
    }

private:
    Metrics &m_metrics;
    BoundedRing<AdminEvent> &m_events;
    std::unique_ptr<AdminServer> m_server;
};

/// @brief Thread that sends a status request and a drain request to the admin port and pushes the replies to a ring.
class CallerDuty : public EventLoopDuty
{
public:
    CallerDuty(HttpEndpoint endpoint, BoundedRing<std::string> &answers)
        : EventLoopDuty("caller")
        , m_endpoint(std::move(endpoint))
        , m_answers(answers)
    {
    }

    ~CallerDuty() override
    {
        stop();
    }

    CallerDuty(const CallerDuty &) = delete;
    CallerDuty(CallerDuty &&) = delete;
    auto operator=(const CallerDuty &) -> CallerDuty & = delete;
    auto operator=(CallerDuty &&) -> CallerDuty & = delete;

protected:
    auto setUp() -> void override
    {
        m_client = std::make_unique<HttpClient>(HttpClientLimits{});
        for (const auto *const line : {"GET /v1/status", "POST /v1/drain"}) {
            const std::string_view call(line);
            const auto space = call.find(' ');
            HttpRequest request{std::string(call.substr(0, space)), std::string(call.substr(space + 1)), {}, ""};
            m_client->call(m_endpoint, std::move(request), std::chrono::seconds(10), [this, call](HttpReply &&reply) {
                auto answer = std::string(call) + ": " + (reply ? reply->m_body : reply.error().m_error.m_message);
                static_cast<void>(m_answers.tryPush(std::move(answer)));
            });
        }
    }

    auto tearDown() -> void override
    {
        m_client.reset();
    }

private:
    HttpEndpoint m_endpoint;
    BoundedRing<std::string> &m_answers;
    std::unique_ptr<HttpClient> m_client;
};

/// @brief Waits up to 30 s for entries of a ring.
/// @param taken receives the entries
/// @returns false when none arrived in time
template<typename T>
auto waitForEntries(BoundedRing<T> &ring, std::vector<T> &taken) -> bool
{
    return ring.takeUntil(Clock::now() + std::chrono::seconds(30), taken) > 0;
}
}

auto main(int argc, char **argv) -> int
{
    const QCoreApplication application(argc, argv);
    Metrics metrics;
    constexpr std::size_t ringCapacity = 16;
    BoundedRing<AdminEvent> events(ringCapacity);
    BoundedRing<std::string> answers(ringCapacity);
    AdminDuty admin(metrics, events);
    admin.start();
    std::vector<AdminEvent> received;
    if (!waitForEntries(events, received) || !received.front().m_port) {
        std::cerr << "cannot open the admin port\n";
        return 1;
    }
    CallerDuty caller({"127.0.0.1", *received.front().m_port}, answers);
    caller.start();
    std::vector<std::string> lines;
    while (lines.size() < 2 && waitForEntries(answers, lines)) {}
    for (const auto &line : lines) {
        std::cout << line << '\n';
    }
    const bool isDrained = waitForEntries(events, received) && received.back().m_isDrainRequested;
    std::cout << (isDrained ? "drain requested\n" : "no drain request arrived\n");
    return isDrained && lines.size() == 2 ? 0 : 1;
}

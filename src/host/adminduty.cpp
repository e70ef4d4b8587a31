#include "burdockspur/host/adminduty.hpp"

#include "burdockspur/host/entrystatus.hpp"
#include "burdockspur/operations/adminserver.hpp"

namespace Burdockspur
{
AdminDuty::AdminDuty(std::string_view address, std::uint16_t port, const Metrics &metrics, const EntryStatus &status, std::function<void()> drain)
    : EventLoopDuty("admin")
    , m_address(address)
    , m_requestedPort(port)
    , m_metrics(metrics)
    , m_status(status)
    , m_drain(std::move(drain))
{
}

AdminDuty::~AdminDuty()
{
    stop();
}

auto AdminDuty::awaitPort() -> Result<std::uint16_t>
{
    return m_port.get_future().get();
}

auto AdminDuty::setUp() -> void
{
    m_server = std::make_unique<AdminServer>(
        m_metrics,
        [this] {
            return m_status.text();
        },
        [this] {
            m_drain();
            return true;
        });
    m_port.set_value(m_server->listen(m_address, m_requestedPort));
}

auto AdminDuty::tearDown() -> void
{
    m_server.reset();
}
}

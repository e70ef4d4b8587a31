#include "standins/platformduty.hpp"

#include "standins/platformserver.hpp"

#include <utility>

namespace Burdockspur::Standins
{
PlatformDuty::PlatformDuty(PlatformOptions options, ReadyRing &ready)
    : EventLoopDuty("platform")
    , m_options(std::move(options))
    , m_ready(ready)
{
}

PlatformDuty::~PlatformDuty()
{
    stop();
}

auto PlatformDuty::setUp() -> void
{
    m_server = std::make_unique<PlatformServer>(m_options.m_faults, m_options.m_seed);
    const auto port = m_server->listen(m_options.m_address, m_options.m_port);
    // The ring has capacity for the only line.
    static_cast<void>(m_ready.tryPush(port ? Result<std::string>("port=" + std::to_string(*port)) : std::unexpected(port.error())));
    m_ready.close();
}

auto PlatformDuty::tearDown() -> void
{
    m_server.reset();
}
}

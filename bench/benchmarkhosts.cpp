#include "benchmarkhosts.hpp"

namespace Burdockspur::Bench
{
auto makeBenchmarkHosts(std::size_t workers) -> HostListing
{
    constexpr std::size_t zones = 8;
    constexpr std::size_t workersPerRack = 8;
    HostListing listing{.m_generation = 1, .m_hosts = {}};
    for (std::size_t i = 0; i < workers; ++i) {
        HostRecord host;
        host.m_name = "worker-" + std::to_string(i);
        host.m_address = "127.0.0.1";
        host.m_port = 1;
        host.m_place.m_zone = "zone-" + std::to_string(i % zones);
        host.m_place.m_region = "region-" + std::to_string(i % 2);
        host.m_place.m_rack = "rack-" + std::to_string(i / workersPerRack);
        host.m_capacity = {.m_cpuMillis = 16'000, .m_memoryMb = 60'000, .m_accelerators = 0};
        host.m_slots = 8;
        host.m_connections = 64;
        listing.m_hosts.push_back(std::move(host));
    }
    return listing;
}
}

#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/link/httpclient.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Burdockspur::Bench
{
/// @brief One phase of load: an open-loop rate from a number of callers towards one kind of server.
struct LoadPlan {
    std::string m_name; ///< row name in the report
    std::vector<HttpEndpoint> m_servers; ///< callers are spread over them
    std::string m_service;
    double m_requestsPerSecond = 1000.0;
    std::size_t m_callers = 64;
    Duration m_length = std::chrono::seconds(5);
    std::size_t m_bodyBytes = 128;
    std::uint64_t m_seed = 1;
};
}

#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/link/httpclient.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Burdockspur::Bench
{
/// @brief One phase of load: requests at a fixed mean rate, sent without waiting for earlier replies.
struct LoadPlan {
    std::string m_name; ///< row name in the report
    std::vector<HttpEndpoint> m_servers; ///< callers are distributed over these servers in turn
    std::string m_service;
    double m_requestsPerSecond = 1000.0;
    std::size_t m_callers = 64;
    Duration m_duration = std::chrono::seconds(5);
    std::size_t m_bodyBytes = 128;
    std::uint64_t m_seed = 1;
};
}

#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/link/httpclient.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Burdockspur::Bench
{
/// @brief A worker stand-in and its name in the host list.
struct NamedWorker {
    std::string m_name;
    HttpEndpoint m_endpoint;
};

/// @brief How much work the demonstration asks for.
struct DemoPlan {
    std::vector<HttpEndpoint> m_entries;
    std::vector<NamedWorker> m_workers;
    std::vector<HttpEndpoint> m_platform; ///< one endpoint, or none when no worker is to leave
    std::size_t m_checks = 600; ///< idempotent requests
    std::size_t m_holds = 200; ///< non-idempotent requests, each sent through two entry hosts at once
    std::size_t m_batchJobs = 40; ///< each submitted through two entry hosts
    std::size_t m_watchers = 6;
    std::string m_leavingWorker; ///< set to leaving while jobs run; empty for none
    std::uint64_t m_seed = 1;
    Milliseconds m_batchDuration{4'000}; ///< declared and actual run time of a batch job
    Milliseconds m_patience{60'000}; ///< longest wait for a group of jobs
    bool m_repeatUnanswered = false; ///< calls without an answer are repeated through the next entry host, within the patience
    std::string m_until; ///< requests are sent in rounds until this file exists; empty for one round
};
}

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

/// @brief Servers and amount of work of the demonstration.
struct DemoPlan {
    std::vector<HttpEndpoint> m_entries;
    std::vector<NamedWorker> m_workers;
    std::vector<HttpEndpoint> m_platform; ///< platform stand-in; empty when no worker is set to leaving
    std::size_t m_checks = 600; ///< number of idempotent requests
    std::size_t m_holds = 200; ///< number of non-idempotent requests, each sent through two entry hosts at once
    std::size_t m_batchJobs = 40; ///< number of batch jobs, each submitted through two entry hosts
    std::size_t m_watchers = 6;
    std::string m_leavingWorker; ///< worker that is set to leaving while jobs run; empty for none
    std::uint64_t m_seed = 1;
    Milliseconds m_batchDuration{4'000}; ///< declared and actual run time of a batch job
    Milliseconds m_deadline{10'000}; ///< deadline of each request
    Milliseconds m_waitTimeout{60'000}; ///< longest wait for a group of jobs or for repeated calls
    bool m_repeatUnanswered = false; ///< whether calls without an answer are repeated through the next entry host until the wait times out
    std::string m_stopFile; ///< rounds of requests are sent until this file exists; empty for one round
};
}

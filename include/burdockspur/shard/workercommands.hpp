#pragma once

#include "burdockspur/link/httpclient.hpp"
#include "burdockspur/port/workerport.hpp"

#include <string>

namespace Burdockspur
{
/// @brief Renews the shard's lease on a worker.
struct RenewLease {
    std::string m_worker;
    HttpEndpoint m_endpoint;
    LeaseRenewal m_renewal;
};

/// @brief Starts an attempt on a worker.
struct StartAttempt {
    std::string m_worker;
    HttpEndpoint m_endpoint;
    StartOrder m_order;
};

/// @brief Stops an attempt; the worker keeps a tombstone for an attempt that it does not have.
struct StopAttempt {
    std::string m_worker;
    HttpEndpoint m_endpoint;
    AttemptOrder m_order;
};

/// @brief Orders the worker to write a checkpoint of an attempt.
struct CheckpointAttempt {
    std::string m_worker;
    HttpEndpoint m_endpoint;
    AttemptOrder m_order;
};
}

#pragma once

#include "burdockspur/port/workerport.hpp"

namespace Burdockspur
{
/// @brief WorkerPort over the workers' HTTP protocol.
class HttpWorkerPort final : public WorkerPort
{
public:
    /// @param client must live in the same thread and outlive the port
    explicit HttpWorkerPort(HttpClient &client);

    auto renew(const HttpEndpoint &worker, const LeaseRenewal &renewal, Duration timeout, LeaseCallback callback) -> void override;
    auto start(const HttpEndpoint &worker, const StartOrder &order, Duration timeout, StartCallback callback) -> void override;
    auto stop(const HttpEndpoint &worker, const AttemptOrder &order, Duration timeout, ReportCallback callback) -> void override;
    auto checkpoint(const HttpEndpoint &worker, const AttemptOrder &order, Duration timeout, ReportCallback callback) -> void override;
    auto throttle(const HttpEndpoint &worker, const AttemptOrder &order, int sharePercent, Duration timeout, DoneCallback callback) -> void override;

private:
    HttpClient *m_client;
};
}

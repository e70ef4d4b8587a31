#pragma once

#include "standins/readyring.hpp"
#include "standins/workerspec.hpp"

#include "burdockspur/core/eventloopduty.hpp"
#include "burdockspur/link/httpserver.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Burdockspur::Standins
{
class WorkerServer;

/// @brief Number, capacity and ports of the workers that a WorkersDuty serves.
struct WorkersOptions {
    WorkerSpec m_spec; ///< of each worker; its name is the prefix of the workers' names
    std::size_t m_workers = 1;
    std::string m_address = "127.0.0.1";
    std::uint16_t m_firstPort = 0; ///< of the first worker, the others follow; 0 picks free ports
    std::uint16_t m_controlPort = 0; ///< 0 picks a free port
    std::uint64_t m_seed = 1;
};

/// @brief Thread that serves several workers and a control port.
///
/// The control port answers the `/standin/` calls for every worker, also while the worker's own port is closed:
/// `?worker=<name>` selects one; without it, the call goes to all workers and the answer has one member for each.
class WorkersDuty : public EventLoopDuty
{
public:
    /// @param ready receives a line for each open port, or an error; must have capacity for all and outlive the duty
    WorkersDuty(WorkersOptions options, ReadyRing &ready);
    ~WorkersDuty() override;
    WorkersDuty(const WorkersDuty &) = delete;
    WorkersDuty(WorkersDuty &&) = delete;
    auto operator=(const WorkersDuty &) -> WorkersDuty & = delete;
    auto operator=(WorkersDuty &&) -> WorkersDuty & = delete;

protected:
    auto setUp() -> void override;
    auto tearDown() -> void override;

private:
    [[nodiscard]] auto openWorkers() -> Result<void>;
    [[nodiscard]] auto openControl() -> Result<void>;
    [[nodiscard]] auto answerControl(const HttpRequest &request) -> HttpResponse;
    [[nodiscard]] auto report(std::string line) -> Result<void>;

    WorkersOptions m_options;
    ReadyRing &m_ready;
    std::vector<std::unique_ptr<WorkerServer>> m_workers;
    std::unique_ptr<HttpServer> m_control;
};
}

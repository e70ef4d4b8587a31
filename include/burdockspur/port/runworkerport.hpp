#pragma once

#include "burdockspur/fleet/fleetanswer.hpp"
#include "burdockspur/fleet/fleetcommand.hpp"

#include <functional>

namespace Burdockspur
{
/// @brief Sends orders to workers that run tasks.
///
/// Lives in the thread of the worker calls. Callbacks run there, exactly once, never from within the call. The port never
/// repeats an order. Starts, acknowledgements and leases reach only the incarnation in WorkerAddress; a worker that restarts under its id must
/// not carry out what was meant for its former incarnation.
class RunWorkerPort
{
public:
    using AnswerCallback = std::function<void(WorkerAnswer &&)>;

    RunWorkerPort() = default;
    virtual ~RunWorkerPort() = default;
    RunWorkerPort(const RunWorkerPort &) = delete;
    RunWorkerPort(RunWorkerPort &&) = delete;
    auto operator=(const RunWorkerPort &) -> RunWorkerPort & = delete;
    auto operator=(RunWorkerPort &&) -> RunWorkerPort & = delete;

    virtual auto send(const ReportOrder &order, AnswerCallback callback) -> void = 0;
    virtual auto send(const RunStartOrder &order, AnswerCallback callback) -> void = 0;
    virtual auto send(const RunStopOrder &order, AnswerCallback callback) -> void = 0;
    virtual auto send(const RunPaceOrder &order, AnswerCallback callback) -> void = 0;
};
}

#pragma once

#include "burdockspur/core/eventloopduty.hpp"
#include "burdockspur/shard/schedulerrings.hpp"
#include "burdockspur/shard/shardsettings.hpp"

#include <memory>
#include <vector>

namespace Burdockspur
{
class HttpClient;
class WorkerPort;

/// @brief Thread `workers`: carries out worker commands and hands the answers to the `shards` thread.
///
/// An answer that finds the ring full is dropped with a log line; the shard's deadline for it covers the loss.
class WorkerDuty : public EventLoopDuty
{
public:
    WorkerDuty(const ShardSettings &settings, SchedulerRings &rings);
    ~WorkerDuty() override;
    WorkerDuty(const WorkerDuty &) = delete;
    WorkerDuty(WorkerDuty &&) = delete;
    auto operator=(const WorkerDuty &) -> WorkerDuty & = delete;
    auto operator=(WorkerDuty &&) -> WorkerDuty & = delete;

protected:
    auto setUp() -> void override;
    auto tearDown() -> void override;

private:
    auto take() -> void;
    auto run(const RenewLease &command) -> void;
    auto run(const StartAttempt &command) -> void;
    auto run(const StopAttempt &command) -> void;
    auto run(const CheckpointAttempt &command) -> void;
    /// @brief Calls a worker and answers with what it said.
    /// @tparam Call member of WorkerPort
    /// @param outcome member of the answer that takes the worker's reply
    template<auto Call, typename Answered, typename Outcome, typename Command>
    auto carryOut(Outcome Answered::*outcome, const Command &command) -> void;
    auto answer(ShardInput &&input) -> void;

    const ShardSettings &m_settings;
    SchedulerRings &m_rings;
    std::unique_ptr<HttpClient> m_client;
    std::unique_ptr<WorkerPort> m_port;
    std::vector<WorkerCommand> m_taken;
};
}

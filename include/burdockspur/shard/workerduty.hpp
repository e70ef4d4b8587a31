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

/// @brief Thread `workers`: executes worker commands and pushes the answers into the ring of the `shards` thread.
///
/// While the ring is full, an answer is logged and dropped; the shard's deadline for the answer covers the loss.
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
    auto executeCommands() -> void;
    auto perform(const RenewLease &command) -> void;
    auto perform(const StartAttempt &command) -> void;
    auto perform(const StopAttempt &command) -> void;
    auto perform(const CheckpointAttempt &command) -> void;
    /// @brief Calls a worker and pushes its answer.
    /// @tparam Call member function of WorkerPort
    /// @param outcome member of Answered that receives the worker's reply
    template<auto Call, typename Answered, typename Outcome, typename Command>
    auto callWorker(Outcome Answered::*outcome, const Command &command) -> void;
    auto pushAnswer(ShardInput &&input) -> void;

    const ShardSettings &m_settings;
    SchedulerRings &m_rings;
    std::unique_ptr<HttpClient> m_client;
    std::unique_ptr<WorkerPort> m_port;
    std::vector<WorkerCommand> m_commandBuffer;
};
}

#pragma once

#include "burdockspur/contract/job.hpp"
#include "faultmatrix/simulatedplatform.hpp"
#include "faultmatrix/simulatedworker.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Burdockspur::FaultMatrix
{
using Workers = std::vector<std::unique_ptr<SimulatedWorker>>;

/// @brief One scheduler process: ShardClaim, ShardScheduler and ShardStore, connected as ShardDuty connects them.
///
/// The header names no type of the folder shard/, because EntryTicket and DrainRequested are declared there and in
/// host/ as well.
class SchedulerHost : public Process
{
public:
    using Replied = std::function<void(Result<Job> &&)>;

    SchedulerHost(std::string name, Simulation &simulation, SimulatedPlatform &platform, Workers &workers);
    ~SchedulerHost() override;

    auto kill() -> void override;
    auto restart() -> void override;

    auto submit(const std::string &job, const JobSpec &spec, Replied replied) -> void;
    auto cancel(const std::string &job, Replied replied) -> void;
    auto drain() -> void;

    /// @brief Does what is due.
    auto pump() -> void;
    [[nodiscard]] auto deadline() const -> TimePoint;

    [[nodiscard]] auto isOwner() const -> bool;
    [[nodiscard]] auto configVersion() const -> std::uint64_t;

    /// @brief Changed jobs that wait for the table.
    [[nodiscard]] auto waitingChanges() const -> std::size_t;

    /// @brief One line for each job that has not ended, for reports of failures only.
    [[nodiscard]] auto describe() const -> std::string;

private:
    struct Private;
    Simulation &m_simulation;
    SimulatedPlatform &m_platform;
    Workers &m_workers;
    std::unique_ptr<Private> m_private;
};
}

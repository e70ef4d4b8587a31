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

/// @brief Simulated scheduler process: ShardClaim, ShardScheduler and ShardStore connected as ShardDuty connects them.
///
/// The header uses no type of the folder shard/, because both shard/ and host/ declare types named EntryTicket and
/// DrainRequested.
class SchedulerHost : public Process
{
public:
    using ReplyHandler = std::function<void(Result<Job> &&)>;

    SchedulerHost(std::string name, Simulation &simulation, SimulatedPlatform &platform, Workers &workers);
    ~SchedulerHost() override;

    auto kill() -> void override;
    auto restart() -> void override;

    auto submit(const std::string &job, const JobSpec &spec, ReplyHandler onReply) -> void;
    auto cancel(const std::string &job, ReplyHandler onReply) -> void;
    auto drain() -> void;

    /// @brief Polls the platform and handles the deadlines that are due.
    auto pump() -> void;
    [[nodiscard]] auto deadline() const -> TimePoint;

    [[nodiscard]] auto isOwner() const -> bool;
    [[nodiscard]] auto configVersion() const -> std::uint64_t;

    /// @brief Number of changed jobs that are not yet written to the table.
    [[nodiscard]] auto waitingChanges() const -> std::size_t;

    /// @brief Describes the ownership of the shard as recorded by this host, for failure reports.
    [[nodiscard]] auto describe() const -> std::string;

private:
    struct Private;
    Simulation &m_simulation;
    SimulatedPlatform &m_platform;
    Workers &m_workers;
    std::unique_ptr<Private> m_private;
};
}

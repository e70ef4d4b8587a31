#pragma once

#include "burdockspur/contract/requestanswer.hpp"
#include "burdockspur/contract/servicerequest.hpp"
#include "faultmatrix/schedulerhost.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur::FaultMatrix
{
/// @brief One entry process: RequestRouter, connected as RouterDuty and PlatformDuty connect it.
///
/// The header names no event of the folder host/, see SchedulerHost.
class EntryHost : public Process
{
public:
    /// @brief Takes the answer to a caller.
    using Answered = std::function<void(std::uint64_t, const RequestAnswer &)>;

    /// @brief All entry hosts of a bed.
    using Entries = std::vector<std::unique_ptr<EntryHost>>;

    EntryHost(std::string name, Simulation &simulation, SimulatedPlatform &platform, Workers &workers, Answered answered, const Entries &entries);
    ~EntryHost() override;

    auto restart() -> void override;
    auto request(std::uint64_t ticket, ServiceRequest request) -> void;
    auto drain() -> void;
    auto pump() -> void;
    [[nodiscard]] auto deadline() const -> TimePoint;
    [[nodiscard]] auto configVersion() const -> std::uint64_t;
    [[nodiscard]] auto isIdle() const -> bool;

private:
    struct Private;
    Simulation &m_simulation;
    SimulatedPlatform &m_platform;
    Workers &m_workers;
    Answered m_answered;
    const Entries &m_entries; ///< asked for keys, by name
    std::unique_ptr<Private> m_private;
};
}

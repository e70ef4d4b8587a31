#pragma once

#include "burdockspur/contract/requestanswer.hpp"
#include "burdockspur/contract/servicerequest.hpp"
#include "faultmatrix/schedulerhost.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

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

    /// @brief Finds another entry host by its name.
    using PeerNamed = std::function<EntryHost *(std::string_view)>;

    EntryHost(std::string name, Simulation &simulation, SimulatedPlatform &platform, Workers &workers, Answered answered, PeerNamed peerNamed);
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
    PeerNamed m_peerNamed;
    std::unique_ptr<Private> m_private;
};
}

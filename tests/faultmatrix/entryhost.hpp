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
/// @brief Simulated entry process: a RequestRouter connected as RouterDuty and PlatformDuty connect it.
///
/// The header uses no event type of the folder host/, for the reason given at SchedulerHost.
class EntryHost : public Process
{
public:
    /// @brief Receives the answer to a caller's request, with the ticket of the request.
    using AnswerHandler = std::function<void(std::uint64_t, const RequestAnswer &)>;

    /// @brief All entry hosts of a simulation.
    using Entries = std::vector<std::unique_ptr<EntryHost>>;

    EntryHost(std::string name, Simulation &simulation, SimulatedPlatform &platform, Workers &workers, AnswerHandler onAnswer, const Entries &entries);
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
    AnswerHandler m_onAnswer;
    const Entries &m_entries; ///< peers that requests for keys are sent to, found by name
    std::unique_ptr<Private> m_private;
};
}

#pragma once

#include "burdockspur/contract/targetorder.hpp"
#include "burdockspur/contract/targetreply.hpp"
#include "burdockspur/port/workerport.hpp"
#include "faultmatrix/simulation.hpp"
#include "standins/workeraudit.hpp"
#include "standins/workerfaults.hpp"
#include "standins/workermodel.hpp"
#include "standins/workerspec.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Burdockspur::FaultMatrix
{
/// @brief Simulated worker: a WorkerModel on the virtual clock that answers in the types of the worker port.
class SimulatedWorker : public Process
{
public:
    using ReplyHandler = std::function<void(TargetReply &&)>;

    SimulatedWorker(std::string name, Simulation &simulation, std::uint64_t seed);

    auto kill() -> void override;
    auto pause(TimePoint now, TimePoint until) -> void override;

    /// @brief Advances the model to the current time; must be called before any order.
    auto advance() -> void;
    [[nodiscard]] auto nextEvent() const -> TimePoint;

    [[nodiscard]] auto renew(const LeaseRenewal &renewal) -> Result<LeaseReport>;
    [[nodiscard]] auto start(const StartOrder &order) -> StartResult;
    [[nodiscard]] auto stop(const AttemptOrder &order) -> Result<AttemptReport>;
    [[nodiscard]] auto checkpoint(const AttemptOrder &order) -> Result<AttemptReport>;
    auto request(const ForwardOrder &order, ReplyHandler onReply) -> void;
    [[nodiscard]] auto settle(const SettleOrder &order) -> SettleReply;

    Standins::WorkerSpec m_spec;
    Standins::WorkerFaults m_faults;
    Standins::WorkerAudit m_audit;
    RandomSource m_random;
    Standins::WorkerModel m_model;
    TimePoint m_leavesAt = TimePoint::max(); ///< when it is marked as leaving in the host list, which shows it after a lag
    TimePoint m_returnsAt = TimePoint::max(); ///< when it is marked as live again

private:
    [[nodiscard]] auto replyOf(Standins::RequestState state, Standins::ExecutionId execution) -> TargetReply;

    [[nodiscard]] auto incarnation() const -> std::string;

    Simulation &m_simulation;
    std::uint32_t m_restarts = 0; ///< part of the incarnation, which changes with each restart
    TimePoint m_pausedSince = TimePoint::max();
    std::map<Standins::ExecutionId, std::vector<ReplyHandler>> m_waiting;
};

/// @brief Milliseconds of a virtual time, as the audit records them.
[[nodiscard]] constexpr auto virtualMs(TimePoint time) noexcept -> std::int64_t
{
    return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}
}

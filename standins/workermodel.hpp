#pragma once

#include "standins/workerrequests.hpp"
#include "standins/workertasks.hpp"

#include "burdockspur/core/clock.hpp"

#include <optional>
#include <string_view>

namespace Burdockspur
{
class RandomSource;
}

namespace Burdockspur::Standins
{
class WorkerAudit;
struct WorkerFaults;
struct WorkerSpec;

/// @brief A worker without its network: leases, tasks and requests, driven by a clock value.
///
/// @code
/// WorkerModel model(spec, faults, audit, random);
/// model.advance(now);
/// const auto report = model.tasks().renewLease(now, renewal);
/// @endcode
class WorkerModel
{
public:
    /// @brief All arguments must outlive the model.
    WorkerModel(const WorkerSpec &spec, WorkerFaults &faults, WorkerAudit &audit, RandomSource &random);

    /// @brief Ends what is due; called before any other function with the same time.
    auto advance(TimePoint now) -> void;

    /// @brief Time at which advance() has something to do; nothing while the worker is idle.
    [[nodiscard]] auto nextEvent() const -> std::optional<TimePoint>;

    /// @brief Starts a request under the faults in force.
    /// @param now time on the worker's clock
    /// @param request m_serviceTime empty of faults; m_leaving and m_fails are set here
    [[nodiscard]] auto startRequest(TimePoint now, WorkerRequest request) -> RequestStatus;

    /// @brief Moves running work into the future after a pause during which the clock ran on.
    auto postpone(Duration pause) -> void;

    /// @brief Forgets all state.
    auto crash(TimePoint now) -> void;

    [[nodiscard]] auto tasks() noexcept -> WorkerTasks &
    {
        return m_tasks;
    }

    [[nodiscard]] auto requests() noexcept -> WorkerRequests &
    {
        return m_requests;
    }

private:
    WorkerFaults &m_faults;
    RandomSource &m_random;
    WorkerTasks m_tasks;
    WorkerRequests m_requests;
};
}

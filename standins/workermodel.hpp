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

/// @brief State of a worker without its network: leases, tasks and requests. The caller supplies the time.
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

    /// @brief Ends tasks and requests that are due; must be called before any other function with the same time.
    auto advance(TimePoint now) -> void;

    /// @brief Next time at which advance() has something to do; empty while the worker is idle.
    [[nodiscard]] auto nextEvent() const -> std::optional<TimePoint>;

    /// @brief Starts a request and applies the faults that are switched on.
    /// @param now time on the worker's clock
    /// @param request m_serviceTime without the effect of faults; m_leaving and m_fails are set by this function
    [[nodiscard]] auto startRequest(TimePoint now, WorkerRequest request) -> RequestStatus;

    /// @brief Delays the end of running work by the length of a pause during which the clock, and so the leases, ran on.
    auto postpone(Duration pause) -> void;

    /// @brief Drops all state, as a crash of the process does.
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

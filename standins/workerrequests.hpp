#pragma once

#include "burdockspur/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Burdockspur::Standins
{
class WorkerAudit;
struct WorkerSpec;

/// @brief Names one execution of a request on a worker.
using ExecutionId = std::uint64_t;

/// @brief A request as a worker receives it.
struct WorkerRequest {
    std::string_view m_id;
    std::string_view m_key; ///< idempotency key, or empty
    std::string_view m_service;
    std::string_view m_body;
    Duration m_serviceTime{0};
    bool m_leaving = false; ///< the worker takes no new requests
    bool m_fails = false;
};

/// @brief What a worker knows about a request.
enum class RequestState : std::uint8_t {
    Running,
    Answered,
    Failed,
    NeverStarted,
    SlotsExhausted,
    Leaving,
};

/// @brief Answer to a request or to a query of its state.
struct RequestStatus {
    RequestState m_state = RequestState::Running;
    ExecutionId m_execution = 0; ///< of a request that runs or ran
};

/// @brief Requests of a worker: slots, idempotency, stored answers and tombstones.
///
/// Times are on the worker's own clock and never decrease. Call advance() before any other function.
class WorkerRequests
{
public:
    WorkerRequests(const WorkerSpec &spec, WorkerAudit &audit);

    /// @brief Ends the executions that are due and forgets old answers and tombstones.
    auto advance(TimePoint now) -> void;

    /// @brief Time at which the next execution ends.
    [[nodiscard]] auto nextEvent() const -> std::optional<TimePoint>;

    /// @brief Starts a request, or finds the execution of the same id or key.
    [[nodiscard]] auto start(TimePoint now, const WorkerRequest &request) -> RequestStatus;

    /// @brief True when start() would run the request now.
    [[nodiscard]] auto admits(const WorkerRequest &request) const -> bool;

    /// @brief State of a request; an unknown one is tombstoned and never starts.
    [[nodiscard]] auto settle(TimePoint now, std::string_view id) -> RequestStatus;

    /// @brief Body of an answered execution; valid until the next call.
    [[nodiscard]] auto body(ExecutionId execution) const -> std::string_view;

    /// @brief Takes the executions that ended since the last call.
    [[nodiscard]] auto takeEnded() -> std::vector<RequestStatus>;

    /// @brief Moves running executions into the future.
    auto postpone(Duration pause) -> void;

    /// @brief Forgets everything; only the audit hears of it.
    auto crash(TimePoint now) -> void;

    /// @brief Number of slots in use.
    [[nodiscard]] auto runningCount() const noexcept -> std::size_t
    {
        return m_running.size();
    }

    /// @brief Number of request ids that are remembered.
    [[nodiscard]] auto rememberedCount() const noexcept -> std::size_t
    {
        return m_requests.size();
    }

private:
    struct Execution {
        std::vector<std::string> m_ids; ///< the first one started it
        std::string m_key;
        std::string m_body;
        RequestState m_state = RequestState::Running;
        bool m_fails = false;
        TimePoint m_end;
    };

    auto finish(ExecutionId id, TimePoint time) -> void;
    [[nodiscard]] auto statusOf(ExecutionId id) const -> RequestStatus;

    const WorkerSpec &m_spec;
    WorkerAudit &m_audit;
    ExecutionId m_last = 0;
    std::unordered_map<ExecutionId, Execution> m_executions;
    std::unordered_map<std::string, ExecutionId> m_requests; ///< 0 for a tombstone
    std::unordered_map<std::string, ExecutionId> m_keys;
    std::vector<ExecutionId> m_running;
    std::vector<RequestStatus> m_ended;
    std::deque<std::pair<TimePoint, ExecutionId>> m_oldAnswers;
    std::deque<std::pair<TimePoint, std::string>> m_oldTombstones;
};
}

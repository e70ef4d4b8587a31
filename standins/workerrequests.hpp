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

/// @brief Identifies one execution of a request on a worker.
using ExecutionId = std::uint64_t;

/// @brief A request as a worker receives it.
struct WorkerRequest {
    std::string_view m_id;
    std::string_view m_key; ///< idempotency key, or empty
    std::string_view m_service;
    std::string_view m_body;
    Duration m_serviceTime{0};
    bool m_leaving = false; ///< the worker refuses new requests
    bool m_fails = false;
};

/// @brief State of a request on a worker.
enum class RequestState : std::uint8_t {
    Running,
    Answered,
    Failed,
    NeverStarted,
    SlotsExhausted,
    Leaving,
};

/// @brief Result of starting or settling a request.
struct RequestStatus {
    RequestState m_state = RequestState::Running;
    ExecutionId m_execution = 0; ///< 0 when the request did not start
};

/// @brief Runs the requests of a worker: slots, idempotency, stored answers and tombstones.
///
/// Times are on the worker's own clock and never decrease. Call advance() before any other function.
class WorkerRequests
{
public:
    WorkerRequests(const WorkerSpec &spec, WorkerAudit &audit);

    /// @brief Ends the executions that are due, and removes answers and tombstones whose retention is over.
    auto advance(TimePoint now) -> void;

    /// @brief Time at which the next execution ends; empty when none runs.
    [[nodiscard]] auto nextEvent() const -> std::optional<TimePoint>;

    /// @brief Starts a request, or returns the status of the execution with the same id or key.
    [[nodiscard]] auto start(TimePoint now, const WorkerRequest &request) -> RequestStatus;

    /// @brief True when start() would execute the request now.
    [[nodiscard]] auto admits(const WorkerRequest &request) const -> bool;

    /// @brief Returns the state of a request; an unknown one gets a tombstone, so that it never starts.
    [[nodiscard]] auto settle(TimePoint now, std::string_view id) -> RequestStatus;

    /// @brief Body of the answer of an execution; valid until the next call.
    [[nodiscard]] auto body(ExecutionId execution) const -> std::string_view;

    /// @brief Returns the executions that ended since the last call.
    [[nodiscard]] auto takeEnded() -> std::vector<RequestStatus>;

    /// @brief Delays the end of running executions by the length of a pause.
    auto postpone(Duration pause) -> void;

    /// @brief Drops all state without answering; the audit records the executions that were running.
    auto crash(TimePoint now) -> void;

    /// @brief Number of slots in use.
    [[nodiscard]] auto runningCount() const noexcept -> std::size_t
    {
        return m_running.size();
    }

    /// @brief Number of request ids whose state is kept.
    [[nodiscard]] auto rememberedCount() const noexcept -> std::size_t
    {
        return m_requests.size();
    }

private:
    struct Execution {
        std::vector<std::string> m_ids; ///< of the requests that share the execution; the first one started it
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
    std::deque<std::pair<TimePoint, ExecutionId>> m_answersByEnd;
    std::deque<std::pair<TimePoint, std::string>> m_tombstonesByTime;
};
}

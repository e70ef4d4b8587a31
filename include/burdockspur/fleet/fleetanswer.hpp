#pragma once

#include "burdockspur/contract/runreport.hpp"
#include "burdockspur/core/error.hpp"
#include "burdockspur/fleet/fleetcommand.hpp"

#include <cstdint>
#include <variant>

namespace Burdockspur
{
/// @brief Outcome of an order to a worker.
enum class OrderOutcome : std::uint8_t {
    Accepted,
    Fenced, ///< the worker has accepted an order of a later owner
    Superseded, ///< this run or a later one of the task was stopped or has ended on the worker
    Expired, ///< the lease in the order had passed
    InsufficientCapacity, ///< the worker has too few free resources
    NotAdvised, ///< the advice service did not allow the worker
    Unhealthy, ///< the worker refused the order without effect
    OtherIncarnation, ///< the worker has restarted since
    Malformed, ///< the worker could not parse the order
    NoAnswer, ///< the order may have been carried out, or may still be
};

/// @brief Name of an outcome, e.g. `no_answer`.
[[nodiscard]] auto outcomeName(OrderOutcome outcome) noexcept -> std::string_view;

/// @brief Answer to a ReportOrder.
struct ReportAnswer {
    WorkerAddress m_address;
    OrderOutcome m_outcome = OrderOutcome::NoAnswer;
    RunReport m_report; ///< valid if accepted
    TimePoint m_sentAt;
    TimePoint m_receivedAt;
};

/// @brief Answer to a RunStartOrder.
struct StartAnswer {
    WorkerAddress m_address;
    TaskId m_task;
    RunNumber m_run = 0;
    OrderOutcome m_outcome = OrderOutcome::NoAnswer;
    std::optional<Milliseconds> m_clock; ///< time on the worker's clock, if it was in the answer
    TimePoint m_receivedAt;
};

/// @brief Answer to a RunStopOrder.
struct StopAnswer {
    WorkerAddress m_address;
    TaskId m_task;
    RunNumber m_run = 0;
    OrderOutcome m_outcome = OrderOutcome::NoAnswer;
};

/// @brief Answer to a RunPaceOrder.
struct PaceAnswer {
    WorkerAddress m_address;
    TaskId m_task;
    RunNumber m_run = 0;
    int m_percent = 100;
    OrderOutcome m_outcome = OrderOutcome::NoAnswer;
};

/// @brief Answer to a CommitOrder.
struct CommitAnswer {
    std::uint64_t m_number = 0;
    Epoch m_epoch = 0;
    TimePoint m_sentAt; ///< if stored, this host was certainly the owner at this time
    bool m_isStored = false; ///< false if the commit failed or its outcome is unknown; its rows have to be written again
    TimePoint m_answeredAt; ///< when the store's answer was read
};

/// @brief An answer of a worker to any order.
using WorkerAnswer = std::variant<ReportAnswer, StartAnswer, StopAnswer, PaceAnswer>;
}

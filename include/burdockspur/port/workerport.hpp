#pragma once

#include "burdockspur/contract/attempt.hpp"
#include "burdockspur/contract/job.hpp"
#include "burdockspur/contract/workerlease.hpp"
#include "burdockspur/core/clock.hpp"
#include "burdockspur/core/error.hpp"
#include "burdockspur/link/httpclient.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace Burdockspur
{
/// @brief Orders a worker to start an attempt.
struct StartOrder {
    ShardId m_shard = 0;
    Epoch m_epoch = 0;
    AttemptId m_attempt;
    JobSpec m_spec;
    std::string m_checkpoint;
};

/// @brief Orders a worker to stop or checkpoint an attempt.
struct AttemptOrder {
    ShardId m_shard = 0;
    Epoch m_epoch = 0;
    AttemptId m_attempt;
};

/// @brief Result of a start.
struct StartResult {
    enum class Status : std::uint8_t {
        Started, ///< or already known to the worker
        Refused, ///< the attempt is not running and this order will not start it; m_reason says why
        Fenced, ///< the worker has received an order with a higher epoch
        Unknown, ///< no answer; the same order may be repeated
    };

    Status m_status = Status::Unknown;
    std::string m_reason; ///< error code of the worker, e.g. `no_capacity`, `leaving`, `superseded`, `tombstoned` or `no_lease`
};

/// @brief Sends an owner's orders to workers that run attempts.
///
/// Lives in the thread of the worker duty. Callbacks run there, exactly once, never from within the call.
/// Errors: StaleEpoch when the worker has received an order with a higher epoch, Timeout or ConnectionClosed without an answer.
class WorkerPort
{
public:
    using LeaseCallback = std::function<void(Result<LeaseReport> &&)>;
    using StartCallback = std::function<void(StartResult &&)>;
    using ReportCallback = std::function<void(Result<AttemptReport> &&)>;
    using DoneCallback = std::function<void(Result<void> &&)>;

    WorkerPort() = default;
    virtual ~WorkerPort() = default;
    WorkerPort(const WorkerPort &) = delete;
    WorkerPort(WorkerPort &&) = delete;
    auto operator=(const WorkerPort &) -> WorkerPort & = delete;
    auto operator=(WorkerPort &&) -> WorkerPort & = delete;

    virtual auto renew(const HttpEndpoint &worker, const LeaseRenewal &renewal, Duration timeout, LeaseCallback callback) -> void = 0;
    virtual auto start(const HttpEndpoint &worker, const StartOrder &order, Duration timeout, StartCallback callback) -> void = 0;
    /// @brief Stops an attempt, or leaves a tombstone for one that the worker does not know.
    virtual auto stop(const HttpEndpoint &worker, const AttemptOrder &order, Duration timeout, ReportCallback callback) -> void = 0;
    /// @brief Makes a running attempt write a checkpoint; the report holds its name.
    virtual auto checkpoint(const HttpEndpoint &worker, const AttemptOrder &order, Duration timeout, ReportCallback callback) -> void = 0;
    /// @brief Limits an attempt to a share of its processors, 1 to 100 percent.
    virtual auto throttle(const HttpEndpoint &worker, const AttemptOrder &order, int sharePercent, Duration timeout, DoneCallback callback) -> void = 0;
};
}

#pragma once

#include "burdockspur/contract/attempt.hpp"
#include "burdockspur/core/clock.hpp"
#include "burdockspur/core/identifiers.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Burdockspur
{
/// @brief Names one report of a worker for a shard.
struct ReportId {
    std::string m_incarnation; ///< of the worker process that made the report
    std::uint64_t m_number = 0; ///< grows with each report of the shard, starting at 1

    auto operator==(const ReportId &) const -> bool = default;
};

/// @brief Renewal of a shard's lease on a worker; it fences lower epochs and keeps the shard's tasks running.
///
/// The worker counts the lease from when it sent the report that the renewal answers, so that a renewal that
/// was held up, e.g. while the worker was paused, grants nothing.
struct LeaseRenewal {
    ShardId m_shard = 0;
    Epoch m_epoch = 0;
    std::string m_owner;
    Milliseconds m_ttl{0};
    std::vector<AttemptId> m_acknowledged; ///< ended attempts whose ends are durable
    std::optional<ReportId> m_answers = std::nullopt; ///< last report that the owner received; without it, no lease is granted
};

/// @brief A worker's answer to a renewal.
struct LeaseReport {
    Epoch m_epoch = 0;
    ReportId m_report;
    bool m_granted = false; ///< the renewal gave the epoch a lease that has not ended
    std::vector<AttemptReport> m_attempts; ///< every attempt of the shard that is not yet acknowledged
    Resources m_usage; ///< of the whole worker, lagging
    Milliseconds m_usageLag{0};
    bool m_leaving = false;
};
}

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
/// @brief Identifies one report of a worker for a shard.
struct ReportId {
    std::string m_incarnation; ///< incarnation of the worker that made the report
    std::uint64_t m_number = 0; ///< increases with each report for the shard, starting at 1

    auto operator==(const ReportId &) const -> bool = default;
};

/// @brief Renewal of a shard's lease on a worker; it fences lower epochs and keeps the shard's tasks running.
///
/// The lease runs from the time at which the worker sent the report that the renewal answers, so that a delayed
/// renewal, e.g. one that arrives after a pause of the worker, grants nothing.
struct LeaseRenewal {
    ShardId m_shard = 0;
    Epoch m_epoch = 0;
    std::string m_owner;
    Milliseconds m_ttl{0};
    std::vector<AttemptId> m_acknowledged; ///< ended attempts whose end is stored durably
    std::optional<ReportId> m_answeredReport = std::nullopt; ///< latest report that the owner received; without it, no lease is granted
};

/// @brief A worker's answer to a renewal.
struct LeaseReport {
    Epoch m_epoch = 0;
    ReportId m_report;
    bool m_granted = false; ///< the renewal granted the epoch a lease that has not expired
    std::vector<AttemptReport> m_attempts; ///< every attempt of the shard that is not yet acknowledged
    Resources m_usage; ///< measured use of the whole worker, m_usageLag ago
    Milliseconds m_usageLag{0};
    bool m_leaving = false;
};
}

#pragma once

#include "burdockspur/contract/job.hpp"

#include <cstdint>

namespace Burdockspur
{
/// @brief The durable state of a job, as in journal rows and snapshots.
struct JobRecord {
    Job m_job;
    std::uint64_t m_submission = 0; ///< position in the order of submissions of the shard
    std::uint32_t m_failures = 0; ///< attempts that failed
    Resources m_reserved; ///< of the latest attempt; a new owner reserves the same
    bool m_cancelRequested = false; ///< the job ends when its attempt is known to have ended

    [[nodiscard]] auto operator==(const JobRecord &) const -> bool = default;
};
}

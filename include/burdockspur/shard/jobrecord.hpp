#pragma once

#include "burdockspur/contract/job.hpp"

#include <cstdint>

namespace Burdockspur
{
/// @brief Durable state of a job, stored in journal rows and snapshots.
struct JobRecord {
    Job m_job;
    std::uint64_t m_submission = 0; ///< position in the order of submissions of the shard
    std::uint32_t m_failures = 0; ///< number of failed attempts
    Resources m_reserved; ///< reservation of the latest attempt; a new owner reserves the same amount
    bool m_cancelRequested = false; ///< the job is cancelled once its attempt has ended

    [[nodiscard]] auto operator==(const JobRecord &) const -> bool = default;
};
}

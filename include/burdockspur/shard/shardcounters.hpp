#pragma once

#include <cstdint>

namespace Burdockspur
{
/// @brief Event counts of one owned shard since its ownership began.
struct ShardCounters {
    std::uint64_t m_submissions = 0;
    std::uint64_t m_refusals = 0; ///< submissions refused because too many changes are pending
    std::uint64_t m_starts = 0; ///< attempts whose first start was sent
    std::uint64_t m_completions = 0;
    std::uint64_t m_failures = 0; ///< failed attempts
    std::uint64_t m_evictions = 0; ///< attempts stopped because their worker leaves
    std::uint64_t m_losses = 0; ///< attempts ended by the expiry of a worker lease
    std::uint64_t m_quarantines = 0;
    std::uint64_t m_strays = 0; ///< reports of running attempts that are not the current one of their job
    std::uint64_t m_journalRows = 0;
};
}

#pragma once

#include "standins/countentry.hpp"

#include <array>
#include <cstdint>

namespace Burdockspur::Standins
{
/// @brief Counts of what the platform's services did since their process started.
struct PlatformCounts {
    std::int64_t m_reads = 0; ///< calls that read a row, rows or an object
    std::int64_t m_transactions = 0; ///< committed ones
    std::int64_t m_writes = 0; ///< rows written or deleted and objects written or removed
    std::int64_t m_conflicts = 0;
    std::int64_t m_rateLimited = 0;
    std::int64_t m_unavailable = 0;
    std::int64_t m_answersLost = 0;
    std::int64_t m_hostListReads = 0;
    std::int64_t m_bytesIn = 0; ///< of bodies
    std::int64_t m_bytesOut = 0; ///< of bodies
    std::int64_t m_rows = 0;
    std::int64_t m_objects = 0;
};

/// @brief Names of the platform's counts.
inline constexpr std::array<CountEntry<PlatformCounts>, 12> platformCountTable{{
    {"reads", &PlatformCounts::m_reads},
    {"transactions", &PlatformCounts::m_transactions},
    {"writes", &PlatformCounts::m_writes},
    {"conflicts", &PlatformCounts::m_conflicts},
    {"rate_limited", &PlatformCounts::m_rateLimited},
    {"unavailable", &PlatformCounts::m_unavailable},
    {"answers_lost", &PlatformCounts::m_answersLost},
    {"host_list_reads", &PlatformCounts::m_hostListReads},
    {"bytes_in", &PlatformCounts::m_bytesIn},
    {"bytes_out", &PlatformCounts::m_bytesOut},
    {"rows", &PlatformCounts::m_rows},
    {"objects", &PlatformCounts::m_objects},
}};
}

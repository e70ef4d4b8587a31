#pragma once

#include "burdockspur/core/guards.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur::Testing
{
/// @brief What one random run did and found.
struct WorldRun {
    std::size_t m_steps = 0; ///< events that the decision code handled
    std::size_t m_strikes = 0; ///< faults that struck, lost and late messages included
    std::vector<std::string> m_violations;
};

[[nodiscard]] auto runShardWorld(std::uint64_t seed, const Guards &guards) -> WorldRun;
[[nodiscard]] auto runRequestWorld(std::uint64_t seed, const Guards &guards) -> WorldRun;
[[nodiscard]] auto runFaultPair(std::uint64_t seed, const Guards &guards) -> WorldRun;
[[nodiscard]] auto runClaimWorld(std::uint64_t seed, const Guards &guards) -> WorldRun;

/// @brief A kind of random run; everything in a run follows from its seed.
struct WorldRow {
    std::string_view m_name;
    WorldRun (*m_run)(std::uint64_t seed, const Guards &guards);
};

inline constexpr std::array<WorldRow, 4> worldRows{{
    {"shard", &runShardWorld},
    {"request", &runRequestWorld},
    {"fault", &runFaultPair},
    {"claim", &runClaimWorld},
}};
}

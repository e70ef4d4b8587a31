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
/// @brief Result of one random run.
struct WorldRun {
    std::size_t m_steps = 0; ///< events that the decision code handled
    std::size_t m_injectedFaults = 0; ///< including lost and delayed messages
    std::vector<std::string> m_violations;
};

[[nodiscard]] auto runShardWorld(std::uint64_t seed, const Guards &guards) -> WorldRun;
[[nodiscard]] auto runRequestWorld(std::uint64_t seed, const Guards &guards) -> WorldRun;
[[nodiscard]] auto runFaultPair(std::uint64_t seed, const Guards &guards) -> WorldRun;
[[nodiscard]] auto runClaimWorld(std::uint64_t seed, const Guards &guards) -> WorldRun;

/// @brief A kind of random run; its seed determines the whole run.
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

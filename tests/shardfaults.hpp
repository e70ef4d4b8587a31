#pragma once

#include "shardworld.hpp"

#include <rapidcheck.h>

#include <ostream>

namespace Burdockspur::Testing
{
/// @brief Generates one random fault of a ShardWorld.
[[nodiscard]] inline auto anyShardFault() -> rc::Gen<ShardWorld::Fault>
{
    return rc::gen::build<ShardWorld::Fault>(rc::gen::set(&ShardWorld::Fault::m_kind, rc::gen::inRange(0, static_cast<int>(ShardWorld::FaultKind::KindCount))),
                                             rc::gen::set(&ShardWorld::Fault::m_startMs, rc::gen::inRange(0, 60'000)),
                                             rc::gen::set(&ShardWorld::Fault::m_target, rc::gen::inRange(0, 40)),
                                             rc::gen::set(&ShardWorld::Fault::m_durationMs, rc::gen::inRange(100, 40'000)));
}

/// @brief Prints a fault in the counterexample of a failed property.
inline auto showValue(const ShardWorld::Fault &fault, std::ostream &stream) -> void
{
    stream << "{" << fault.m_kind << ", " << fault.m_startMs << ", " << fault.m_target << ", " << fault.m_durationMs << "}";
}
}

#pragma once

#include "shardworld.hpp"

#include <rapidcheck.h>

#include <ostream>

namespace Burdockspur::Testing
{
[[nodiscard]] inline auto anyShardFault() -> rc::Gen<ShardWorld::Fault>
{
    return rc::gen::build<ShardWorld::Fault>(rc::gen::set(&ShardWorld::Fault::m_kind, rc::gen::inRange(0, static_cast<int>(ShardWorld::FaultKind::KindCount))),
                                             rc::gen::set(&ShardWorld::Fault::m_atMs, rc::gen::inRange(0, 60'000)),
                                             rc::gen::set(&ShardWorld::Fault::m_target, rc::gen::inRange(0, 40)),
                                             rc::gen::set(&ShardWorld::Fault::m_durationMs, rc::gen::inRange(100, 40'000)));
}

inline auto showValue(const ShardWorld::Fault &fault, std::ostream &stream) -> void
{
    stream << "{" << fault.m_kind << ", " << fault.m_atMs << ", " << fault.m_target << ", " << fault.m_durationMs << "}";
}
}

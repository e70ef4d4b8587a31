#pragma once

#include <cstdint>
#include <string_view>

namespace Burdockspur::Standins
{
/// @brief Names a count of a set of counts.
template<typename Counts>
struct CountEntry {
    std::string_view m_name;
    std::int64_t Counts::*m_count;
};
}

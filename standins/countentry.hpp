#pragma once

#include <cstdint>
#include <string_view>

namespace Burdockspur::Standins
{
/// @brief Maps the name of a count to its member in a struct of counts.
template<typename Counts>
struct CountEntry {
    std::string_view m_name;
    std::int64_t Counts::*m_count;
};
}

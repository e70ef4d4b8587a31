#include "standins/fault.hpp"

#include "burdockspur/core/randomsource.hpp"

namespace Burdockspur::Standins
{
auto Fault::triggers(RandomSource &random, std::string_view subject) -> bool
{
    if (!isOn() || subject.find(m_match) == std::string_view::npos) {
        return false;
    }
    if (m_value < 1 && random.unit() >= m_value) {
        return false;
    }
    if (m_count && --*m_count == 0) {
        *this = Fault{};
    }
    return true;
}
}

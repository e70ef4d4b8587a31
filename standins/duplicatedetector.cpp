#include "standins/duplicatedetector.hpp"

#include "burdockspur/core/identifiers.hpp"

namespace Burdockspur::Standins
{
auto DuplicateDetector::add(std::string_view name) -> bool
{
    const auto hash = hashOf(name);
    if (!m_hashes.insert(hash).second) {
        return true;
    }
    m_order.push_back(hash);
    if (m_order.size() > m_capacity) {
        m_hashes.erase(m_order.front());
        m_order.pop_front();
    }
    return false;
}

auto DuplicateDetector::contains(std::string_view name) const -> bool
{
    return m_hashes.contains(hashOf(name));
}
}

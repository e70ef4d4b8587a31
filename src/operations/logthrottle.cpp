#include "burdockspur/operations/logthrottle.hpp"

#include <utility>

namespace Burdockspur
{
namespace
{
constexpr std::chrono::seconds interval{1};
}

auto LogThrottle::admit(TimePoint now) noexcept -> std::optional<std::uint64_t>
{
    if (m_writtenAt && now - *m_writtenAt < interval) {
        ++m_heldBack;
        return std::nullopt;
    }
    m_writtenAt = now;
    return std::exchange(m_heldBack, 0);
}
}

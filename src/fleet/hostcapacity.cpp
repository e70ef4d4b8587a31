#include "burdockspur/fleet/hostcapacity.hpp"

#include <array>
#include <charconv>

namespace Burdockspur
{
namespace
{
/// A hand-over costs the fleet a takeover, so less than half as many processors again are not worth one.
constexpr double muchMoreProcessors = 1.5;
/// A takeover reads all jobs, so its time follows the link; afterwards the owner needs a small part of a link.
constexpr double muchMoreLink = 3.0;

/// @brief The shortest text of a number.
[[nodiscard]] auto textOf(double value) -> std::string
{
    std::array<char, 32> buffer{};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value).ptr;
    return {buffer.data(), end};
}
}

auto HostCapacity::isMuchStrongerThan(const HostCapacity &other) const noexcept -> bool
{
    if (!isKnown() || !other.isKnown() || !isAtLeast(other)) {
        return false;
    }
    return m_processors >= muchMoreProcessors * other.m_processors || m_linkMbps >= muchMoreLink * other.m_linkMbps;
}

auto HostCapacity::text() const -> std::string
{
    return textOf(m_processors) + " processors " + textOf(m_linkMbps) + " Mbit/s";
}
}

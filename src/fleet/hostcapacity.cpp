#include "burdockspur/fleet/hostcapacity.hpp"

#include <array>
#include <charconv>

namespace Burdockspur
{
namespace
{
/// Each hand-over costs the fleet a takeover, which is not worth it for fewer than 50% more processors.
constexpr double muchMoreProcessorsFactor = 1.5;
/// The link speed limits only the takeover, which reads all jobs; afterwards the owner uses a small part of its link.
constexpr double muchMoreLinkFactor = 3.0;

/// @brief Shortest decimal text of a number.
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
    return m_processors >= muchMoreProcessorsFactor * other.m_processors || m_linkMbps >= muchMoreLinkFactor * other.m_linkMbps;
}

auto HostCapacity::text() const -> std::string
{
    return textOf(m_processors) + " processors " + textOf(m_linkMbps) + " Mbit/s";
}
}

#include "burdockspur/contract/job.hpp"

#include <algorithm>
#include <array>
#include <cstddef>

namespace Burdockspur
{
namespace
{
constexpr std::array<std::string_view, 2> kindNames{"batch", "watcher"};
constexpr std::array<std::string_view, 7> stateNames{"queued", "assigned", "running", "completed", "failed", "cancelled", "unschedulable"};

template<typename Enum, std::size_t Count>
[[nodiscard]] auto fromName(const std::array<std::string_view, Count> &names, std::string_view name) noexcept -> std::optional<Enum>
{
    const auto *const found = std::ranges::find(names, name);
    if (found == names.end()) {
        return std::nullopt;
    }
    return static_cast<Enum>(found - names.begin());
}
}

auto jobKindName(JobKind kind) noexcept -> std::string_view
{
    return kindNames[static_cast<std::size_t>(kind)];
}

auto jobKindFromName(std::string_view name) noexcept -> std::optional<JobKind>
{
    return fromName<JobKind>(kindNames, name);
}

auto jobStateName(JobState state) noexcept -> std::string_view
{
    return stateNames[static_cast<std::size_t>(state)];
}

auto jobStateFromName(std::string_view name) noexcept -> std::optional<JobState>
{
    return fromName<JobState>(stateNames, name);
}
}

#include "standins/routes.hpp"

namespace Burdockspur::Standins
{
namespace
{
/// @brief Removes the first segment from a path that starts with a slash, and returns it.
[[nodiscard]] auto takeSegment(std::string_view &path) -> std::string_view
{
    path.remove_prefix(1);
    const auto segment = path.substr(0, path.find('/'));
    path.remove_prefix(segment.size());
    return segment;
}
}

auto matchPath(std::string_view pattern, std::string_view path) -> std::optional<std::vector<std::string>>
{
    std::vector<std::string> segments;
    while (pattern.starts_with('/') && path.starts_with('/')) {
        const auto expected = takeSegment(pattern);
        const auto found = takeSegment(path);
        if (expected == "*" && !found.empty()) {
            segments.push_back(percentDecoded(found));
        } else if (expected != found) {
            return std::nullopt;
        }
    }
    if (!pattern.empty() || !path.empty()) {
        return std::nullopt;
    }
    return segments;
}
}

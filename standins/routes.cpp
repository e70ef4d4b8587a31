#include "standins/routes.hpp"

namespace Burdockspur::Standins
{
namespace
{
/// @brief Splits the first segment off a path that starts with a slash.
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

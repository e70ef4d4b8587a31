#pragma once

#include "burdockspur/link/httpmessage.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur::Standins
{
/// @brief Matches a path against a pattern in which `*` matches one non-empty segment.
/// @param pattern e.g. `/v1/tasks/*/attempts/*`
/// @param path percent-encoded, as sent
/// @returns the percent-decoded segments that the stars match, or nothing when the path does not match
[[nodiscard]] auto matchPath(std::string_view pattern, std::string_view path) -> std::optional<std::vector<std::string>>;

/// @brief Route that matches a request, with the segments that its stars match.
template<typename Route>
struct RouteMatch {
    const Route *m_route = nullptr; ///< nullptr when no route matches the path and method
    std::vector<std::string> m_segments;
};

/// @brief Finds the route of a request.
/// @param routes table whose entries have the members m_method and m_pattern
template<typename Route>
[[nodiscard]] auto findRoute(std::span<const Route> routes, const HttpRequest &request) -> RouteMatch<Route>
{
    for (const auto &route : routes) {
        if (route.m_method != request.m_method) {
            continue;
        }
        if (auto segments = matchPath(route.m_pattern, request.path())) {
            return {&route, std::move(*segments)};
        }
    }
    return {};
}
}

#pragma once

#include "burdockspur/link/httpmessage.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur::Standins
{
/// @brief Compares a path with a pattern in which `*` stands for one segment.
/// @param pattern e.g. `/v1/tasks/*/attempts/*`
/// @param path as sent
/// @returns the percent-decoded segments in place of the stars, or nothing when the path differs
[[nodiscard]] auto matchPath(std::string_view pattern, std::string_view path) -> std::optional<std::vector<std::string>>;

/// @brief A route of a table and the segments that its stars stand for.
template<typename Route>
struct RouteMatch {
    const Route *m_route = nullptr; ///< nullptr when no route has the path and method
    std::vector<std::string> m_segments;
};

/// @brief Finds the route of a request in a table of entries with m_method and m_pattern.
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

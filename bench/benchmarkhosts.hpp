#pragma once

#include "burdockspur/machine/hostrecord.hpp"

#include <cstddef>

namespace Burdockspur::Bench
{
/// @brief A fleet of the target's shape: workers of 16 cores and 60 GB over 8 zones, 8 to a rack.
/// @param workers number of workers
[[nodiscard]] auto makeBenchmarkHosts(std::size_t workers) -> HostListing;
}

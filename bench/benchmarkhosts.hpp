#pragma once

#include "burdockspur/machine/hostrecord.hpp"

#include <cstddef>

namespace Burdockspur::Bench
{
/// @brief Creates the host list of a fleet whose workers have 16 cores and 60 GB each and are spread over 8 zones, with 8 to a rack.
/// @param workers number of workers
[[nodiscard]] auto makeBenchmarkHosts(std::size_t workers) -> HostListing;
}

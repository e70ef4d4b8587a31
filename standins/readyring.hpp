#pragma once

#include "burdockspur/core/boundedring.hpp"
#include "burdockspur/core/error.hpp"

#include <string>

namespace Burdockspur::Standins
{
/// @brief Passes the open ports of a duty to the main thread, as lines for standard output.
///
/// Holds an error when a port could not be opened. The duty closes the ring when it has opened its ports or failed.
using ReadyRing = BoundedRing<Result<std::string>>;
}

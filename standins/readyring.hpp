#pragma once

#include "burdockspur/core/boundedring.hpp"
#include "burdockspur/core/error.hpp"

#include <string>

namespace Burdockspur::Standins
{
/// @brief Lines for standard output from a duty that opens ports, or why it failed; closed when all are open.
using ReadyRing = BoundedRing<Result<std::string>>;
}

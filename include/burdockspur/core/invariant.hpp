#pragma once

#include <string_view>

namespace Burdockspur
{
/// @brief Ends the process with a log line when a condition that must always hold does not.
/// @param holds the condition
/// @param name stable name of the invariant, e.g. `attempt_runs_once`
/// @param detail ids that help to find the cause
///
/// @code
/// requireInvariant(free >= 0, "worker_capacity", worker.m_name);
/// @endcode
auto requireInvariant(bool holds, std::string_view name, std::string_view detail) noexcept -> void;
}

#pragma once

#include "standins/readyring.hpp"

#include "burdockspur/core/duty.hpp"
#include "burdockspur/operations/programoptions.hpp"

#include <optional>
#include <span>

namespace Burdockspur
{
class ProcessSignals;
}

namespace Burdockspur::Standins
{
/// @brief Parses the flags of a stand-in and answers `--help` and `--version`.
/// @param description name, help text and flags of the program
/// @param arguments as given to main()
/// @returns the exit code when the program must end at once, or nothing when it continues
[[nodiscard]] auto parseStandinFlags(const ProgramDescription &description, std::span<char *const> arguments) -> std::optional<int>;

/// @brief Runs a duty until SIGTERM or SIGINT; requires a QCoreApplication.
/// @param signals the signals of the process, blocked since the start of main()
/// @param duty serves the ports
/// @param ready filled by the duty; its lines are printed on standard output
/// @returns the exit code: 0 after a signal, 1 when a port could not be opened
[[nodiscard]] auto runStandin(const ProcessSignals &signals, Duty &duty, ReadyRing &ready) -> int;
}

#pragma once

#include <csignal>

namespace Burdockspur
{
/// @brief Blocks SIGTERM, SIGINT and SIGHUP until the end of the process, and ignores SIGPIPE.
///
/// The kernel delivers a signal of the process to any thread that does not block it, and the default action ends the process at once.
/// Threads inherit the mask of the thread that starts them, so main() constructs this object before it does anything else. A blocked
/// signal stays pending until SignalWatcher reads it. startProgram() and SignalWatcher take a reference, so that neither can come first.
///
/// @code
/// const ProcessSignals signals;
/// const auto settings = startProgram<EntrySettings>(signals, description, table, arguments, std::cout, std::cerr);
/// @endcode
class ProcessSignals
{
public:
    ProcessSignals();
    ~ProcessSignals() = default;
    ProcessSignals(const ProcessSignals &) = delete;
    ProcessSignals(ProcessSignals &&) = delete;
    auto operator=(const ProcessSignals &) -> ProcessSignals & = delete;
    auto operator=(ProcessSignals &&) -> ProcessSignals & = delete;

    /// @brief The blocked signals.
    [[nodiscard]] static auto blocked() noexcept -> sigset_t;
};
}

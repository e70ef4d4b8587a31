#include "burdockspur/core/processsignals.hpp"

#include "burdockspur/core/invariant.hpp"

namespace Burdockspur
{
ProcessSignals::ProcessSignals()
{
    static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
    const auto signals = blocked();
    requireInvariant(::pthread_sigmask(SIG_BLOCK, &signals, nullptr) == 0, "signals_blocked", "pthread_sigmask failed");
}

auto ProcessSignals::blocked() noexcept -> sigset_t
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}
}

#pragma once

#include <functional>
#include <memory>

class QSocketNotifier;

namespace Burdockspur
{
class ProcessSignals;

/// @brief Delivers SIGTERM, SIGINT and SIGHUP as calls in the event loop of its thread.
///
/// Signals that came since ProcessSignals was constructed are delivered too. Only the first SIGTERM or SIGINT is delivered: a
/// second one must not shorten a graceful shutdown.
///
/// @code
/// SignalWatcher watcher(signals, [&](int signal) { daemon.beginDrain(); });
/// @endcode
class SignalWatcher
{
public:
    /// @param signals the signals of the process, blocked since the start of main()
    /// @param handler called with the number of the first SIGTERM or SIGINT
    /// @param reload called at each SIGHUP; when empty, SIGHUP has no effect
    explicit SignalWatcher(const ProcessSignals &signals, std::function<void(int)> handler, std::function<void()> reload = {});
    ~SignalWatcher();
    SignalWatcher(const SignalWatcher &) = delete;
    SignalWatcher(SignalWatcher &&) = delete;
    auto operator=(const SignalWatcher &) -> SignalWatcher & = delete;
    auto operator=(SignalWatcher &&) -> SignalWatcher & = delete;

private:
    auto readSignals() -> void;

    std::function<void(int)> m_handler;
    std::function<void()> m_reload;
    int m_descriptor = -1;
    bool m_delivered = false;
    std::unique_ptr<QSocketNotifier> m_notifier;
};
}

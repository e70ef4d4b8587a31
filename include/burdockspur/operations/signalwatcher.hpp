#pragma once

#include <functional>
#include <memory>

class QSocketNotifier;

namespace Burdockspur
{
/// @brief Delivers SIGTERM, SIGINT and SIGHUP as calls in the event loop of its thread.
///
/// Construct it in main() before any thread starts, because threads inherit the blocked signals. Only the first SIGTERM or
/// SIGINT is delivered: a second one must not shorten a graceful shutdown. SIGPIPE is ignored.
///
/// @code
/// SignalWatcher watcher([&](int signal) { daemon.beginDrain(); });
/// @endcode
class SignalWatcher
{
public:
    /// @param handler called with the number of the first SIGTERM or SIGINT
    /// @param reload called at each SIGHUP; when empty, SIGHUP has no effect
    explicit SignalWatcher(std::function<void(int)> handler, std::function<void()> reload = {});
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

#include "burdockspur/operations/signalwatcher.hpp"

#include "burdockspur/core/invariant.hpp"
#include "burdockspur/core/processsignals.hpp"

#include <QSocketNotifier>

#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>
#include <utility>

namespace Burdockspur
{
SignalWatcher::SignalWatcher(const ProcessSignals & /*signals*/, std::function<void(int)> handler, std::function<void()> reload)
    : m_handler(std::move(handler))
    , m_reload(std::move(reload))
{
    const auto blocked = ProcessSignals::blocked();
    m_descriptor = ::signalfd(-1, &blocked, SFD_CLOEXEC | SFD_NONBLOCK);
    requireInvariant(m_descriptor >= 0, "signalfd_created", "signalfd failed");
    m_notifier = std::make_unique<QSocketNotifier>(m_descriptor, QSocketNotifier::Read);
    QObject::connect(m_notifier.get(), &QSocketNotifier::activated, m_notifier.get(), [this] {
        readSignals();
    });
}

SignalWatcher::~SignalWatcher()
{
    m_notifier.reset();
    ::close(m_descriptor);
}

auto SignalWatcher::readSignals() -> void
{
    signalfd_siginfo info{};
    while (::read(m_descriptor, &info, sizeof(info)) == static_cast<ssize_t>(sizeof(info))) {
        if (info.ssi_signo == SIGHUP) {
            if (m_reload) {
                m_reload();
            }
        } else if (!m_delivered) {
            m_delivered = true;
            m_handler(static_cast<int>(info.ssi_signo));
        }
    }
}
}

#include "burdockspur/core/eventloopduty.hpp"

#include "burdockspur/core/epolldispatcher.hpp"

#include <QEventLoop>
#include <QSocketNotifier>
#include <QThread>

#include <vector>

namespace Burdockspur
{
struct EventLoopDuty::Watches {
    std::vector<std::unique_ptr<QSocketNotifier>> m_notifiers;
};

EventLoopDuty::EventLoopDuty(std::string_view name, Duration waitInterval)
    : Duty(name)
    , m_waitInterval(waitInterval)
{
}

EventLoopDuty::~EventLoopDuty() = default;

auto EventLoopDuty::watch(int descriptor, std::function<void()> handler) -> void
{
    auto notifier = std::make_unique<QSocketNotifier>(descriptor, QSocketNotifier::Read);
    QObject::connect(notifier.get(), &QSocketNotifier::activated, notifier.get(), std::move(handler));
    m_watches->m_notifiers.push_back(std::move(notifier));
}

auto EventLoopDuty::run() -> void
{
    auto dispatcher = std::make_unique<EpollDispatcher>();
    dispatcher->setWaitInterval(m_waitInterval);
    // The thread takes ownership.
    QThread::currentThread()->setEventDispatcher(dispatcher.release());
    QEventLoop loop;
    m_loop = &loop;
    m_watches = std::make_unique<Watches>();
    watch(m_stopRequest.descriptor(), [this] {
        m_stopRequest.clear();
        m_loop->quit();
    });
    setUp();
    loop.exec();
    tearDown();
    m_watches.reset();
    m_loop = nullptr;
}

auto EventLoopDuty::requestStop() -> void
{
    m_stopRequest.signal();
}
}

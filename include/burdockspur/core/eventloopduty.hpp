#pragma once

#include "burdockspur/core/duty.hpp"
#include "burdockspur/core/wakedescriptor.hpp"

#include <functional>
#include <memory>

class QEventLoop;

namespace Burdockspur
{
/// @brief A duty whose thread runs a Qt event loop, for sockets and timers.
///
/// Qt objects that belong to the thread are created in setUp() and destroyed in tearDown().
class EventLoopDuty : public Duty
{
public:
    /// @param name name of the thread
    /// @param waitInterval see EpollDispatcher::setWaitInterval()
    explicit EventLoopDuty(std::string_view name, Duration waitInterval = Duration::zero());
    ~EventLoopDuty() override;

protected:
    /// @brief Creates sockets and timers; runs in the thread before the event loop.
    virtual auto setUp() -> void = 0;

    /// @brief Destroys the sockets and timers; runs in the thread after the event loop.
    virtual auto tearDown() -> void = 0;

    /// @brief Calls a function in the thread whenever a descriptor becomes readable; to be called from setUp().
    /// @param descriptor wake descriptor of a BoundedRing
    /// @param handler drains the ring
    auto watch(int descriptor, std::function<void()> handler) -> void;

    auto run() -> void final;
    auto requestStop() -> void final;

private:
    struct Watches;
    Duration m_waitInterval;
    WakeDescriptor m_stopRequest;
    std::unique_ptr<Watches> m_watches;
    QEventLoop *m_loop = nullptr;
};
}

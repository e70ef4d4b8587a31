#include "burdockspur/core/duty.hpp"

#include "burdockspur/core/processsignals.hpp"

#include <csignal>

#include <pthread.h>

namespace Burdockspur
{
namespace
{
/// @brief Blocks the signals of the process in the calling thread for its lifetime; threads that are started meanwhile inherit the mask.
class InheritedSignalMask
{
public:
    InheritedSignalMask()
    {
        const auto signals = ProcessSignals::blocked();
        ::pthread_sigmask(SIG_BLOCK, &signals, &m_former);
    }

    ~InheritedSignalMask()
    {
        ::pthread_sigmask(SIG_SETMASK, &m_former, nullptr);
    }

    InheritedSignalMask(const InheritedSignalMask &) = delete;
    InheritedSignalMask(InheritedSignalMask &&) = delete;
    auto operator=(const InheritedSignalMask &) -> InheritedSignalMask & = delete;
    auto operator=(InheritedSignalMask &&) -> InheritedSignalMask & = delete;

private:
    sigset_t m_former{};
};
}

Duty::Duty(std::string_view name)
    : m_name(name)
{
}

Duty::~Duty()
{
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

auto Duty::start() -> void
{
    // A duty never takes a signal of the process, whether or not its starter blocks them.
    const InheritedSignalMask mask;
    m_thread = std::thread([this] {
        constexpr std::size_t kernelNameLimit = 15;
        pthread_setname_np(pthread_self(), m_name.substr(0, kernelNameLimit).c_str());
        clockid_t clock = noClock;
        if (pthread_getcpuclockid(pthread_self(), &clock) == 0) {
            m_clock = clock;
        }
        run();
        m_clock = noClock;
    });
}

auto Duty::processorTime() const noexcept -> std::optional<Duration>
{
    const clockid_t clock = m_clock;
    timespec used{};
    if (clock == noClock || ::clock_gettime(clock, &used) != 0) {
        return std::nullopt;
    }
    return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

auto Duty::stop() -> void
{
    if (m_thread.joinable()) {
        requestStop();
        m_thread.join();
    }
}
}

#include "burdockspur/operations/signalwatcher.hpp"
#include "burdockspur/core/duty.hpp"
#include "burdockspur/core/processsignals.hpp"

#include <gtest/gtest.h>

#include <QCoreApplication>

#include <array>
#include <csignal>
#include <unistd.h>
#include <vector>

using namespace Burdockspur;

namespace
{
/// @brief Reads the signals that its thread blocks.
class MaskDuty final : public Duty
{
public:
    MaskDuty()
        : Duty("mask")
    {
    }

    ~MaskDuty() override
    {
        stop();
    }

    sigset_t m_blocked{};

private:
    auto run() -> void override
    {
        ::pthread_sigmask(SIG_SETMASK, nullptr, &m_blocked);
    }

    auto requestStop() -> void override
    {
    }
};
}

// Guards against a duty that takes a signal of the process because it was started before the signals were blocked, which ends the process.
TEST(SignalWatcherTest, ADutyBlocksTheSignalsOfTheProcessWhoeverStartsIt)
{
    sigset_t former;
    const auto signals = ProcessSignals::blocked();
    ::pthread_sigmask(SIG_UNBLOCK, &signals, &former);
    MaskDuty duty;
    duty.start();
    duty.stop();
    for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
        EXPECT_EQ(sigismember(&duty.m_blocked, number), 1) << number;
    }
    sigset_t own;
    ::pthread_sigmask(SIG_SETMASK, &former, &own);
    EXPECT_EQ(sigismember(&own, SIGTERM), 0) << "the mask of the starting thread changes";
}

// Guards against a signal that is lost because it came before the watcher: a planned stop during the start would wait for SIGKILL.
TEST(SignalWatcherTest, ASignalBeforeTheWatcherIsDelivered)
{
    const ProcessSignals signals;
    int argc = 0;
    QCoreApplication application(argc, nullptr);
    ::kill(::getpid(), SIGHUP);
    ::kill(::getpid(), SIGTERM);
    std::vector<int> delivered;
    const SignalWatcher watcher(
        signals,
        [&delivered](int signal) {
            delivered.push_back(signal);
        },
        [&delivered] {
            delivered.push_back(SIGHUP);
        });
    while (delivered.size() < 2) {
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
    }
    EXPECT_EQ(delivered, (std::vector<int>{SIGHUP, SIGTERM}));
}

// Guards against a second signal, e.g. of an impatient operator, that ends a graceful shutdown early.
TEST(SignalWatcherTest, OnlyTheFirstSignalIsDelivered)
{
    const ProcessSignals signals;
    int argc = 0;
    QCoreApplication application(argc, nullptr);
    std::vector<int> delivered;
    SignalWatcher watcher(signals, [&delivered](int signal) {
        delivered.push_back(signal);
    });
    ::kill(::getpid(), SIGTERM);
    while (delivered.empty()) {
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
    }
    ::kill(::getpid(), SIGTERM);
    ::kill(::getpid(), SIGINT);
    QCoreApplication::processEvents();
    QCoreApplication::processEvents();
    EXPECT_EQ(delivered, std::vector<int>{SIGTERM});
}

// Guards against a write to a closed connection that terminates the process by SIGPIPE.
TEST(SignalWatcherTest, BrokenPipeIsIgnored)
{
    const ProcessSignals signals;
    int argc = 0;
    QCoreApplication application(argc, nullptr);
    const SignalWatcher watcher(signals, [](int) {});
    std::array<int, 2> ends{};
    ASSERT_EQ(::pipe(ends.data()), 0);
    ::close(ends[0]);
    EXPECT_EQ(::write(ends[1], "x", 1), -1);
    ::close(ends[1]);
}

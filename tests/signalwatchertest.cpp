#include "burdockspur/operations/signalwatcher.hpp"

#include <gtest/gtest.h>

#include <QCoreApplication>

#include <array>
#include <csignal>
#include <unistd.h>
#include <vector>

using namespace Burdockspur;

// Guards against a second signal, e.g. of an impatient operator, that ends a graceful shutdown early.
TEST(SignalWatcherTest, OnlyTheFirstSignalIsDelivered)
{
    int argc = 0;
    QCoreApplication application(argc, nullptr);
    std::vector<int> delivered;
    SignalWatcher watcher([&delivered](int signal) {
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
    int argc = 0;
    QCoreApplication application(argc, nullptr);
    const SignalWatcher watcher([](int) {});
    std::array<int, 2> ends{};
    ASSERT_EQ(::pipe(ends.data()), 0);
    ::close(ends[0]);
    EXPECT_EQ(::write(ends[1], "x", 1), -1);
    ::close(ends[1]);
}

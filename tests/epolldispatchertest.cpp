#include "burdockspur/core/epolldispatcher.hpp"

#include "linktesting.hpp"

#include <gtest/gtest.h>

#include <QCoreApplication>
#include <QEventLoop>
#include <QSocketNotifier>
#include <QThread>
#include <QTimer>

#include <array>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

using namespace Burdockspur;

namespace
{
/// @brief Runs a function in a thread whose event loop uses the dispatcher.
auto runInLoop(const std::function<void(QEventLoop &)> &body) -> void
{
    Testing::requireApplication();
    std::thread thread([&body] {
        QThread::currentThread()->setEventDispatcher(new EpollDispatcher);
        QEventLoop loop;
        body(loop);
    });
    thread.join();
}

[[nodiscard]] auto socketPair() -> std::array<int, 2>
{
    std::array<int, 2> ends{};
    EXPECT_EQ(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()), 0);
    return ends;
}
}

// Guards against a timer that is lost, early, or fires again after it was stopped.
TEST(EpollDispatcherTest, TimersFireInOrderAndOnlyWhileTheyRun)
{
    runInLoop([](QEventLoop &loop) {
        std::vector<int> fired;
        QTimer periodic;
        QObject::connect(&periodic, &QTimer::timeout, &periodic, [&] {
            fired.push_back(1);
            if (fired.size() == 3) {
                periodic.stop();
            }
        });
        const TimePoint start = Clock::now();
        periodic.start(Milliseconds{10});
        QTimer::singleShot(Milliseconds{100}, [&] {
            fired.push_back(2);
            loop.quit();
        });
        loop.exec();
        EXPECT_EQ(fired, (std::vector<int>{1, 1, 1, 2}));
        EXPECT_GE(Clock::now() - start, Milliseconds{100});
    });
}

// Guards against a thread that sleeps although another thread has posted a call to it.
TEST(EpollDispatcherTest, PostedCallsWakeTheLoop)
{
    runInLoop([](QEventLoop &loop) {
        QObject context;
        int calls = 0;
        std::thread other([&] {
            for (int i = 0; i < 100; ++i) {
                QMetaObject::invokeMethod(
                    &context,
                    [&] {
                        if (++calls == 100) {
                            loop.quit();
                        }
                    },
                    Qt::QueuedConnection);
            }
        });
        loop.exec();
        other.join();
        EXPECT_EQ(calls, 100);
    });
}

// Guards against input that nobody is told of, and against a notifier that is called while it is disabled.
TEST(EpollDispatcherTest, ReadyDescriptorsReachTheirEnabledNotifiers)
{
    runInLoop([](QEventLoop &loop) {
        const auto ends = socketPair();
        QSocketNotifier reader(ends[0], QSocketNotifier::Read);
        QSocketNotifier writer(ends[0], QSocketNotifier::Write);
        int reads = 0;
        int writes = 0;
        QObject::connect(&writer, &QSocketNotifier::activated, &writer, [&] {
            ++writes;
            writer.setEnabled(false);
            EXPECT_EQ(::write(ends[1], "x", 1), 1);
        });
        QObject::connect(&reader, &QSocketNotifier::activated, &reader, [&] {
            char byte = 0;
            EXPECT_EQ(::read(ends[0], &byte, 1), 1);
            if (++reads < 3) {
                writer.setEnabled(true);
            } else {
                loop.quit();
            }
        });
        loop.exec();
        EXPECT_EQ(reads, 3);
        EXPECT_EQ(writes, 3);
        ::close(ends[0]);
        ::close(ends[1]);
    });
}

// Guards against a connection that never gets its input because it has the number of a closed one: the kernel forgets a closed descriptor,
// the dispatcher must not think that it still watches it.
TEST(EpollDispatcherTest, ADescriptorThatIsReusedIsWatchedAgain)
{
    runInLoop([](QEventLoop &loop) {
        auto ends = socketPair();
        auto reader = std::make_unique<QSocketNotifier>(ends[0], QSocketNotifier::Read);
        // Lets the kernel watch the descriptor.
        loop.processEvents();
        reader.reset();
        const int former = ends[0];
        ::close(ends[0]);
        ::close(ends[1]);
        ends = socketPair();
        ASSERT_EQ(ends[0], former);
        reader = std::make_unique<QSocketNotifier>(ends[0], QSocketNotifier::Read);
        QObject::connect(reader.get(), &QSocketNotifier::activated, reader.get(), [&loop] {
            loop.quit();
        });
        EXPECT_EQ(::write(ends[1], "x", 1), 1);
        bool isLate = false;
        QTimer::singleShot(std::chrono::seconds(20), [&] {
            isLate = true;
            loop.quit();
        });
        loop.exec();
        EXPECT_FALSE(isLate);
        reader.reset();
        ::close(ends[0]);
        ::close(ends[1]);
    });
}

// Guards against an event of a closed connection that is delivered to the next one with the same descriptor, in one pass.
TEST(EpollDispatcherTest, EventsOfAClosedDescriptorReachNobody)
{
    runInLoop([](QEventLoop &loop) {
        auto first = socketPair();
        auto second = socketPair();
        std::vector<std::unique_ptr<QSocketNotifier>> notifiers;
        std::vector<int> replacements;
        int calls = 0;
        // Whichever is called first replaces the other descriptor by a silent one with the same number.
        const auto watch = [&](int descriptor, int other) {
            notifiers.push_back(std::make_unique<QSocketNotifier>(descriptor, QSocketNotifier::Read));
            QObject::connect(notifiers.back().get(), &QSocketNotifier::activated, notifiers.back().get(), [&, descriptor, other] {
                char byte = 0;
                static_cast<void>(::read(descriptor, &byte, 1));
                if (++calls > 1) {
                    return;
                }
                for (auto &notifier : notifiers) {
                    if (notifier->socket() == other) {
                        notifier->setEnabled(false);
                    }
                }
                ::close(other);
                const auto ends = socketPair();
                replacements.assign({ends[0], ends[1]});
                ASSERT_EQ(ends[0], other);
                notifiers.push_back(std::make_unique<QSocketNotifier>(ends[0], QSocketNotifier::Read));
                QObject::connect(notifiers.back().get(), &QSocketNotifier::activated, notifiers.back().get(), [&] {
                    ADD_FAILURE() << "the new descriptor has no input";
                });
            });
        };
        notifiers.reserve(8);
        watch(first[0], second[0]);
        watch(second[0], first[0]);
        EXPECT_EQ(::write(first[1], "x", 1), 1);
        EXPECT_EQ(::write(second[1], "x", 1), 1);
        QTimer::singleShot(Milliseconds{50}, &loop, &QEventLoop::quit);
        loop.exec();
        EXPECT_EQ(calls, 1);
        notifiers.clear();
        for (const int descriptor : replacements) {
            ::close(descriptor);
        }
        ::close(first[1]);
        ::close(second[1]);
    });
}

#include "burdockspur/operations/hostwatcher.hpp"

#include "burdockspur/port/hostlist.hpp"

#include "linktesting.hpp"

#include <QTimer>

#include <gtest/gtest.h>

using namespace Burdockspur;
using namespace Burdockspur::Testing;

namespace
{
class ScriptedHostList final : public HostList
{
public:
    Result<HostListing> m_listing;
    int m_fetches = 0;

    auto fetch(ListingCallback callback) -> void override
    {
        ++m_fetches;
        QTimer::singleShot(0, [callback = std::move(callback), listing = m_listing]() mutable {
            callback(std::move(listing));
        });
    }
};
}

// Guards against routers that rebuild their targets at each poll, and against an outage that removes every host.
TEST(HostWatcherTest, OnlyChangesAreDeliveredAndOutagesKeepTheLastListing)
{
    requireApplication();
    ScriptedHostList list;
    std::vector<std::size_t> delivered;
    HostWatcher watcher(list, Milliseconds(0), 1, [&](const HostListing &listing) {
        delivered.push_back(listing.m_hosts.size());
    });
    const auto poll = [&list] {
        const int fetches = list.m_fetches;
        waitUntil([&] {
            return list.m_fetches > fetches + 2;
        });
    };
    HostRecord host;
    host.m_name = "w1";
    list.m_listing = HostListing{1, {host}};
    watcher.start();
    poll();
    list.m_listing = HostListing{2, {host}};
    poll();
    list.m_listing = failure(ErrorCode::Unavailable, "scripted outage");
    poll();
    EXPECT_EQ(delivered, std::vector<std::size_t>{1});
    EXPECT_EQ(watcher.current()->m_hosts.size(), 1U);
    list.m_listing = HostListing{3, {}};
    poll();
    EXPECT_EQ(delivered, (std::vector<std::size_t>{1, 0}));
}

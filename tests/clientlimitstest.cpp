#include "burdockspur/link/clientlimits.hpp"
#include "burdockspur/fleet/fleetsettings.hpp"
#include "burdockspur/link/httpclient.hpp"
#include "burdockspur/link/httplimits.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
constexpr std::size_t kb = 1024;

/// What a caller's connection takes that waits between two requests, or for the answer to one: socket, buffers and a job of 4 kB.
constexpr std::size_t waitingBytes = 24 * kb + 16 * kb;
}

// Guards against limits that ordinary callers of the smallest host meet: all of them connected, each with a job under way or waiting.
TEST(ClientLimitsTest, AFullHouseOfOrdinaryCallersIsWithinTheLimits)
{
    FleetSettings settings;
    settings.m_memoryMb = 160;
    settings.m_maxFds = 4'100;
    const auto clients = clientLimitsOf(settings);
    const auto callers = callerLimitsOf(settings);
    EXPECT_EQ(callers.m_maxConnections, 1'024U) << "as before there was a budget";
    EXPECT_LE(callers.m_maxConnections * waitingBytes, clients.m_totalBytes - clients.m_keptBytes);
    EXPECT_LE(waitingBytes, clients.m_ordinaryBytes);
}

// Guards against a single request at the pages' limits that does not fit into an otherwise empty budget.
TEST(ClientLimitsTest, TheLargestRequestFitsIntoTheSmallestHost)
{
    FleetSettings settings;
    settings.m_memoryMb = 160;
    const auto clients = clientLimitsOf(settings);
    const auto callers = callerLimitsOf(settings);
    constexpr std::size_t copies = 8; // growing buffer and copies under way
    EXPECT_LE(copies * callers.m_maxBodyBytes, clients.m_totalBytes - clients.m_keptBytes);
}

// Guards against a host without known memory whose clients have no bound.
TEST(ClientLimitsTest, UnknownMemoryCountsAsTheSmallestHost)
{
    FleetSettings unknown;
    FleetSettings smallest;
    smallest.m_memoryMb = 160;
    smallest.m_maxFds = 4'100;
    EXPECT_EQ(clientLimitsOf(unknown).m_totalBytes, clientLimitsOf(smallest).m_totalBytes);
    EXPECT_EQ(callerLimitsOf(unknown).m_maxConnections, callerLimitsOf(smallest).m_maxConnections);
    EXPECT_EQ(answerLimitsOf(unknown).m_maxHeldBytes, answerLimitsOf(smallest).m_maxHeldBytes);
}

// Guards against clients that use up the descriptors which the store, the workers and the operator need.
TEST(ClientLimitsTest, MostDescriptorsAreKept)
{
    for (const std::uint64_t descriptors : {400U, 1'024U, 4'100U, 8'192U}) {
        FleetSettings settings;
        settings.m_maxFds = descriptors;
        const auto callers = callerLimitsOf(settings);
        const auto ready = readyLimitsOf(settings);
        const auto connections =
            callers.m_maxConnections + callers.m_maxRejected + ready.m_maxConnections + ready.m_maxRejected + 2 * metricsConnectionsOf(settings);
        EXPECT_LE(connections, descriptors / 2) << descriptors;
    }
}

// Guards against a share that grows with the host's memory beyond it, or a host with little memory whose clients take all.
TEST(ClientLimitsTest, ClientsAndAnswersLeaveMemoryForTheProcess)
{
    for (const std::uint64_t memory : {80U, 160U, 512U}) {
        FleetSettings settings;
        settings.m_memoryMb = memory;
        // Answers of the workers, and of the store to the host and to the owner.
        const auto held = clientLimitsOf(settings).m_totalBytes + 3 * answerLimitsOf(settings).m_maxHeldBytes;
        EXPECT_LE(held, memory * kb * kb * 7 / 10) << memory;
    }
}

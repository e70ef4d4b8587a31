#include "memorystore.hpp"

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/fleet/archivecalls.hpp"
#include "burdockspur/fleet/jobload.hpp"

#include <gtest/gtest.h>

#include <memory>

using namespace Burdockspur;
using namespace Burdockspur::Testing;

namespace
{
constexpr Milliseconds retention{150'000};

/// @brief Returns an id; consecutive numbers are spread over the partitions.
[[nodiscard]] auto idOf(std::uint64_t number) -> std::string
{
    return hexOf(number * 0x9E3779B97F4A7C15U);
}

/// @brief Stores submissions and final progress of ended jobs; every third job also has a cancellation.
auto storeEnded(MemoryStore &store, std::uint64_t jobs) -> std::vector<FinalJob>
{
    std::vector<FinalJob> ended;
    for (std::uint64_t i = 0; i < jobs; ++i) {
        const auto id = idOf(i);
        store.put(jobKey(id), "submission");
        if (i % 3 == 0) {
            store.put(cancelKey(id), "{}");
        }
        store.put(progressKey(id), encodeRow(JobProgress{JobPhase::Completed, 1, {}}));
        ended.push_back({id, JobPhase::Completed});
    }
    return ended;
}

/// @brief The archive of one host. Checks that each job reported as moved has its final row, and no submission, at that moment.
struct Owner {
    explicit Owner(MemoryStore &store)
        : m_calls(store,
                  retention,
                  {.m_archived =
                       [this, &store](std::vector<std::string> &&ids) {
                           for (const auto &id : ids) {
                               EXPECT_TRUE(store.contains(finalKey(id))) << id << " was reported as moved before it was";
                               EXPECT_FALSE(store.contains(jobKey(id))) << id;
                               m_moved.insert(id);
                           }
                       },
                   .m_runLater =
                       [&store](Milliseconds pause, std::function<void()> call) {
                           store.later(pause, std::move(call));
                       },
                   .m_now =
                       [&store] {
                           return store.now();
                       }})
    {
    }

    std::set<std::string> m_moved;
    ArchiveCalls m_calls;
};

/// @brief Stores a running job of a typical size.
/// @returns total size of its rows' values in bytes
auto storeActive(MemoryStore &store, const std::string &id) -> std::size_t
{
    constexpr std::size_t payloadBytes = 900;
    constexpr std::uint32_t tasks = 20;
    TaskJob job;
    job.m_id = id;
    job.m_payload.assign(payloadBytes, 'x');
    job.m_steps.resize(1);
    job.m_steps.front().m_count = tasks;
    JobProgress progress{JobPhase::Running, 1, {}};
    progress.m_open.emplace_back().m_steps.emplace_back().m_tasks.resize(tasks);
    const auto row = encodeRow(job);
    const auto progressRow = encodeRow(progress);
    store.put(jobKey(id), row);
    store.put(progressKey(id), progressRow);
    return row.size() + progressRow.size();
}
}

// Guards against rows of ended jobs that stay in the table that a successor reads, and against transactions that the platform refuses:
// over several partitions, with more than 100 entries, or more than one at a time in a partition.
TEST(JobArchiveTest, MovesEndedJobsInTransactionsOfOnePartition)
{
    constexpr std::uint64_t jobs = 700;
    MemoryStore store;
    Owner owner(store);
    owner.m_calls.begin();
    owner.m_calls.add(storeEnded(store, jobs));
    store.run(std::chrono::seconds(30));
    EXPECT_EQ(owner.m_moved.size(), jobs);
    EXPECT_EQ(store.count(FleetTables::jobs), 0U);
    EXPECT_EQ(store.count(FleetTables::final), jobs);
    EXPECT_TRUE(store.m_violations.empty()) << store.m_violations.front();
    for (const auto &[partition, open] : store.m_maxOpen) {
        EXPECT_EQ(open, 1U) << partition;
    }
    // At most one transaction in 200 ms, and full ones while a partition has many moves: at most three for each of the 16 partitions.
    EXPECT_LE(store.m_transactions, 48U);
}

// Guards against a move that is reported before its final row is stored, after which the progress row is deleted, and against jobs that
// are never moved after a lost answer.
TEST(JobArchiveTest, RepeatsMovesUntilTheyAreConfirmed)
{
    constexpr std::uint64_t seeds = 40;
    constexpr std::uint64_t jobs = 60;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        MemoryStore store;
        RandomSource random(seed);
        store.m_nextFault = [&random] {
            constexpr std::array faults{MemoryStore::Fault::None,
                                        MemoryStore::Fault::AnswerLost,
                                        MemoryStore::Fault::RequestLost,
                                        MemoryStore::Fault::RequestLate,
                                        MemoryStore::Fault::Refused};
            return faults[random.below(faults.size())];
        };
        Owner owner(store);
        owner.m_calls.begin();
        owner.m_calls.add(storeEnded(store, jobs));
        store.run(std::chrono::seconds(120));
        ASSERT_EQ(owner.m_moved.size(), jobs) << "seed " << seed;
        ASSERT_EQ(store.count(FleetTables::jobs), 0U) << "seed " << seed;
        ASSERT_EQ(store.count(FleetTables::final), jobs) << "seed " << seed;
        ASSERT_TRUE(store.m_violations.empty()) << store.m_violations.front();
    }
}

// Guards against a takeover at any step of a move that leaves neither the submission nor the final row of a job, or a row that is never
// removed. A move of the former owner may take effect late.
TEST(JobArchiveTest, ATakeoverAtAnyStepLosesNoJob)
{
    constexpr std::array faults{MemoryStore::Fault::None,
                                MemoryStore::Fault::AnswerLost,
                                MemoryStore::Fault::RequestLost,
                                MemoryStore::Fault::RequestLate,
                                MemoryStore::Fault::Refused};
    constexpr Milliseconds longest{8'000};
    constexpr Milliseconds step{5};
    for (const auto fault : faults) {
        for (Milliseconds at{0}; at < longest; at += step) {
            MemoryStore store;
            int calls = 0;
            store.m_nextFault = [&calls, fault] {
                return calls++ == 0 ? fault : MemoryStore::Fault::None;
            };
            const auto ended = storeEnded(store, 1);
            const auto id = ended.front().m_id;
            Owner former(store);
            former.m_calls.begin();
            former.m_calls.add(ended);
            store.run(at);
            former.m_calls.end();
            Owner successor(store);
            successor.m_calls.begin();
            // The successor moves the job if it has read its submission; otherwise it only deletes the progress.
            const bool isRead = store.contains(jobKey(id));
            if (isRead) {
                successor.m_calls.add(ended);
            }
            for (Milliseconds passed{0}; passed < retention - longest; passed += Milliseconds{500}) {
                store.run(Milliseconds{500});
                ASSERT_TRUE(store.contains(jobKey(id)) || store.contains(finalKey(id)))
                    << "taken over at " << at.count() << " ms, fault " << static_cast<int>(fault);
            }
            ASSERT_EQ(successor.m_moved.contains(id), isRead) << "taken over at " << at.count() << " ms, fault " << static_cast<int>(fault);
            ASSERT_FALSE(store.contains(jobKey(id)));
            ASSERT_FALSE(store.contains(cancelKey(id)));
            store.run(retention + std::chrono::seconds(60));
            ASSERT_FALSE(store.contains(finalKey(id))) << "taken over at " << at.count() << " ms, fault " << static_cast<int>(fault);
        }
    }
}

// Guards against final rows, of this or of former owners, that are never removed or are removed before their retention has passed.
TEST(JobArchiveTest, RemovesFinalRowsAfterTheirRetention)
{
    constexpr std::uint64_t own = 100;
    constexpr std::uint64_t former = 4'000;
    MemoryStore store;
    for (std::uint64_t i = own; i < own + former; ++i) {
        store.put(finalKey(idOf(i)), encodeRow(FinalRow{JobPhase::Completed, {}}));
    }
    Owner owner(store);
    owner.m_calls.begin();
    owner.m_calls.add(storeEnded(store, own));
    store.run(retention);
    EXPECT_EQ(store.count(FleetTables::final), own + former) << "final rows were removed within the retention";
    store.run(std::chrono::seconds(90));
    EXPECT_EQ(store.count(FleetTables::final), 0U);
    EXPECT_TRUE(store.m_violations.empty()) << store.m_violations.front();
}

// Guards against a removal that is not repeated after a lost answer, so that final rows stay forever.
TEST(JobArchiveTest, RepeatsUnconfirmedRemovals)
{
    constexpr std::uint64_t jobs = 50;
    MemoryStore store;
    int calls = 0;
    store.m_nextFault = [&calls] {
        return ++calls % 2 == 0 ? MemoryStore::Fault::None : MemoryStore::Fault::RequestLost;
    };
    Owner owner(store);
    owner.m_calls.begin();
    owner.m_calls.add(storeEnded(store, jobs));
    store.run(retention + std::chrono::seconds(120));
    EXPECT_EQ(store.count(FleetTables::final), 0U);
}

// Guards against a takeover that reads all jobs of the last 150 s (incident of 2026-12-05): with 5,000 ended and 200 active jobs, a
// successor must read only the bytes of the active ones.
TEST(JobArchiveTest, ASuccessorReadsOnlyActiveJobs)
{
    constexpr std::uint64_t active = 200;
    constexpr std::uint64_t ended = 5'000;
    MemoryStore store;
    Owner owner(store);
    owner.m_calls.begin();
    owner.m_calls.add(storeEnded(store, ended));
    std::size_t activeBytes = 0;
    for (std::uint64_t i = ended; i < ended + active; ++i) {
        activeBytes += storeActive(store, idOf(i));
    }
    store.run(std::chrono::seconds(60));
    // The commits of the owner delete the progress of moved jobs.
    for (const auto &id : owner.m_moved) {
        store.drop(progressKey(id));
    }
    owner.m_calls.end();
    store.m_listedBytes = 0;
    std::optional<JobLoad::Jobs> loaded;
    JobLoad load(store,
                 JobLoad::Scope::Everything,
                 {.m_loaded =
                      [&loaded](JobLoad::Jobs &&jobs) {
                          loaded = std::move(jobs);
                      },
                  .m_failed = {},
                  .m_runLater = {},
                  .m_now =
                      [&store] {
                          return store.now();
                      }});
    store.run(std::chrono::seconds(30));
    ASSERT_TRUE(loaded);
    EXPECT_EQ(loaded->m_jobs.size(), active);
    EXPECT_EQ(store.m_listedBytes, activeBytes);
}

// Guards against a transaction that both writes and removes the final row of a job. A late move of the former owner has stored the row,
// and the successor's own move is refused until the retention counted from then has passed.
TEST(JobArchiveTest, ALateMoveKeepsItsFinalRowForTheRetention)
{
    MemoryStore store;
    const auto ended = storeEnded(store, 1);
    const auto id = ended.front().m_id;
    store.put(finalKey(id), encodeRow(FinalRow{JobPhase::Completed, {}}));
    bool isRefusing = true;
    store.m_nextFault = [&isRefusing] {
        return isRefusing ? MemoryStore::Fault::Refused : MemoryStore::Fault::None;
    };
    Owner owner(store);
    owner.m_calls.begin();
    store.run(std::chrono::seconds(30));
    owner.m_calls.add(ended);
    store.run(retention + std::chrono::seconds(30));
    isRefusing = false;
    store.run(std::chrono::seconds(10));
    EXPECT_TRUE(store.m_violations.empty()) << store.m_violations.front();
    EXPECT_TRUE(owner.m_moved.contains(id));
    EXPECT_TRUE(store.contains(finalKey(id)));
}

// Guards against rows that stay for ever: another host has written the final row of a job that was cancelled before it was submitted, and the
// owner is not told of it.
TEST(JobArchiveTest, RemovesFinalRowsOfOtherHosts)
{
    MemoryStore store;
    Owner owner(store);
    owner.m_calls.begin();
    store.run(std::chrono::seconds(60));
    const auto id = idOf(1);
    store.put(finalKey(id), encodeRow(FinalRow{JobPhase::Cancelled, {}, true}));
    store.run(retention);
    EXPECT_TRUE(store.contains(finalKey(id))) << "a submission in flight must not be stored yet";
    store.run(2 * retention);
    EXPECT_FALSE(store.contains(finalKey(id)));
}

#include "faultmatrix/entryhost.hpp"
#include "faultmatrix/schedulerhost.hpp"
#include "faultmatrix/simulatedplatform.hpp"
#include "faultmatrix/simulatedworker.hpp"

#include "burdockspur/operations/log.hpp"
#include "burdockspur/shard/shardsettings.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace Burdockspur;
using namespace Burdockspur::FaultMatrix;

namespace
{
constexpr Milliseconds outageLength{3'600'000};
constexpr Milliseconds minStep{1};
constexpr Milliseconds second{1'000};
constexpr std::size_t schedulerCount = 3;
constexpr std::size_t entryCount = 2;

/// @brief How the store fails.
struct StoreFailure {
    std::string_view m_name;
    int SimulatedPlatform::*m_counter;
    bool m_servesNothing; ///< whether the store serves no call at all
};

/// @brief Simulates three schedulers, two entry hosts and three workers during an hour without a working store.
class OutageWorld
{
public:
    OutageWorld()
        : m_platform(m_simulation)
    {
        std::vector<HostRecord> hosts;
        for (const auto *const name : {"w0", "w1", "w2"}) {
            m_workers.push_back(std::make_unique<SimulatedWorker>(name, m_simulation, m_simulation.m_random.next64()));
            const auto &spec = m_workers.back()->m_spec;
            HostRecord &record = hosts.emplace_back();
            record.m_name = name;
            record.m_address = "127.0.0.1";
            record.m_port = 1;
            record.m_place.m_zone = "a";
            record.m_capacity = spec.m_capacity;
            record.m_slots = static_cast<std::uint32_t>(spec.m_slots);
        }
        m_platform.m_hostList.set(m_simulation.m_now, hosts, Duration(0));
        static_cast<void>(m_platform.m_table.commit({.m_conditions = {}, .m_puts = {{"config", "accept first"}}, .m_deletes = {}}));
        for (const auto *const name : {"s0", "s1", "s2"}) {
            m_schedulers.push_back(std::make_unique<SchedulerHost>(name, m_simulation, m_platform, m_workers));
        }
        for (const auto *const name : {"e0", "e1"}) {
            m_entries.push_back(std::make_unique<EntryHost>(
                name,
                m_simulation,
                m_platform,
                m_workers,
                [this](std::uint64_t /*ticket*/, const RequestAnswer &answer) {
                    ++m_answers[answer.m_outcome];
                },
                m_entries));
        }
        m_simulation.m_inspect = [this](const Message &message) {
            Delivery delivery;
            delivery.m_delivered = !m_dropStarts || std::ranges::count(message.m_steps, Step::Start) == 0;
            return delivery;
        };
    }

    auto runFor(Duration length) -> void
    {
        const TimePoint end = m_simulation.m_now + length;
        while (m_simulation.m_now < end) {
            advance();
        }
    }

    template<typename Condition>
    [[nodiscard]] auto runUntil(const Condition &condition, Duration limit) -> bool
    {
        const TimePoint end = m_simulation.m_now + limit;
        while (!condition() && m_simulation.m_now < end) {
            advance();
        }
        return condition();
    }

    /// @brief Sends a request to one of the entry hosts.
    auto request() -> void
    {
        constexpr Milliseconds deadline{5'000};
        EntryHost &entry = *m_entries[++m_requests % m_entries.size()];
        const std::string id = "r" + std::to_string(m_requests);
        entry.request(m_requests,
                      {.m_id = id,
                       .m_service = "seats",
                       .m_caller = "caller",
                       .m_idempotencyKey = {},
                       .m_idempotent = false,
                       .m_deadline = m_simulation.m_now + deadline,
                       .m_body = id});
    }

    /// @brief Submits a job once to the owner of the shard, without retries.
    auto submit(const std::string &id, JobKind kind, Milliseconds duration) -> void
    {
        JobSpec spec;
        spec.m_kind = kind;
        spec.m_class = "plain";
        spec.m_demand = {.m_cpuMillis = 50, .m_memoryMb = 10, .m_accelerators = 0};
        spec.m_durationMs = kind == JobKind::Watcher ? 0 : duration.count();
        spec.m_payload = id;
        ++m_submissions;
        SchedulerHost *const scheduler = owner();
        if (scheduler == nullptr) {
            ++m_refusals[ErrorCode::NotOwner];
            return;
        }
        scheduler->submit(id, spec, [this, id](const Result<Job> &result) {
            if (result) {
                m_accepted.insert(id);
                EXPECT_TRUE(m_platform.m_jobs.contains(id)) << id << " was accepted before it was durable";
            } else {
                ++m_refusals[result.error().m_code];
                EXPECT_FALSE(result.error().m_message.empty());
            }
        });
    }

    auto cancel(const std::string &id) -> void
    {
        if (SchedulerHost *const scheduler = owner()) {
            scheduler->cancel(id, [](const Result<Job> & /*result*/) {});
        }
    }

    [[nodiscard]] auto owner() -> SchedulerHost *
    {
        const auto found = std::ranges::find_if(m_schedulers, [](const auto &host) {
            return host->isOwner();
        });
        return found == m_schedulers.end() ? nullptr : found->get();
    }

    [[nodiscard]] auto stateOf(const std::string &id) const -> std::optional<JobState>
    {
        const auto found = m_platform.m_jobs.find(id);
        return found == m_platform.m_jobs.end() ? std::nullopt : std::optional(found->second.m_state);
    }

    [[nodiscard]] auto openJobs() const -> std::size_t
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_accepted, [this](const auto &id) {
            const auto state = stateOf(id);
            return !state || !isTerminal(*state);
        }));
    }

    [[nodiscard]] auto runningTasks() const -> std::size_t
    {
        std::size_t running = 0;
        for (const auto &worker : m_workers) {
            running += worker->m_model.tasks().runningCount();
        }
        return running;
    }

    [[nodiscard]] auto count(std::int64_t Standins::WorkerCounts::*member) const -> std::int64_t
    {
        std::int64_t sum = 0;
        for (const auto &worker : m_workers) {
            sum += worker->m_audit.counts().*member;
        }
        return sum;
    }

    /// @brief Number of starts of a task on any worker.
    [[nodiscard]] auto startsOf(std::string_view task) const -> int
    {
        int starts = 0;
        for (const auto &worker : m_workers) {
            starts += static_cast<int>(std::ranges::count_if(worker->m_audit.journal().entries(), [task](const auto &entry) {
                return entry.m_event == "task_started" && entry.m_task == task;
            }));
        }
        return starts;
    }

    Simulation m_simulation{20261204};
    SimulatedPlatform m_platform;
    Workers m_workers;
    std::vector<std::unique_ptr<SchedulerHost>> m_schedulers;
    EntryHost::Entries m_entries;
    std::map<Outcome, int> m_answers;
    std::map<ErrorCode, int> m_refusals;
    std::set<std::string> m_accepted;
    std::uint64_t m_requests = 0;
    int m_submissions = 0;
    std::size_t m_mostWaiting = 0;
    bool m_dropStarts = false;

private:
    auto advance() -> void
    {
        TimePoint next = m_simulation.nextAction();
        for (const auto &host : m_schedulers) {
            next = std::min(next, host->deadline());
        }
        for (const auto &host : m_entries) {
            next = std::min(next, host->deadline());
        }
        for (const auto &worker : m_workers) {
            next = std::min(next, worker->nextEvent());
        }
        m_simulation.m_now = std::max(next, m_simulation.m_now + minStep);
        for (const auto &worker : m_workers) {
            worker->advance();
        }
        m_simulation.runDue();
        for (const auto &host : m_schedulers) {
            host->pump();
            m_mostWaiting = std::max(m_mostWaiting, host->waitingChanges());
        }
        for (const auto &host : m_entries) {
            host->pump();
        }
    }
};

/// @brief Fails when the hosts made more store calls in one second than normal work needs under the settings.
///
/// Each scheduler and entry host reads the configuration once a poll, and each scheduler that does not own the shard reads
/// the owner row once a heartbeat. Every write that was in progress at the end of the outage may be read back once.
auto expectNormalRate(const StoreCalls &before, const StoreCalls &now, int firstSeconds) -> void
{
    const ShardSettings settings;
    constexpr int edge = 1; // the second may contain one more start of a period when the two are not aligned
    const int rows = static_cast<int>(second / settings.m_tick) + edge;
    const int heartbeats = static_cast<int>(second / settings.m_heartbeat) + edge;
    constexpr int snapshotCalls = 2 * (1 + edge); // writes of the object and its row, at most once in two seconds
    const int polls = static_cast<int>(schedulerCount + entryCount) * (1 + edge);
    const int watches = static_cast<int>(schedulerCount - 1) * heartbeats;
    const int readBacks = firstSeconds > 0 ? 3 : 0; // heartbeat, journal row, snapshot row
    EXPECT_LE(now.m_journalRows - before.m_journalRows, rows);
    EXPECT_LE(now.m_otherWrites - before.m_otherWrites, heartbeats + snapshotCalls);
    EXPECT_LE(now.m_rowReads - before.m_rowReads, polls + watches + readBacks);
    EXPECT_EQ(now.m_contentReads, before.m_contentReads) << "an owner must not read its own content again";
}

class LongOutageTest : public testing::TestWithParam<StoreFailure>
{
};
}

// Guards against running work that depends on the store, memory that grows during an outage, and a burst of store calls
// after it.
TEST_P(LongOutageTest, AnHourWithoutTheStoreLosesNothing)
{
    ASSERT_TRUE(configureLogging("longoutagetest", "test", "error"));
    const ShardSettings settings;
    OutageWorld world;
    ASSERT_TRUE(world.runUntil(
        [&] {
            return world.owner() != nullptr && world.owner()->configVersion() > 0;
        },
        Milliseconds(60'000)));
    world.runFor(Milliseconds(5'000));

    // Tasks that end after the outage, that end during it, and that never end.
    constexpr Milliseconds endsWithin{600'000};
    constexpr int each = 8;
    for (int i = 0; i < each; ++i) {
        world.submit("long" + std::to_string(i), JobKind::Batch, outageLength + second * 60);
        world.submit("short" + std::to_string(i), JobKind::Batch, endsWithin);
        world.submit("watcher" + std::to_string(i), JobKind::Watcher, {});
    }
    ASSERT_TRUE(world.runUntil(
        [&] {
            return world.runningTasks() == std::size_t{3} * each;
        },
        Milliseconds(60'000)));

    // The outage begins when the assignment of this job is durable and its start has not arrived.
    world.m_dropStarts = true;
    world.submit("late", JobKind::Batch, endsWithin);
    ASSERT_TRUE(world.runUntil(
        [&] {
            return world.stateOf("late") == JobState::Assigned;
        },
        Milliseconds(60'000)));
    int &outage = world.m_platform.*GetParam().m_counter;
    ++outage;
    const TimePoint begin = world.m_simulation.m_now;
    world.runFor(second); // answers already in flight arrive
    const std::size_t before = world.m_accepted.size();
    const int submittedBefore = world.m_submissions;
    EXPECT_EQ(world.startsOf("late"), 0);
    world.m_dropStarts = false;

    constexpr int submissionsPerSecond = 4; // over an hour, more than the bound of waiting changes
    int number = 0;
    while (world.m_simulation.m_now < begin + outageLength) {
        world.request();
        for (int i = 0; i < submissionsPerSecond; ++i) {
            world.submit("during" + std::to_string(number++), JobKind::Batch, Milliseconds(200));
        }
        world.runFor(second);
    }
    EXPECT_EQ(world.startsOf("late"), 1) << "its assignment was durable";
    EXPECT_EQ(world.count(&Standins::WorkerCounts::m_lapses), 0);
    EXPECT_EQ(world.count(&Standins::WorkerCounts::m_stops), 0);
    EXPECT_GE(world.count(&Standins::WorkerCounts::m_completions), each + 1);
    EXPECT_GE(world.runningTasks(), std::size_t{2} * each);
    // The bound applies to new jobs; changes of jobs from before the outage come on top of it.
    EXPECT_LE(world.m_mostWaiting, settings.m_maxPendingChanges + before);
    if (GetParam().m_servesNothing) {
        EXPECT_EQ(world.m_accepted.size(), before) << "accepted without the store";
        EXPECT_GT(world.m_refusals[ErrorCode::Overloaded], 0) << "the bound was not reached";
    }

    // The normal rate of calls must hold from the first second after the outage.
    --outage;
    for (int i = 0; i < 60; ++i) {
        const StoreCalls calls = world.m_platform.m_calls;
        world.request();
        world.runFor(second);
        expectNormalRate(calls, world.m_platform.m_calls, i < 5 ? 1 : 0);
    }
    for (int i = 0; i < 600 && (world.openJobs() > 0 || world.runningTasks() > 0); ++i) {
        for (int watcher = 0; watcher < each; ++watcher) {
            world.cancel("watcher" + std::to_string(watcher));
        }
        world.runFor(second);
    }
    EXPECT_TRUE(world.openJobs() == 0 && world.runningTasks() == 0) << world.openJobs() << " accepted jobs have not ended";
    // Every submission was answered: accepted jobs are durable and ended, refused ones got a reason and never ran.
    int refused = 0;
    for (const auto &[code, times] : world.m_refusals) {
        EXPECT_TRUE(code == ErrorCode::Overloaded || (!GetParam().m_servesNothing && code == ErrorCode::NotOwner)) << errorName(code);
        refused += times;
    }
    EXPECT_EQ(static_cast<int>(world.m_accepted.size()) + refused, submittedBefore + number);
    EXPECT_EQ(world.count(&Standins::WorkerCounts::m_starts), static_cast<std::int64_t>(world.m_accepted.size()));
    EXPECT_EQ(world.count(&Standins::WorkerCounts::m_attemptsRepeated), 0);
    EXPECT_EQ(world.count(&Standins::WorkerCounts::m_lapses), 0);
    EXPECT_EQ(world.count(&Standins::WorkerCounts::m_stops), each) << "only the cancelled watchers were stopped";
    world.runFor(Milliseconds(10'000));
    EXPECT_EQ(world.m_answers[Outcome::Answered], static_cast<int>(world.m_requests)) << "requests depend on the store";
    EXPECT_TRUE(world.m_platform.m_violations.empty()) << world.m_platform.m_violations.front();
}

INSTANTIATE_TEST_SUITE_P(Stores,
                         LongOutageTest,
                         testing::Values(StoreFailure{"Unavailable", &SimulatedPlatform::m_outages, true},
                                         StoreFailure{"Silent", &SimulatedPlatform::m_silentOutages, true},
                                         StoreFailure{"RateLimited", &SimulatedPlatform::m_rateLimits, false}),
                         [](const auto &parameter) {
                             return std::string(parameter.param.m_name);
                         });

#include "linkstore.hpp"

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/fleet/jobstore.hpp"

#include <gtest/gtest.h>

#include <optional>

using namespace Burdockspur;
using namespace Burdockspur::Testing;

namespace
{
/// @brief Stores jobs of the users' sizes, each with a task that has begun.
auto fill(LinkStore &store, std::uint64_t jobs) -> void
{
    constexpr std::uint32_t tasks = 20;
    constexpr std::size_t payloadBytes = 900;
    for (std::uint64_t i = 0; i < jobs; ++i) {
        TaskJob job;
        // Multiplied by an odd number, so that the ids are spread over the partitions.
        job.m_id = hexOf(i * 0x9E3779B97F4A7C15U);
        job.m_policy.m_name = "queue";
        job.m_policy.m_pool = "pool";
        job.m_payload.assign(payloadBytes, 'x');
        job.m_steps.resize(2);
        JobProgress progress{JobPhase::Running, 1, {}};
        auto &occurrence = progress.m_open.emplace_back();
        for (auto &step : job.m_steps) {
            step.m_count = tasks;
            step.m_image = "image";
            occurrence.m_steps.emplace_back().m_tasks.resize(tasks);
        }
        occurrence.m_steps[0].m_tasks[0] = {TaskPhase::Assigned, 1, 0, "i-0123456789", 1'900'000'000'000U, ""};
        store.put(jobKey(job.m_id), encodeRow(job));
        store.put(progressKey(job.m_id), encodeRow(progress));
    }
}
}

// Guards against a takeover that no small host ends: each read of a list had one time-out for all its rows, so from some backlog on
// every host of 10 Mbit/s failed, and the backlog grew for 13 s without a start (SHORT, incident of 2026-12-05).
TEST(JobLoadTest, ABacklogIsReadOverANarrowLink)
{
    constexpr std::uint64_t jobs = 1'500;
    LinkStore store({});
    fill(store, jobs);
    JobStore jobStore(store);
    std::optional<Result<std::vector<StoredJob>>> loaded;
    jobStore.loadAll([&loaded](Result<std::vector<StoredJob>> &&result, std::uint64_t /*version*/) {
        loaded = std::move(result);
    });
    store.run(std::chrono::seconds(30));
    ASSERT_TRUE(loaded);
    ASSERT_TRUE(*loaded) << loaded->error().m_message;
    EXPECT_EQ((*loaded)->size(), jobs);
}

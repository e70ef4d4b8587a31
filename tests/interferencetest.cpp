#include "burdockspur/contract/job.hpp"
#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/placement/classspread.hpp"
#include "burdockspur/placement/interferencecontroller.hpp"
#include "burdockspur/placement/interferencemodel.hpp"
#include "burdockspur/placement/scoredpolicy.hpp"
#include "burdockspur/shard/workertable.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
constexpr std::chrono::seconds lag{12};

auto at(int second) -> TimePoint
{
    return TimePoint() + std::chrono::seconds(second);
}

/// @brief Alternates a noisy and a quiet class on a worker every 10 s; samples arrive 10 s late if isLate.
auto addAlternatingSamples(InterferenceModel &model, std::string_view worker, int from, int to, bool isLate = true) -> void
{
    for (int second = from; second < to; ++second) {
        const bool noisy = second / 10 % 2 == 0;
        model.setShare(worker, "noisy", noisy ? 0.5 : 0.0, at(second));
        model.setShare(worker, "quiet", noisy ? 0.0 : 0.5, at(second));
        const int taken = isLate ? second - 10 : second;
        const bool wasNoisy = taken / 10 % 2 == 0;
        if (taken >= from) {
            model.addSample({.m_worker = worker, .m_service = "seats", .m_takenAt = at(taken), .m_load = 1.0, .m_ratio = wasNoisy ? 1.3 : 0.8}, at(second));
        }
    }
}

// Guards against attributing a late sample to the classes that run when it arrives: with alternating classes that is the wrong one.
TEST(InterferenceModel, LateSamplesCountForTheClassesAtTheirTime)
{
    InterferenceModel model;
    addAlternatingSamples(model, "w", 0, 600);
    EXPECT_NEAR(model.effectOf("seats", "noisy", at(600)), 1.0, 0.25);
    EXPECT_LT(model.effectOf("seats", "quiet", at(600)), 0.25);
    EXPECT_GT(model.expectedRatio("w", "noisy", 0.5, at(600)), model.expectedRatio("w", "quiet", 0.5, at(600)) + 0.3);
}

// Guards against learning from a sample older than the kept history, which cannot be attributed to any class.
TEST(InterferenceModel, SamplesBeforeTheHistoryAreDropped)
{
    InterferenceModel model;
    model.setShare("w", "noisy", 0.5, at(1'000));
    model.addSample({.m_worker = "w", .m_service = "seats", .m_takenAt = at(900), .m_load = 1.0, .m_ratio = 2.0}, at(1'001));
    model.addSample({.m_worker = "other", .m_service = "seats", .m_takenAt = at(1'000), .m_load = 1.0, .m_ratio = 2.0}, at(1'001));
    EXPECT_EQ(model.samplesOf("seats", "noisy"), 0U);
    EXPECT_TRUE(model.isUnknown("w", "noisy"));
}

// Guards against avoiding a pair forever because it is no longer measured.
TEST(InterferenceModel, UnmeasuredEffectsDecayToThePrior)
{
    InterferenceModel model;
    addAlternatingSamples(model, "w", 0, 600);
    const double prior = model.effectOf("seats", "never seen", at(600));
    EXPECT_NEAR(model.effectOf("seats", "noisy", at(600 + 40 * 3'600)), prior, 0.01);
}

// Guards against keeping effects above the prior after a service has changed: avoided pairs would not be measured again.
TEST(InterferenceModel, AChangeOfBehaviourResetsAvoidedPairs)
{
    InterferenceModel model;
    addAlternatingSamples(model, "w", 0, 600);
    model.setShare("w", "noisy", 0.0, at(600));
    model.setShare("w", "quiet", 0.5, at(600));
    for (int second = 601; second < 700; ++second) {
        model.addSample({.m_worker = "w", .m_service = "seats", .m_takenAt = at(second), .m_load = 1.0, .m_ratio = 1.8}, at(second));
    }
    EXPECT_TRUE(model.isUnknown("w", "noisy"));
    EXPECT_GT(model.effectOf("seats", "quiet", at(700)), 0.5);
}

class InterferenceControllerTest : public ::testing::Test
{
protected:
    InterferenceControllerTest()
    {
        addAlternatingSamples(m_model, "w", 0, 600);
        m_model.setShare("w", "noisy", 0.5, at(600));
    }

    auto react(double ratio, int second) -> Reaction
    {
        return m_controller.react("w", ratio, lag, m_model, at(second));
    }

    InterferenceModel m_model;
    InterferenceController m_controller{ReactionSettings()};
};

// Guards against an eviction, which risks losing a job, before throttling was tried, and against actions closer together than the lag.
TEST_F(InterferenceControllerTest, ThrottlesTheWorstClassBeforeItEvicts)
{
    std::vector<std::pair<int, Reaction::Kind>> actions;
    for (int second = 600; second < 700; ++second) {
        const Reaction reaction = react(1.5, second);
        if (reaction.m_kind != Reaction::Kind::None) {
            EXPECT_EQ(reaction.m_class, "noisy");
            actions.emplace_back(second, reaction.m_kind);
        }
    }
    ASSERT_EQ(actions.size(), 5U); // two throttles, then the three evictions that the window allows
    EXPECT_EQ(actions[0].second, Reaction::Kind::Throttle);
    EXPECT_EQ(actions[1].second, Reaction::Kind::Throttle);
    for (std::size_t i = 1; i < actions.size(); ++i) {
        EXPECT_GT(actions[i].first - actions[i - 1].first, 12);
    }
    EXPECT_EQ(m_controller.evictions(), 3U);
    EXPECT_EQ(m_controller.percentOf("w", "noisy"), 25);
}

// Guards against unbounded evictions in a shard when many workers are disturbed.
TEST_F(InterferenceControllerTest, EvictionsOfTheShardAreBounded)
{
    for (int i = 0; i < 30; ++i) {
        addAlternatingSamples(m_model, "v" + std::to_string(i), 0, 30);
        m_model.setShare("v" + std::to_string(i), "noisy", 0.5, at(600));
    }
    for (int second = 600; second < 1'100; ++second) {
        for (int i = 0; i < 30; ++i) {
            (void)m_controller.react("v" + std::to_string(i), 1.5, lag, m_model, at(second));
        }
    }
    EXPECT_EQ(m_controller.evictions(), ReactionSettings().m_shardEvictions);
}

// Guards against releasing a class between the two thresholds, and against keeping it throttled below the lower one.
TEST_F(InterferenceControllerTest, ReleasesAClassOnlyBelowTheLowerThreshold)
{
    EXPECT_EQ(react(1.5, 600).m_kind, Reaction::Kind::Throttle);
    for (int second = 620; second < 660; ++second) {
        EXPECT_EQ(react(0.96, second).m_kind == Reaction::Kind::Release, false);
    }
    Reaction last;
    for (int second = 660; second < 700 && last.m_kind != Reaction::Kind::Release; ++second) {
        last = react(0.7, second);
    }
    EXPECT_EQ(last.m_kind, Reaction::Kind::Release);
    EXPECT_EQ(m_controller.percentOf("w", "noisy"), 100);
}

class ScoredPolicyTest : public ::testing::Test
{
protected:
    ScoredPolicyTest()
    {
        std::vector<HostRecord> hosts;
        for (int i = 0; i < 100; ++i) {
            HostRecord host;
            host.m_name = "w" + std::to_string(100 + i);
            host.m_port = 1;
            host.m_place.m_zone = i % 2 == 0 ? "a" : "b";
            host.m_place.m_rack = host.m_place.m_zone + std::to_string(i / 8);
            host.m_capacity = {.m_cpuMillis = 10'000, .m_memoryMb = 10'000, .m_accelerators = 0};
            hosts.push_back(host);
        }
        m_table.update(hosts, at(0));
        LeaseReport granted;
        granted.m_granted = true;
        for (auto &[name, worker] : m_table.workers()) {
            worker.recordRenewalAnswer(granted, at(0));
        }
        m_job.m_class = "noisy";
        m_job.m_demand = {.m_cpuMillis = 1'000, .m_memoryMb = 100, .m_accelerators = 0};
        m_policy.setTime(at(600));
    }

    auto sample() -> void
    {
        m_table.sampleCandidates(m_job.m_demand, ScoredPolicy::maxCandidates, m_random, at(600), m_candidates);
    }

    ShardSettings m_settings;
    WorkerTable m_table{m_settings, at(0)};
    InterferenceModel m_model;
    ClassSpread m_spread;
    ScoredPolicy m_policy{m_model, m_spread};
    RandomSource m_random{7};
    JobSpec m_job;
    std::vector<PlacementCandidate> m_candidates;
};

// Guards against a full scan of the table for each job, with a decision time that grows with the number of workers.
TEST_F(ScoredPolicyTest, SamplesABoundedNumberOfCandidates)
{
    sample();
    EXPECT_EQ(m_candidates.size(), ScoredPolicy::maxCandidates);
    m_table.findOrAdd("w142").m_host.m_capacity.m_cpuMillis = 50'000;
    m_job.m_demand.m_cpuMillis = 40'000;
    sample(); // finds the only worker that fits
    ASSERT_EQ(m_candidates.size(), 1U);
    EXPECT_EQ(m_candidates[0].m_worker->m_name, "w142");
    WorkerTable empty(m_settings, at(0));
    empty.sampleCandidates(m_job.m_demand, 1, m_random, at(600), m_candidates);
    EXPECT_TRUE(m_candidates.empty());
}

// Guards against placing a job that is known to disturb the service of every candidate, and against holding back an urgent one.
TEST_F(ScoredPolicyTest, AvoidsWorkersWhereTheClassInterferes)
{
    for (const auto &[name, worker] : m_table.workers()) {
        if (worker.m_host.m_place.m_zone == "a") {
            addAlternatingSamples(m_model, name, 0, 600, false);
            m_model.setShare(name, "noisy", 0.3, at(600));
        }
    }
    for (int i = 0; i < 50; ++i) {
        sample();
        const auto chosen = m_policy.choose(m_job, m_candidates, m_random);
        ASSERT_TRUE(chosen);
        EXPECT_EQ(m_candidates[*chosen].m_worker->m_host.m_place.m_zone, "b");
    }
    std::erase_if(m_candidates, [](const PlacementCandidate &candidate) {
        return candidate.m_worker->m_host.m_place.m_zone == "b";
    });
    EXPECT_FALSE(m_policy.choose(m_job, m_candidates, m_random));
    m_job.m_urgent = true;
    EXPECT_TRUE(m_policy.choose(m_job, m_candidates, m_random));
}

// Guards against concentrating a class in one zone or rack, whose loss would stop most of its jobs.
TEST_F(ScoredPolicyTest, SpreadsAClassOverZones)
{
    std::map<std::string, int> zones;
    for (int i = 0; i < 100; ++i) {
        sample();
        const auto chosen = m_policy.choose(m_job, m_candidates, m_random);
        ASSERT_TRUE(chosen);
        const Place &place = m_candidates[*chosen].m_worker->m_host.m_place;
        m_spread.add(m_job.m_class, place);
        ++zones[place.m_zone];
    }
    EXPECT_NEAR(zones["a"], 50, 10);
    m_spread.remove(m_job.m_class, {.m_region = {}, .m_zone = "a", .m_rack = "a0"});
}
}

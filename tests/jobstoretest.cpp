#include "memorystore.hpp"

#include "burdockspur/fleet/jobstore.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;
using namespace Burdockspur::Testing;

namespace
{
constexpr std::string_view id = "5c0e7a21d94b36f8";

[[nodiscard]] auto sampleJob() -> TaskJob
{
    TaskJob job;
    job.m_id = id;
    job.m_steps.resize(1);
    job.m_steps.front().m_count = 1;
    return job;
}

/// @brief Carries out one step of the end and the move of a job; the owner carries them out in this order.
auto applyArchiveStep(MemoryStore &store, int step) -> void
{
    switch (step) {
    case 0:
        store.put(progressKey(id), encodeRow(JobProgress{JobPhase::Completed, 1, {}}));
        return;
    case 1:
        store.put(finalKey(id), encodeRow(FinalRow{JobPhase::Completed, {}}));
        store.drop(jobKey(id));
        return;
    default:
        store.drop(progressKey(id));
        return;
    }
}
constexpr int steps = 3;

class JobStoreTest : public testing::Test
{
protected:
    auto awaitResult() -> Result<JobPhase>
    {
        m_store.run(std::chrono::seconds(10));
        return m_result.value_or(failure(ErrorCode::Internal, "no answer"));
    }

    auto storeResult() -> JobStore::PhaseCallback
    {
        m_result.reset();
        return [this](Result<JobPhase> &&result) {
            m_result = std::move(result);
        };
    }

    /// @brief Stores the job and carries out all steps of its end and its move.
    auto archive() -> void
    {
        m_store.put(jobKey(id), encodeRow(sampleJob()));
        for (int step = 0; step < steps; ++step) {
            applyArchiveStep(m_store, step);
        }
    }

    MemoryStore m_store;
    JobStore m_jobs{m_store};
    std::optional<Result<JobPhase>> m_result;
};
}

// Guards against an accepted job that is reported as unknown (LOST) because it is moved between two reads for the same answer.
TEST_F(JobStoreTest, ReadsTheStateAtAnyStepOfAMove)
{
    // Each step of the move is carried out before the read with this number.
    for (int first = 0; first <= 3; ++first) {
        for (int second = first; second <= 3; ++second) {
            for (int third = second; third <= 3; ++third) {
                MemoryStore store;
                JobStore jobs(store);
                store.put(jobKey(id), encodeRow(sampleJob()));
                int reads = 0;
                int taken = 0;
                const std::array<int, steps> at{first, second, third};
                store.m_beforeRead = [&] {
                    while (taken < steps && at[static_cast<std::size_t>(taken)] <= reads) {
                        applyArchiveStep(store, taken++);
                    }
                    ++reads;
                };
                std::optional<Result<JobPhase>> result;
                jobs.readPhase(id, [&result](Result<JobPhase> &&received) {
                    result = std::move(received);
                });
                store.run(std::chrono::seconds(1));
                ASSERT_TRUE(result && *result) << first << second << third << ": " << (result ? result->error().m_message : "no answer");
                EXPECT_TRUE(**result == JobPhase::Queued || **result == JobPhase::Completed);
            }
        }
    }
}

// Guards against a second run of a job whose submission is repeated after its move (TWICE).
TEST_F(JobStoreTest, AnEndedJobIsNotStoredAgain)
{
    archive();
    m_jobs.submit(sampleJob(), storeResult());
    EXPECT_TRUE(awaitResult()) << "the submission was accepted before";
    EXPECT_FALSE(m_store.contains(jobKey(id)));
    EXPECT_TRUE(m_store.m_violations.empty());
}

// Guards against a 504 answer for a job that was stored, has ended and was moved before the lost outcome of its submission was read back.
TEST_F(JobStoreTest, ConfirmsASubmissionThatWasMoved)
{
    archive();
    m_store.m_nextFault = [] {
        return MemoryStore::Fault::AnswerLost;
    };
    m_jobs.submit(sampleJob(), storeResult());
    EXPECT_TRUE(awaitResult());
}

// Guards against a cancellation that is always refused, or stored without a job, when the job was moved before or during the call.
TEST_F(JobStoreTest, CancelsAnEndedJob)
{
    archive();
    m_jobs.cancel(id, storeResult());
    EXPECT_EQ(awaitResult().value_or(JobPhase::Queued), JobPhase::Cancelled);
    EXPECT_FALSE(m_store.contains(cancelKey(id)));

    m_store.drop(finalKey(id));
    m_jobs.cancel(id, storeResult());
    EXPECT_EQ(awaitResult().error().m_code, ErrorCode::UnknownJob);

    m_store.put(jobKey(id), encodeRow(sampleJob()));
    m_store.m_nextFault = [this] {
        archive();
        return MemoryStore::Fault::None;
    };
    m_jobs.cancel(id, storeResult());
    EXPECT_EQ(awaitResult().value_or(JobPhase::Queued), JobPhase::Cancelled);
    EXPECT_FALSE(m_store.contains(cancelKey(id)));
}

// Guards against a job that runs after its cancellation was acknowledged (UNASKED): the store carried out a submission late whose answer was
// lost, after the caller had cancelled the job.
TEST_F(JobStoreTest, ACancelledSubmissionInFlightIsNotStored)
{
    m_store.m_nextFault = [] {
        return MemoryStore::Fault::RequestLate;
    };
    m_jobs.submit(sampleJob(), storeResult());
    m_store.run(MemoryStore::timeout + Milliseconds{100});
    ASSERT_TRUE(m_result);
    ASSERT_FALSE(*m_result);
    EXPECT_EQ(m_result->error().m_code, ErrorCode::OutcomeUnknown);
    m_store.m_nextFault = nullptr;
    m_jobs.cancel(id, storeResult());
    m_store.run(Milliseconds{100});
    ASSERT_TRUE(m_result);
    ASSERT_FALSE(*m_result);
    EXPECT_EQ(m_result->error().m_code, ErrorCode::UnknownJob);
    m_store.run(2 * MemoryStore::lateDelay);
    EXPECT_FALSE(m_store.contains(jobKey(id)));
    EXPECT_TRUE(m_store.m_violations.empty());
}

// Guards against a cancelled job that runs after all because it is submitted again, and against a job that was never submitted but is shown.
TEST_F(JobStoreTest, AJobSubmittedAfterItsCancellationIsCancelled)
{
    for (int i = 0; i < 2; ++i) {
        m_jobs.cancel(id, storeResult());
        EXPECT_EQ(awaitResult().error().m_code, ErrorCode::UnknownJob);
    }
    m_jobs.readPhase(id, storeResult());
    EXPECT_EQ(awaitResult().error().m_code, ErrorCode::UnknownJob);
    for (int i = 0; i < 2; ++i) {
        m_jobs.submit(sampleJob(), storeResult());
        EXPECT_TRUE(awaitResult());
        EXPECT_FALSE(m_store.contains(jobKey(id)));
        m_jobs.readPhase(id, storeResult());
        EXPECT_EQ(awaitResult().value(), JobPhase::Cancelled);
    }
    m_jobs.cancel(id, storeResult());
    EXPECT_TRUE(awaitResult());
}

// Guards against a cancellation that misses a submission which is stored while the job is looked for.
TEST_F(JobStoreTest, ACancellationSeesASubmissionThatIsStoredMeanwhile)
{
    int reads = 0;
    m_store.m_beforeRead = [this, &reads] {
        if (++reads == 2) {
            m_store.put(jobKey(id), encodeRow(sampleJob()));
        }
    };
    m_jobs.cancel(id, storeResult());
    EXPECT_EQ(awaitResult().value(), JobPhase::Cancelled);
    EXPECT_TRUE(m_store.contains(cancelKey(id)));
    EXPECT_FALSE(m_store.contains(finalKey(id)));
}

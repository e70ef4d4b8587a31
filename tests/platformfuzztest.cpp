#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/fleet/fleetcandidaterow.hpp"
#include "burdockspur/fleet/fleetrows.hpp"
#include "burdockspur/fleet/fleetscheduler.hpp"
#include "platform/messagecodec.hpp"
#include "platform/rowstore.hpp"
#include "platform/workercalls.hpp"

#include "httpstub.hpp"

#include <gtest/gtest.h>

#include <array>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

using namespace Burdockspur;
using Burdockspur::Platform::MessageCodec;

namespace
{
constexpr std::string_view worker =
    R"({"service":"huvo","address":"10.1.0.9:8080","zone":"z-a","version":"v1","slots":8,"state":"draining","drain_remaining_ms":1500,)"
    R"("cold_remaining_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":1},"labels":["a","r1-3"],"clock_ms":482113,"born":1771900000000,"seq":4})";
constexpr std::string_view configuration =
    R"({"version":7,"routes":[{"name":"r1","host":"a.example","prefix":"/x/","service":"huvo","priority":2,"max_attempts":4,"stretch":1.5,)"
    R"("target_duration_ms":300}],"services":[{"name":"huvo","enforces_capacity":true}],"limits":{"max_body_bytes":1000,"idle_timeout_ms":500}})";
constexpr std::string_view submission =
    R"({"spec":"s","repeat_count":2,"start_at_ms":1800000000000,"interval_ms":500,"steps":[{"count":4,"cpu":500,"mem_mb":256,"gpu":1,)"
    R"("estimate_ms":900.5,"preferred_rack":"r1-3","max_per_server":2,"image":"im","target_ms":50,"fills":true},{"count":1,"after":[0]}]})";
constexpr std::string_view report =
    R"({"clock_ms":482113,"born":42,"running":[["5c0e7a21d94b36f8.0.1.17",2,"cp",41,12]],"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
constexpr std::string_view page = R"({"rows":[{"table":"servers","part":"","key":"a","value":"bm9kZS0x","ver":531}],"ver":533,"has_more":true,"now_ms":1})";
constexpr std::string_view jobId = "5c0e7a21d94b36f8";

/// Values that replace a part of a message: other types, and numbers at and beyond the limits of 32 and 64 bits.
constexpr std::array<std::string_view, 24> oddValues{"null",
                                                     "true",
                                                     "[]",
                                                     "{}",
                                                     "\"\"",
                                                     "\"x\"",
                                                     "0",
                                                     "-1",
                                                     "0.5",
                                                     "65536",
                                                     "4294967296",
                                                     "-9223372036854775808",
                                                     "9223372036854775807",
                                                     "9223372036854775808",
                                                     "18446744073709551615",
                                                     "18446744073709551616",
                                                     "1e15",
                                                     "1e19",
                                                     "1e308",
                                                     "-1e308",
                                                     "1e400",
                                                     "\"\xff\xfe\"",
                                                     "[[[[[[[[[[]]]]]]]]]]",
                                                     "\"\\u0000\\ud800\""};

/// @brief Changes messages at random, always in the same way for the same seed.
class Mutator
{
public:
    explicit Mutator(std::uint64_t seed)
        : m_random(seed)
    {
    }

    [[nodiscard]] auto mutate(std::string_view message) -> std::string
    {
        std::string text(message);
        const auto changes = 1 + m_random.below(3);
        for (std::uint32_t i = 0; i < changes && !text.empty(); ++i) {
            (this->*changeTable[m_random.below(static_cast<std::uint32_t>(changeTable.size()))])(text);
        }
        return text;
    }

private:
    [[nodiscard]] auto position(const std::string &text) -> std::size_t
    {
        return m_random.below(static_cast<std::uint32_t>(text.size()));
    }

    auto flipByte(std::string &text) -> void
    {
        text[position(text)] = static_cast<char>(m_random.below(256));
    }

    auto cut(std::string &text) -> void
    {
        text.resize(position(text));
    }

    auto repeatPart(std::string &text) -> void
    {
        const auto from = position(text);
        text.insert(position(text), text.substr(from, 1 + m_random.below(40)));
    }

    auto removePart(std::string &text) -> void
    {
        text.erase(position(text), 1 + m_random.below(20));
    }

    /// Replaces a value, which follows a colon, a comma or a bracket.
    auto replaceValue(std::string &text) -> void
    {
        const auto begin = text.find_first_of(":,[", position(text));
        if (begin != std::string::npos) {
            const auto end = std::min(text.find_first_of(",]}", begin + 1), text.size());
            text.replace(begin + 1, end - begin - 1, oddValues[m_random.below(static_cast<std::uint32_t>(oddValues.size()))]);
        }
    }

    auto nest(std::string &text) -> void
    {
        const std::size_t levels = 1 + m_random.below(10'000);
        text.insert(position(text), std::string(levels, m_random.below(2) == 0 ? '[' : '{'));
    }

    RandomSource m_random;
    using Change = auto (Mutator::*)(std::string &) -> void;
    static constexpr std::array<Change, 8> changeTable{&Mutator::flipByte,
                                                       &Mutator::cut,
                                                       &Mutator::repeatPart,
                                                       &Mutator::removePart,
                                                       &Mutator::replaceValue,
                                                       &Mutator::replaceValue,
                                                       &Mutator::replaceValue,
                                                       &Mutator::nest};
};

/// @brief Number of changed messages for each decoder; BURDOCKSPUR_FUZZ_ROUNDS sets it for a longer run by hand.
[[nodiscard]] auto rounds() -> std::uint64_t
{
    constexpr std::uint64_t usual = 20'000;
    const char *const text = std::getenv("BURDOCKSPUR_FUZZ_ROUNDS");
    return text == nullptr ? usual : std::strtoull(text, nullptr, 10);
}

[[nodiscard]] auto sampleJob() -> TaskJob
{
    TaskJob job;
    job.m_id = jobId;
    job.m_policy.m_name = "queue";
    job.m_policy.m_pool = "huvo";
    auto &step = job.m_steps.emplace_back();
    step.m_count = 2;
    step.m_demand = {500, 64, 0};
    step.m_estimate = Milliseconds{100};
    return job;
}

[[nodiscard]] auto sampleProgress() -> JobProgress
{
    JobProgress progress{JobPhase::Running, 1, {}};
    progress.m_open.push_back({0, {StepProgress{{TaskProgress{TaskPhase::Assigned, 1, 0, "i-1", 42, "cp"}, TaskProgress{}}}}});
    return progress;
}

/// @brief True for a decoded value, and for an error that tells what is wrong.
template<typename Value>
[[nodiscard]] auto isValueOrReason(const Result<Value> &result) -> bool
{
    return result.has_value() || !result.error().m_message.empty();
}

const TimePoint start = TimePoint{} + std::chrono::hours(1);
const FleetScheduler::WallTime wallNow{Milliseconds{1'800'000'000'000}};

/// @brief An owner with one worker, which gets whatever the decoders accept.
class Owner
{
public:
    Owner()
    {
        m_scheduler.begin(1, {}, start, wallNow);
        const auto record = MessageCodec{}.decodeWorker("i-1", worker);
        m_scheduler.updateWorkers(std::span(&*record, 1), {}, start);
    }

    /// @brief Lets the owner decide. It must not ask to be called again at once, which would occupy a processor for ever.
    auto expectNoSpin() -> void
    {
        TimePoint now = start;
        for (int i = 0; i < 3; ++i) {
            now = std::max(m_scheduler.advance(now, wallNow), now);
            static_cast<void>(m_scheduler.takeCommands());
        }
        EXPECT_GT(now, start);
    }

    FleetScheduler m_scheduler{FleetLimits{}};
};
}

// Guards against an odd entry of a worker that is taken for a worker, or with which the owner cannot compute.
TEST(PlatformFuzzTest, EntriesOfWorkers)
{
    Mutator mutator(1);
    const MessageCodec codec;
    for (std::uint64_t i = 0; i < rounds(); ++i) {
        const auto text = mutator.mutate(worker);
        const auto record = codec.decodeWorker("i-2", text);
        if (!record) {
            EXPECT_FALSE(record.error().m_message.empty());
            continue;
        }
        ASSERT_NE(record->m_endpoint.m_port, 0) << text;
        ASSERT_TRUE(record->m_capacity.isValid()) << text;
        if (i % 16 == 0) {
            Owner owner;
            owner.m_scheduler.updateWorkers(std::span(&*record, 1), {}, start);
            owner.expectNoSpin();
        }
    }
}

// Guards against a configuration that cannot be read and still changes something, or whose times overflow.
TEST(PlatformFuzzTest, Configurations)
{
    Mutator mutator(2);
    const MessageCodec codec;
    for (std::uint64_t i = 0; i < rounds(); ++i) {
        const auto text = mutator.mutate(configuration);
        if (const auto decoded = codec.decodeConfiguration(text)) {
            for (const auto &queue : decoded->m_queues) {
                ASSERT_GE(queue.m_target.count(), 0) << text;
                ASSERT_GE(queue.m_stretch, 0) << text;
            }
        }
    }
}

// Guards against a submission that ends the host or makes the owner spin.
TEST(PlatformFuzzTest, Submissions)
{
    Mutator mutator(3);
    const MessageCodec codec;
    const auto queues = codec.decodeConfiguration(configuration).value();
    HttpRequest request;
    request.m_method = "POST";
    request.m_target = "/x/" + std::string(jobId);
    request.m_fields = {{"Host", "a.example"}};
    for (std::uint64_t i = 0; i < rounds(); ++i) {
        request.m_body = mutator.mutate(submission);
        auto call = codec.decodeCall(request, queues);
        if (!call) {
            continue;
        }
        auto &job = std::get<SubmitCall>(*call).m_job;
        ASSERT_EQ(validationError(job), "") << request.m_body;
        const auto stored = decodeJobRow(encodeRow(job), jobId);
        ASSERT_TRUE(stored) << "what was accepted must be readable for the owner: " << request.m_body;
        if (i % 16 == 0) {
            Owner owner;
            owner.m_scheduler.addJob(std::move(job), start, wallNow);
            owner.expectNoSpin();
        }
    }
}

// Guards against rows of the product's own tables, written by someone else, that end a host or the next owner.
TEST(PlatformFuzzTest, OwnRows)
{
    Mutator mutator(4);
    const auto job = encodeRow(sampleJob());
    const auto progress = encodeRow(sampleProgress());
    FleetOwnerRow ownerRow;
    ownerRow.m_host = "host-1";
    ownerRow.m_incarnation = "0123456789abcdef";
    ownerRow.m_epoch = 3;
    ownerRow.m_waiting = {{"queue", 3}};
    ownerRow.m_waitingAge = Milliseconds{40};
    const auto owner = encodeRow(ownerRow);
    const auto candidate = encodeRow(FleetCandidateRow{"host-2", "2", {0.5, 200}, 3});
    const std::vector<InterferencePair> pairs{{"fill", "serving", 7.25, 0.5}};
    const auto model = encodeRow(std::span(pairs));
    const auto final = encodeRow(FinalRow{JobPhase::Failed, {}});
    for (std::uint64_t i = 0; i < rounds(); ++i) {
        auto decodedJob = decodeJobRow(mutator.mutate(job), jobId);
        auto decodedProgress = decodeFirstProgressRow(mutator.mutate(progress));
        ASSERT_TRUE(isValueOrReason(decodeFleetOwnerRow(mutator.mutate(owner))));
        ASSERT_TRUE(isValueOrReason(decodeFleetCandidateRow(mutator.mutate(candidate))));
        ASSERT_TRUE(isValueOrReason(decodeModelRow(mutator.mutate(model))));
        ASSERT_TRUE(isValueOrReason(decodeFinalRow(mutator.mutate(final))));
        if (i % 16 == 0) {
            std::vector<StoredJob> stored;
            stored.push_back({decodedJob ? std::move(*decodedJob) : sampleJob(), {}, false});
            if (decodedProgress) {
                stored.back().m_progress = std::move(decodedProgress->m_progress);
            }
            FleetScheduler scheduler(FleetLimits{});
            scheduler.begin(1, std::move(stored), start, wallNow);
            static_cast<void>(scheduler.advance(start, wallNow));
        }
    }
}

// Guards against an answer of a worker or of the store that ends the process, or that is read in part.
TEST(PlatformFuzzTest, AnswersOfWorkersAndStore)
{
    HttpStub stub;
    Platform::RowStore store(stub.client(), stub.endpoint(), Milliseconds{60'000}, 65'536);
    Platform::WorkerCalls workers(stub.client());
    const WorkerAddress address{"i-1", stub.endpoint(), 42, 7};
    Mutator mutator(5);
    // Each answer goes through a connection, so these rounds are fewer.
    for (std::uint64_t i = 0; i < rounds() / 10; ++i) {
        stub.respondWith(200, mutator.mutate(report));
        const auto answer = std::get<ReportAnswer>(HttpStub::await<WorkerAnswer>([&](auto callback) {
            workers.send(ReportOrder{address, 0, {}, {}}, std::move(callback));
        }));
        if (answer.m_outcome == OrderOutcome::Accepted && i % 16 == 0) {
            Owner owner;
            auto delivered = answer;
            delivered.m_address.m_epoch = 1;
            delivered.m_address.m_incarnation = 1'771'900'000'000U;
            owner.m_scheduler.handleAnswer(delivered, start);
            owner.expectNoSpin();
        }
        stub.respondWith(200, mutator.mutate(page));
        ASSERT_TRUE(isValueOrReason(HttpStub::await<Result<RowPage>>([&](auto callback) {
            store.follow("servers", 1, Milliseconds{0}, std::move(callback));
        })));
        static_cast<void>(HttpStub::await<CommitResult>([&](auto callback) {
            store.commit({}, std::move(callback));
        }));
    }
}

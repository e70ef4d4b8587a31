#include "platform/messagecodec.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;
using Burdockspur::Platform::MessageCodec;

namespace
{
constexpr std::string_view worker =
    R"({"service":"huvo","address":"10.1.0.9:8080","zone":"z-a","version":"v1","slots":8,"state":"draining","drain_remaining_ms":1500,)"
    R"("cold_remaining_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":1},"labels":["a","r1-3"],"clock_ms":482113,"born":1771900000000,"seq":4})";

[[nodiscard]] auto without(std::string_view text, std::string_view part) -> std::string
{
    std::string changed(text);
    changed.erase(changed.find(part), part.size());
    return changed;
}

[[nodiscard]] auto twoQueues() -> FleetConfiguration
{
    const auto decoded = MessageCodec{}.decodeConfiguration(
        R"({"version":7,"routes":[{"name":"r1","host":"a.example","prefix":"/x/","service":"huvo","priority":2,"max_attempts":4,"stretch":1.5,"target_duration_ms":300},)"
        R"({"name":"r2","host":"a.example","prefix":"/x/y/","service":"huvo"}],"services":[{"name":"huvo","enforces_capacity":true}],"limits":{"max_body_bytes":1000}})");
    return decoded.value();
}

[[nodiscard]] auto request(std::string_view method, std::string_view target, std::string_view body = {}) -> HttpRequest
{
    HttpRequest made;
    made.m_method = method;
    made.m_target = target;
    made.m_fields = {{"Host", "a.example:8080"}};
    made.m_body = body;
    return made;
}
}

// Guards against fields of the platform that are stored in the wrong member of a record.
TEST(PlatformMessagesTest, ReadsAWorker)
{
    const auto record = MessageCodec{}.decodeWorker("i-1", worker);
    ASSERT_TRUE(record) << record.error().m_message;
    EXPECT_EQ(record->m_id, "i-1");
    EXPECT_EQ(record->m_pool, "huvo");
    EXPECT_EQ(record->m_endpoint, (HttpEndpoint{"10.1.0.9", 8080}));
    EXPECT_EQ(record->m_rack, "r1-3");
    EXPECT_EQ(record->m_capacity, (Resources{16'000, 32'768, 1}));
    EXPECT_EQ(record->m_incarnation, 1'771'900'000'000U);
    EXPECT_EQ(record->m_drainRemaining, Milliseconds{1'500});
}

// Guards against the use of a malformed registration, e.g. one that another program wrote.
TEST(PlatformMessagesTest, RefusesMalformedWorkers)
{
    const MessageCodec codec;
    for (const std::string_view part : {R"("service":"huvo",)", R"("address":"10.1.0.9:8080",)", R"("born":1771900000000,)", R"("cpu":16000,)"}) {
        EXPECT_FALSE(codec.decodeWorker("i-1", without(worker, part))) << part;
    }
    std::string unknownState(worker);
    unknownState.replace(unknownState.find("draining"), 8, "floating");
    EXPECT_FALSE(codec.decodeWorker("i-1", unknownState));
    EXPECT_FALSE(codec.decodeWorker("i-1", "\xff"));
    EXPECT_FALSE(codec.decodeWorker("i-1", R"({"service":7})"));
}

// Guards against a request that goes to the queue with the shorter matching prefix.
TEST(PlatformMessagesTest, TheLongestPrefixSelectsTheQueue)
{
    const auto configuration = twoQueues();
    EXPECT_EQ(configuration.queueFor("a.example", "/x/1")->m_name, "r1");
    EXPECT_EQ(configuration.queueFor("a.example", "/x/y/1")->m_name, "r2");
    EXPECT_EQ(configuration.queueFor("b.example", "/x/1"), nullptr);
    EXPECT_EQ(configuration.queueFor("a.example", "/z/1"), nullptr);
    EXPECT_EQ(configuration.m_queues[0].m_maxAttempts, 4U);
    EXPECT_EQ(configuration.m_queues[0].m_target, Milliseconds{300});
    EXPECT_TRUE(configuration.m_pools[0].m_enforcesCapacity);
    EXPECT_EQ(configuration.m_maxBodyBytes, 1'000U);
}

// Guards against a field of a step that is lost, e.g. a limit per worker, which would then be exceeded.
TEST(PlatformMessagesTest, ReadsEveryFieldOfAStep)
{
    const auto call = MessageCodec{}.decodeCall(
        request(
            "POST",
            "/x/5c0e7a21d94b36f8",
            R"({"spec":"s","repeat_count":2,"start_at_ms":1800000000000,"interval_ms":500,"steps":[{"count":4,"cpu":500,"mem_mb":256,"gpu":1,"estimate_ms":900.5,)"
            R"("preferred_rack":"r1-3","requires":"b","max_per_server":2,"image":"im","target_ms":50,"may_miss":1,"saves_progress":true,"gang":true,)"
            R"("same_rack":true,"speculative":true,"long_running":true,"fills":true},{"count":1,"after":[0]}]})"),
        twoQueues());
    ASSERT_TRUE(call) << call.error().m_message;
    const auto &job = std::get<SubmitCall>(*call).m_job;
    EXPECT_EQ(job.m_repeats, 2U);
    EXPECT_EQ(job.m_interval, Milliseconds{500});
    EXPECT_EQ(job.m_policy.m_name, "r1");
    const auto &step = job.m_steps[0];
    EXPECT_EQ(step.m_demand, (Resources{500, 256, 1}));
    EXPECT_EQ(step.m_estimate, Milliseconds{900});
    EXPECT_EQ(step.m_preferredRack, "r1-3");
    EXPECT_EQ(step.m_requiredLabel, "b");
    EXPECT_EQ(step.m_maxPerWorker, 2U);
    EXPECT_EQ(step.m_image, "im");
    EXPECT_EQ(step.m_tailTarget, Milliseconds{50});
    EXPECT_EQ(step.m_maxUnavailable, 1U);
    EXPECT_TRUE(step.m_savesProgress && step.m_isGang && step.m_sameRack && step.m_isSpeculative && step.m_isServing && step.m_isFilling);
    EXPECT_EQ(job.m_steps[1].m_after, std::vector<std::uint32_t>{0});
}

// Guards against a misleading status: 404 only for an unknown queue, 410 only for an unknown job, 504 for an unknown outcome.
TEST(PlatformMessagesTest, ErrorsHaveTheMatchingStatus)
{
    const MessageCodec codec;
    EXPECT_EQ(codec.errorResponse({ErrorCode::UnknownRoute, ""}, 0).m_status, 404);
    EXPECT_EQ(codec.errorResponse({ErrorCode::UnknownJob, ""}, 0).m_status, 410);
    EXPECT_EQ(codec.errorResponse({ErrorCode::OutcomeUnknown, ""}, 0).m_status, 504);
    EXPECT_EQ(codec.errorResponse({ErrorCode::BadRequest, ""}, 0).m_status, 400);
    const auto refused = codec.errorResponse({ErrorCode::Unavailable, "a \"reason\""}, 1);
    EXPECT_EQ(refused.m_status, 503);
    EXPECT_EQ(refused.field("Retry-After"), "1");
    EXPECT_TRUE(refused.m_body.contains(R"(a \"reason\")"));
    EXPECT_EQ(codec.decodeCall(request("GET", "/z/1"), twoQueues()).error().m_code, ErrorCode::UnknownRoute);
}

// Guards against an odd entry among those of the workers that ends the process, stops the reading of the list, or makes another entry
// unusable (report of other operators: very deeply nested, a number too large, a port out of range).
TEST(PlatformMessagesTest, RefusesOddEntriesOfWorkers)
{
    const MessageCodec codec;
    const auto replaced = [](std::string_view part, std::string_view by) {
        std::string text(worker);
        return text.replace(text.find(part), part.size(), by);
    };
    for (const std::string_view address : {R"("10.1.0.9:0")",
                                           R"("10.1.0.9:65536")",
                                           R"("10.1.0.9:99999999999999999999")",
                                           R"("10.1.0.9:")",
                                           R"("10.1.0.9")",
                                           R"(":8080")",
                                           R"("")",
                                           R"("worker.example:8080")",
                                           "8080",
                                           "null",
                                           "[]",
                                           "{}"}) {
        EXPECT_FALSE(codec.decodeWorker("i-1", replaced(R"("10.1.0.9:8080")", address))) << address;
    }
    for (const std::string_view number :
         {"-1", "0.5", "1e30", "9223372036854775807", "18446744073709551615", "18446744073709551616", R"("16000")", "true", "[]", "{}"}) {
        EXPECT_FALSE(codec.decodeWorker("i-1", replaced("16000", number))) << number;
        EXPECT_FALSE(codec.decodeWorker("i-1", replaced("32768", number))) << number;
    }
    for (const std::string_view number : {"-1", "0.5", "18446744073709551616", "1e400", R"("1771900000000")", "true", "[]", "{}"}) {
        EXPECT_FALSE(codec.decodeWorker("i-1", replaced("1771900000000", number))) << number;
    }
    for (const std::string_view time : {"-1", "1e300", "9223372036854775807", R"("soon")", "[]"}) {
        EXPECT_FALSE(codec.decodeWorker("i-1", replaced("1500", time))) << time;
    }
    for (const std::string_view name : {"huvo", "z-a", "draining"}) {
        EXPECT_FALSE(codec.decodeWorker("i-1", replaced("\"" + std::string(name) + "\"", "7"))) << name;
    }
    const std::string nested = std::string(10'000, '[') + std::string(10'000, ']');
    EXPECT_FALSE(codec.decodeWorker("i-1", nested));
    EXPECT_FALSE(codec.decodeWorker("i-1", replaced(R"({"cpu":16000,"mem_mb":32768,"gpu":1})", nested)));
    EXPECT_FALSE(codec.decodeWorker("i-1", replaced(R"("v1")", nested))) << "also in a field that is not read";
    EXPECT_FALSE(codec.decodeWorker("i-1", replaced("huvo", std::string(1'000'000, 'x'))));
    EXPECT_FALSE(codec.decodeWorker("i-1", replaced("huvo", "\xff\xfe")));
    EXPECT_FALSE(codec.decodeWorker("i-1", ""));
}

// Guards against a submission whose times overflow when they are added to the clock: the owner would spin, or never start the job.
TEST(PlatformMessagesTest, RefusesSubmissionsWithOddNumbers)
{
    const auto queues = twoQueues();
    for (const std::string_view body : {R"({"repeat_count":1,"start_at_ms":1e15,"steps":[{"count":1}]})",
                                        R"({"repeat_count":1,"interval_ms":1e300,"steps":[{"count":1}]})",
                                        R"({"steps":[{"count":1,"estimate_ms":1e14}]})",
                                        R"({"steps":[{"count":1,"target_ms":-1}]})",
                                        R"({"steps":[{"count":1,"cpu":9223372036854775807}]})",
                                        R"({"steps":[{"count":1,"mem_mb":-1}]})",
                                        R"({"steps":[{"count":18446744073709551616}]})",
                                        R"({"steps":[{"count":0.5}]})"}) {
        EXPECT_FALSE(MessageCodec{}.decodeCall(request("POST", "/x/5c0e7a21d94b36f8", body), queues)) << body;
    }
}

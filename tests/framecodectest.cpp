#include "burdockspur/link/framecodec.hpp"
#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/impl/messages_generated.h"
#include "burdockspur/link/peermessage.hpp"

#include <gtest/gtest.h>

#include <bit>
#include <span>

using namespace Burdockspur;

namespace
{
constexpr std::size_t lengthBytes = 4;

[[nodiscard]] auto decode(std::string_view envelope) -> Result<PeerMessage>
{
    return decodeEnvelope(std::as_bytes(std::span(envelope)));
}

[[nodiscard]] auto sampleJob(std::string_view id) -> Job
{
    Job job;
    job.m_id = id;
    job.m_spec = {.m_kind = JobKind::Watcher,
                  .m_caller = "caller",
                  .m_class = "render",
                  .m_team = "sky",
                  .m_demand = {.m_cpuMillis = 1500, .m_memoryMb = 2048, .m_accelerators = 1},
                  .m_durationMs = -1,
                  .m_urgent = true,
                  .m_payload = std::string("a\0b\xff", 4)};
    job.m_state = JobState::Unschedulable;
    job.m_attempt = 7;
    job.m_worker = "worker-1";
    job.m_checkpoint = "c1";
    job.m_result = "";
    job.m_reason = "no worker has 1 accelerator";
    return job;
}

/// @returns one message of each kind
[[nodiscard]] auto sampleMessages() -> std::vector<PeerMessage>
{
    const std::vector<PeerMessage::Body> bodies{
        Hello{.m_host = "entry-1", .m_program = "scheduler"},
        Heartbeat{},
        OwnershipReport{.m_shards = {{.m_shard = 3, .m_epoch = 1ULL << 60U, .m_owner = "entry-2", .m_heartbeat = 9}, {}}, .m_draining = true},
        SubmitJob{.m_job = "j1", .m_spec = sampleJob("j1").m_spec},
        CancelJob{.m_job = "j2"},
        QueryJob{.m_job = "j3"},
        ListJobs{.m_state = "queued", .m_after = "j4", .m_limit = 0},
        JobReply{.m_job = sampleJob("j5")},
        JobListReply{.m_page = {.m_jobs = {sampleJob("j6"), {}, sampleJob("j7")}, .m_hasMore = true}},
        ErrorReply{.m_error = {.m_code = ErrorCode::NotOwner, .m_message = "owned by entry-3"}},
    };
    std::vector<PeerMessage> messages;
    messages.reserve(bodies.size());
    for (const auto &body : bodies) {
        messages.push_back({.m_configVersion = 42, .m_correlation = messages.size(), .m_body = body});
    }
    return messages;
}

/// Encodes an envelope that encodeFrame() would not produce.
template<typename Build>
[[nodiscard]] auto envelopeOf(Wire::Body kind, Build build) -> std::string
{
    flatbuffers::FlatBufferBuilder builder;
    const flatbuffers::Offset<void> body = build(builder);
    builder.Finish(Wire::CreateEnvelope(builder, 1, 2, kind, body));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

auto expectBadFrame(std::string_view envelope) -> void
{
    const auto message = decode(envelope);
    ASSERT_FALSE(message);
    EXPECT_EQ(message.error().m_code, ErrorCode::BadFrame);
}
}

// Guards against fields that are lost or confused between the table of message kinds and the schema.
TEST(FrameCodecTest, EveryKindIsReversible)
{
    const auto messages = sampleMessages();
    ASSERT_EQ(messages.size(), std::variant_size_v<PeerMessage::Body>);
    for (const auto &message : messages) {
        const std::string frame = encodeFrame(message);
        const auto decoded = decode(std::string_view(frame).substr(lengthBytes));
        ASSERT_TRUE(decoded) << decoded.error().m_message;
        EXPECT_EQ(decoded->m_body.index(), message.m_body.index());
        EXPECT_EQ(decoded->m_configVersion, 42U);
        EXPECT_EQ(decoded->m_correlation, message.m_correlation);
        EXPECT_EQ(encodeFrame(*decoded), frame);
    }
    const auto reply = decode(std::string_view(encodeFrame(messages[7])).substr(lengthBytes));
    ASSERT_TRUE(reply);
    EXPECT_EQ(std::get<JobReply>(reply->m_body).m_job, sampleJob("j5"));
    const auto list = decode(std::string_view(encodeFrame(messages[8])).substr(lengthBytes));
    ASSERT_TRUE(list);
    EXPECT_EQ(std::get<JobListReply>(list->m_body).m_page.m_jobs[1], Job());
    EXPECT_EQ(std::get<JobListReply>(list->m_body).m_page.m_jobs[2], sampleJob("j7"));
    EXPECT_TRUE(std::get<JobListReply>(list->m_body).m_page.m_hasMore);
    const auto report = decode(std::string_view(encodeFrame(messages[2])).substr(lengthBytes));
    ASSERT_TRUE(report);
    EXPECT_EQ(std::get<OwnershipReport>(report->m_body).m_shards, std::get<OwnershipReport>(messages[2].m_body).m_shards);
}

// Guards against a length prefix in the byte order of the host.
TEST(FrameCodecTest, LengthIsLittleEndian)
{
    const std::string frame = encodeFrame({.m_configVersion = 1, .m_correlation = 2, .m_body = CancelJob{.m_job = std::string(600, 'x')}});
    const std::size_t length = frame.size() - lengthBytes;
    EXPECT_EQ(static_cast<unsigned char>(frame[0]), length & 0xFFU);
    EXPECT_EQ(static_cast<unsigned char>(frame[1]), length >> 8U);
    EXPECT_EQ(frame[2], 0);
    EXPECT_EQ(frame[3], 0);
}

// Guards against accepting undefined enum values, and against reading missing parts as defaults.
TEST(FrameCodecTest, VerifiedButInvalidEnvelopesAreBadFrames)
{
    expectBadFrame("");
    expectBadFrame("garbage that is no envelope");
    expectBadFrame(envelopeOf(Wire::Body::NONE, [](auto &) {
        return flatbuffers::Offset<void>();
    }));
    expectBadFrame(envelopeOf(Wire::Body::Hello, [](auto &) {
        return flatbuffers::Offset<void>();
    }));
    expectBadFrame(envelopeOf(std::bit_cast<Wire::Body>(std::uint8_t{11}), [](auto &builder) {
        return Wire::CreateHello(builder).Union();
    }));
    expectBadFrame(envelopeOf(Wire::Body::SubmitJob, [](auto &builder) {
        return Wire::CreateSubmitJob(builder, builder.CreateString("j1")).Union();
    }));
    expectBadFrame(envelopeOf(Wire::Body::SubmitJob, [](auto &builder) {
        const auto spec = Wire::CreateJobSpec(builder, std::bit_cast<Wire::JobKind>(std::uint8_t{2}));
        return Wire::CreateSubmitJob(builder, builder.CreateString("j1"), spec).Union();
    }));
    expectBadFrame(envelopeOf(Wire::Body::JobReply, [](auto &builder) {
        return Wire::CreateJobReply(builder).Union();
    }));
    expectBadFrame(envelopeOf(Wire::Body::JobReply, [](auto &builder) {
        const auto spec = Wire::CreateJobSpec(builder);
        return Wire::CreateJobReply(builder, Wire::CreateJob(builder, 0, spec, std::bit_cast<Wire::JobState>(std::uint8_t{7}))).Union();
    }));
}

// Guards against a small frame that exhausts memory because it refers to one large text many times.
TEST(FrameCodecTest, OverlappingValuesAreABadFrame)
{
    expectBadFrame(envelopeOf(Wire::Body::JobListReply, [](auto &builder) {
        const auto large = builder.CreateString(std::string(100'000, 'x'));
        const auto job = Wire::CreateJob(builder, large, Wire::CreateJobSpec(builder));
        const std::vector<flatbuffers::Offset<Wire::Job>> jobs(50'000, job);
        return Wire::CreateJobListReply(builder, builder.CreateVector(jobs)).Union();
    }));
}

// Guards against reads outside the bounds of a corrupted frame.
TEST(FrameCodecTest, DamagedFramesNeverCrash)
{
    constexpr std::uint64_t seed = 99;
    constexpr int rounds = 60'000;
    RandomSource random(seed);
    std::vector<std::string> envelopes;
    for (const auto &message : sampleMessages()) {
        envelopes.push_back(encodeFrame(message).substr(lengthBytes));
    }
    int accepted = 0;
    for (int round = 0; round < rounds; ++round) {
        std::string damaged = envelopes[random.below(static_cast<std::uint32_t>(envelopes.size()))];
        const std::uint32_t flips = 1 + random.below(4);
        for (std::uint32_t flip = 0; flip < flips; ++flip) {
            char &byte = damaged[random.below(static_cast<std::uint32_t>(damaged.size()))];
            byte = static_cast<char>(static_cast<unsigned char>(byte) ^ (1U << random.below(8)));
        }
        if (random.below(8) == 0) {
            damaged.resize(random.below(static_cast<std::uint32_t>(damaged.size())));
        }
        const auto decoded = decode(damaged);
        if (decoded) {
            ++accepted;
            EXPECT_FALSE(encodeFrame(*decoded).empty());
        } else {
            ASSERT_EQ(decoded.error().m_code, ErrorCode::BadFrame);
        }
    }
    EXPECT_GT(accepted, 0);
    EXPECT_LT(accepted, rounds);
}

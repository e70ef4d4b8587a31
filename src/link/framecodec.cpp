#include "burdockspur/link/framecodec.hpp"

#include "burdockspur/impl/jobcodec.hpp"
#include "burdockspur/link/peermessage.hpp"

#include <array>
#include <cstring>
#include <utility>
#include <vector>

namespace Burdockspur
{
namespace
{
using Builder = flatbuffers::FlatBufferBuilder;
using Body = PeerMessage::Body;

// One pair of encode() and decode() for each kind of message body.

[[nodiscard]] auto encode(Builder &builder, const Hello &hello) -> flatbuffers::Offset<Wire::Hello>
{
    const auto host = encodeText(builder, hello.m_host);
    const auto program = encodeText(builder, hello.m_program);
    return Wire::CreateHello(builder, host, program);
}

[[nodiscard]] auto decode(WireReader &reader, const Wire::Hello &hello) -> Hello
{
    return {.m_host = reader.readText(hello.host()), .m_program = reader.readText(hello.program())};
}

[[nodiscard]] auto encode(Builder &builder, const Heartbeat &) -> flatbuffers::Offset<Wire::Heartbeat>
{
    return Wire::CreateHeartbeat(builder);
}

[[nodiscard]] auto decode(WireReader &, const Wire::Heartbeat &) -> Heartbeat
{
    return {};
}

[[nodiscard]] auto encode(Builder &builder, const OwnershipReport &report) -> flatbuffers::Offset<Wire::OwnershipReport>
{
    std::vector<flatbuffers::Offset<Wire::ShardOwnership>> shards;
    shards.reserve(report.m_shards.size());
    for (const auto &shard : report.m_shards) {
        const auto owner = encodeText(builder, shard.m_owner);
        shards.push_back(Wire::CreateShardOwnership(builder, shard.m_shard, shard.m_epoch, owner, shard.m_heartbeat));
    }
    return Wire::CreateOwnershipReport(builder, builder.CreateVector(shards), report.m_draining);
}

[[nodiscard]] auto decode(WireReader &reader, const Wire::OwnershipReport &report) -> OwnershipReport
{
    OwnershipReport read{.m_shards = {}, .m_draining = report.draining()};
    for (flatbuffers::uoffset_t i = 0; report.shards() != nullptr && i < report.shards()->size(); ++i) {
        const auto *const shard = report.shards()->Get(i);
        if (!reader.countTable(shard)) {
            break;
        }
        read.m_shards.push_back(
            {.m_shard = shard->shard(), .m_epoch = shard->epoch(), .m_owner = reader.readText(shard->owner()), .m_heartbeat = shard->heartbeat()});
    }
    return read;
}

[[nodiscard]] auto encode(Builder &builder, const SubmitJob &submit) -> flatbuffers::Offset<Wire::SubmitJob>
{
    const auto job = encodeText(builder, submit.m_job);
    const auto spec = encodeJobSpec(builder, submit.m_spec);
    return Wire::CreateSubmitJob(builder, job, spec);
}

[[nodiscard]] auto decode(WireReader &reader, const Wire::SubmitJob &submit) -> SubmitJob
{
    return {.m_job = reader.readText(submit.job()), .m_spec = reader.readJobSpec(submit.spec())};
}

[[nodiscard]] auto encode(Builder &builder, const CancelJob &cancel) -> flatbuffers::Offset<Wire::CancelJob>
{
    return Wire::CreateCancelJob(builder, encodeText(builder, cancel.m_job));
}

[[nodiscard]] auto decode(WireReader &reader, const Wire::CancelJob &cancel) -> CancelJob
{
    return {.m_job = reader.readText(cancel.job())};
}

[[nodiscard]] auto encode(Builder &builder, const QueryJob &query) -> flatbuffers::Offset<Wire::QueryJob>
{
    return Wire::CreateQueryJob(builder, encodeText(builder, query.m_job));
}

[[nodiscard]] auto decode(WireReader &reader, const Wire::QueryJob &query) -> QueryJob
{
    return {.m_job = reader.readText(query.job())};
}

[[nodiscard]] auto encode(Builder &builder, const ListJobs &list) -> flatbuffers::Offset<Wire::ListJobs>
{
    const auto state = encodeText(builder, list.m_state);
    const auto after = encodeText(builder, list.m_after);
    return Wire::CreateListJobs(builder, state, after, list.m_limit);
}

[[nodiscard]] auto decode(WireReader &reader, const Wire::ListJobs &list) -> ListJobs
{
    return {.m_state = reader.readText(list.state()), .m_after = reader.readText(list.after()), .m_limit = list.limit()};
}

[[nodiscard]] auto encode(Builder &builder, const JobReply &reply) -> flatbuffers::Offset<Wire::JobReply>
{
    return Wire::CreateJobReply(builder, encodeJob(builder, reply.m_job));
}

[[nodiscard]] auto decode(WireReader &reader, const Wire::JobReply &reply) -> JobReply
{
    return {.m_job = reader.readJob(reply.job())};
}

[[nodiscard]] auto encode(Builder &builder, const JobListReply &reply) -> flatbuffers::Offset<Wire::JobListReply>
{
    std::vector<flatbuffers::Offset<Wire::Job>> jobs;
    jobs.reserve(reply.m_page.m_jobs.size());
    for (const auto &job : reply.m_page.m_jobs) {
        jobs.push_back(encodeJob(builder, job));
    }
    return Wire::CreateJobListReply(builder, builder.CreateVector(jobs), reply.m_page.m_hasMore);
}

[[nodiscard]] auto decode(WireReader &reader, const Wire::JobListReply &reply) -> JobListReply
{
    JobListReply read;
    read.m_page.m_hasMore = reply.has_more();
    for (flatbuffers::uoffset_t i = 0; reply.jobs() != nullptr && i < reply.jobs()->size() && reader.fault().empty(); ++i) {
        read.m_page.m_jobs.push_back(reader.readJob(reply.jobs()->Get(i)));
    }
    return read;
}

[[nodiscard]] auto encode(Builder &builder, const ErrorReply &reply) -> flatbuffers::Offset<Wire::ErrorReply>
{
    const auto code = encodeText(builder, errorName(reply.m_error.m_code));
    const auto message = encodeText(builder, reply.m_error.m_message);
    return Wire::CreateErrorReply(builder, code, message);
}

[[nodiscard]] auto decode(WireReader &reader, const Wire::ErrorReply &reply) -> ErrorReply
{
    return {.m_error = {.m_code = errorFromName(reader.readText(reply.code())), .m_message = reader.readText(reply.message())}};
}

struct KindEntry {
    auto (*m_encode)(Builder &, const Body &) -> flatbuffers::Offset<void>;
    auto (*m_decode)(WireReader &, const void *) -> Body;
};

template<std::size_t Index, typename Table>
[[nodiscard]] constexpr auto kindEntry() noexcept -> KindEntry
{
    static_assert(Index + 1 == static_cast<std::size_t>(Wire::BodyTraits<Table>::enum_value));
    return {
        .m_encode = [](Builder &builder, const Body &body) -> flatbuffers::Offset<void> {
            return encode(builder, *std::get_if<Index>(&body)).Union();
        },
        .m_decode = [](WireReader &reader, const void *table) -> Body {
            return decode(reader, *static_cast<const Table *>(table));
        },
    };
}

/// Indexed by the alternative of PeerMessage::Body; its index is one less than the value of Wire::Body, where 0 is NONE.
constexpr auto kindTable = std::to_array<KindEntry>({
    kindEntry<0, Wire::Hello>(),
    kindEntry<1, Wire::Heartbeat>(),
    kindEntry<2, Wire::OwnershipReport>(),
    kindEntry<3, Wire::SubmitJob>(),
    kindEntry<4, Wire::CancelJob>(),
    kindEntry<5, Wire::QueryJob>(),
    kindEntry<6, Wire::ListJobs>(),
    kindEntry<7, Wire::JobReply>(),
    kindEntry<8, Wire::JobListReply>(),
    kindEntry<9, Wire::ErrorReply>(),
});

static_assert(kindTable.size() == std::variant_size_v<Body> && kindTable.size() == static_cast<std::size_t>(Wire::Body::MAX));

constexpr std::size_t lengthBytes = 4;
constexpr unsigned bitsPerByte = 8;

[[nodiscard]] auto badFrame(std::string_view reason) -> std::unexpected<Error>
{
    return failure(ErrorCode::BadFrame, std::string(reason));
}

/// @param bytes an envelope, aligned for every scalar type of the schema
[[nodiscard]] auto decodeAligned(std::span<const std::byte> bytes) -> Result<PeerMessage>
{
    const auto *const data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!Wire::VerifyEnvelopeBuffer(verifier)) {
        return badFrame("the verifier rejected the envelope");
    }
    const auto *const envelope = Wire::GetEnvelope(data);
    const auto kind = static_cast<std::size_t>(envelope->body_type());
    if (kind == 0 || kind > kindTable.size() || envelope->body() == nullptr) {
        return badFrame("unknown or missing body");
    }
    WireReader reader(bytes.size());
    PeerMessage message{.m_configVersion = envelope->config_version(),
                        .m_correlation = envelope->correlation(),
                        .m_body = kindTable[kind - 1].m_decode(reader, envelope->body())};
    if (!reader.fault().empty()) {
        return badFrame(reader.fault());
    }
    return message;
}
}

auto encodeFrame(const PeerMessage &message) -> std::string
{
    const std::size_t kind = message.m_body.index();
    constexpr std::size_t initialBytes = 256;
    Builder builder(initialBytes);
    const auto body = kindTable[kind].m_encode(builder, message.m_body);
    builder.Finish(Wire::CreateEnvelope(builder, message.m_configVersion, message.m_correlation, static_cast<Wire::Body>(kind + 1), body));
    const std::size_t size = builder.GetSize();
    std::string frame;
    frame.reserve(size + lengthBytes);
    for (unsigned i = 0; i < lengthBytes; ++i) {
        frame += static_cast<char>((size >> (bitsPerByte * i)) & 0xFFU);
    }
    frame.append(reinterpret_cast<const char *>(builder.GetBufferPointer()), size);
    return frame;
}

auto decodeEnvelope(std::span<const std::byte> envelope) -> Result<PeerMessage>
{
    if (envelope.empty() || envelope.size() >= FLATBUFFERS_MAX_BUFFER_SIZE) {
        return badFrame("the length is out of range");
    }
    if (reinterpret_cast<std::uintptr_t>(envelope.data()) % alignof(std::uint64_t) == 0) {
        return decodeAligned(envelope);
    }
    // FlatBuffers reads scalars in place, and an unaligned read is undefined behaviour.
    std::vector<std::uint64_t> aligned((envelope.size() + sizeof(std::uint64_t) - 1) / sizeof(std::uint64_t));
    std::memcpy(aligned.data(), envelope.data(), envelope.size());
    return decodeAligned(std::as_bytes(std::span(aligned)).first(envelope.size()));
}
}

#include "burdockspur/shard/jobbatchcodec.hpp"

#include "burdockspur/impl/messages_generated.h"

namespace Burdockspur
{
namespace
{
using Builder = flatbuffers::FlatBufferBuilder;

// A snapshot holds every job of a shard, which is more tables than the verifier accepts by default.
constexpr flatbuffers::uoffset_t maxTables = 10'000'000;
constexpr flatbuffers::uoffset_t maxDepth = 16;
constexpr std::size_t firstBuffer = 4'096;

[[nodiscard]] auto encodeSpec(Builder &builder, const JobSpec &spec) -> flatbuffers::Offset<Wire::JobSpec>
{
    return Wire::CreateJobSpec(builder,
                               static_cast<Wire::JobKind>(spec.m_kind),
                               builder.CreateString(spec.m_caller),
                               builder.CreateString(spec.m_class),
                               builder.CreateString(spec.m_team),
                               spec.m_demand.m_cpuMillis,
                               spec.m_demand.m_memoryMb,
                               spec.m_demand.m_accelerators,
                               spec.m_durationMs,
                               spec.m_urgent,
                               builder.CreateString(spec.m_payload));
}

[[nodiscard]] auto encodeJob(Builder &builder, const Job &job) -> flatbuffers::Offset<Wire::Job>
{
    return Wire::CreateJob(builder,
                           builder.CreateString(job.m_id),
                           encodeSpec(builder, job.m_spec),
                           static_cast<Wire::JobState>(job.m_state),
                           job.m_attempt,
                           builder.CreateString(job.m_worker),
                           builder.CreateString(job.m_checkpoint),
                           builder.CreateString(job.m_result),
                           builder.CreateString(job.m_reason));
}

[[nodiscard]] auto textOf(const flatbuffers::String *text) -> std::string
{
    return text == nullptr ? std::string() : text->str();
}

[[nodiscard]] auto decodeSpec(const Wire::JobSpec *wire) -> JobSpec
{
    JobSpec spec;
    if (wire != nullptr) {
        spec.m_kind = static_cast<JobKind>(wire->kind());
        spec.m_caller = textOf(wire->caller());
        spec.m_class = textOf(wire->job_class());
        spec.m_team = textOf(wire->team());
        spec.m_demand = {.m_cpuMillis = wire->cpu_millis(), .m_memoryMb = wire->memory_mb(), .m_accelerators = wire->accelerators()};
        spec.m_durationMs = wire->duration_ms();
        spec.m_urgent = wire->urgent();
        spec.m_payload = textOf(wire->payload());
    }
    return spec;
}

[[nodiscard]] auto decodeRecord(const Wire::Job &job, const Wire::JobProgress &progress) -> JobRecord
{
    JobRecord record;
    record.m_job.m_id = textOf(job.id());
    record.m_job.m_spec = decodeSpec(job.spec());
    record.m_job.m_state = static_cast<JobState>(job.state());
    record.m_job.m_attempt = job.attempt();
    record.m_job.m_worker = textOf(job.worker());
    record.m_job.m_checkpoint = textOf(job.checkpoint());
    record.m_job.m_result = textOf(job.result());
    record.m_job.m_reason = textOf(job.reason());
    record.m_submission = progress.submission();
    record.m_failures = progress.failures();
    record.m_cancelRequested = progress.cancel_requested();
    record.m_reserved = {
        .m_cpuMillis = progress.reserved_cpu_millis(), .m_memoryMb = progress.reserved_memory_mb(), .m_accelerators = progress.reserved_accelerators()};
    return record;
}

[[nodiscard]] auto isKnown(const Wire::Job &job) noexcept -> bool
{
    const bool kind = job.spec() == nullptr || job.spec()->kind() <= Wire::JobKind::Watcher;
    return kind && job.state() <= Wire::JobState::Unschedulable && job.id() != nullptr;
}
}

auto encodeJobBatch(std::string_view operation, std::span<const JobRecord> records) -> std::string
{
    Builder builder(firstBuffer);
    std::vector<flatbuffers::Offset<Wire::Job>> jobs;
    std::vector<flatbuffers::Offset<Wire::JobProgress>> progress;
    for (const auto &record : records) {
        jobs.push_back(encodeJob(builder, record.m_job));
        progress.push_back(Wire::CreateJobProgress(builder,
                                                   record.m_submission,
                                                   record.m_failures,
                                                   record.m_cancelRequested,
                                                   record.m_reserved.m_cpuMillis,
                                                   record.m_reserved.m_memoryMb,
                                                   record.m_reserved.m_accelerators));
    }
    const auto name = builder.CreateString(operation.data(), operation.size());
    builder.Finish(Wire::CreateJobBatch(builder, name, builder.CreateVector(jobs), builder.CreateVector(progress)));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

auto decodeJobBatch(std::string_view bytes) -> Result<JobBatch>
{
    const auto *const data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size(), maxDepth, maxTables);
    if (!verifier.VerifyBuffer<Wire::JobBatch>(nullptr)) {
        return failure(ErrorCode::AnswerCorrupt, "a job batch fails its verification");
    }
    const auto *const wire = flatbuffers::GetRoot<Wire::JobBatch>(data);
    JobBatch batch;
    batch.m_operation = textOf(wire->operation());
    const std::size_t count = wire->jobs() == nullptr ? 0 : wire->jobs()->size();
    if (count != (wire->progress() == nullptr ? 0 : wire->progress()->size())) {
        return failure(ErrorCode::AnswerCorrupt, "a job batch has jobs without progress");
    }
    for (flatbuffers::uoffset_t i = 0; i < count; ++i) {
        const Wire::Job &job = *wire->jobs()->Get(i);
        if (!isKnown(job)) {
            return failure(ErrorCode::AnswerCorrupt, "a job batch has an unknown state or kind");
        }
        batch.m_records.push_back(decodeRecord(job, *wire->progress()->Get(i)));
    }
    return batch;
}
}

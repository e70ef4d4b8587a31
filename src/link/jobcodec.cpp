#include "burdockspur/impl/jobcodec.hpp"

namespace Burdockspur
{
namespace
{
/// Least size of a text in a buffer besides its characters: length and terminator.
constexpr std::size_t textOverhead = 5;

/// Least size of a table in a buffer: the offset that refers to it and the one to its field list.
constexpr std::size_t tableOverhead = 8;

static_assert(static_cast<int>(JobKind::Watcher) == static_cast<int>(Wire::JobKind::MAX));
static_assert(static_cast<int>(JobState::Unschedulable) == static_cast<int>(Wire::JobState::MAX));
}

auto encodeText(flatbuffers::FlatBufferBuilder &builder, std::string_view text) -> flatbuffers::Offset<flatbuffers::String>
{
    return text.empty() ? flatbuffers::Offset<flatbuffers::String>() : builder.CreateString(text.data(), text.size());
}

auto encodeJobSpec(flatbuffers::FlatBufferBuilder &builder, const JobSpec &spec) -> flatbuffers::Offset<Wire::JobSpec>
{
    const auto caller = encodeText(builder, spec.m_caller);
    const auto jobClass = encodeText(builder, spec.m_class);
    const auto team = encodeText(builder, spec.m_team);
    const auto payload = encodeText(builder, spec.m_payload);
    return Wire::CreateJobSpec(builder,
                               static_cast<Wire::JobKind>(spec.m_kind),
                               caller,
                               jobClass,
                               team,
                               spec.m_demand.m_cpuMillis,
                               spec.m_demand.m_memoryMb,
                               spec.m_demand.m_accelerators,
                               spec.m_durationMs,
                               spec.m_urgent,
                               payload);
}

auto encodeJob(flatbuffers::FlatBufferBuilder &builder, const Job &job) -> flatbuffers::Offset<Wire::Job>
{
    const auto id = encodeText(builder, job.m_id);
    const auto spec = encodeJobSpec(builder, job.m_spec);
    const auto worker = encodeText(builder, job.m_worker);
    const auto checkpoint = encodeText(builder, job.m_checkpoint);
    const auto result = encodeText(builder, job.m_result);
    const auto reason = encodeText(builder, job.m_reason);
    return Wire::CreateJob(builder, id, spec, static_cast<Wire::JobState>(job.m_state), job.m_attempt, worker, checkpoint, result, reason);
}

auto WireReader::text(const flatbuffers::String *text) -> std::string
{
    if (text == nullptr || !charge(text->size() + textOverhead)) {
        return {};
    }
    return text->str();
}

auto WireReader::jobSpec(const Wire::JobSpec *spec) -> JobSpec
{
    JobSpec read;
    if (!enterTable(spec)) {
        return read;
    }
    if (spec->kind() > Wire::JobKind::MAX) {
        note("unknown job kind");
        return read;
    }
    read.m_kind = static_cast<JobKind>(spec->kind());
    read.m_caller = text(spec->caller());
    read.m_class = text(spec->job_class());
    read.m_team = text(spec->team());
    read.m_demand = {.m_cpuMillis = spec->cpu_millis(), .m_memoryMb = spec->memory_mb(), .m_accelerators = spec->accelerators()};
    read.m_durationMs = spec->duration_ms();
    read.m_urgent = spec->urgent();
    read.m_payload = text(spec->payload());
    return read;
}

auto WireReader::job(const Wire::Job *job) -> Job
{
    Job read;
    if (!enterTable(job)) {
        return read;
    }
    if (job->state() > Wire::JobState::MAX) {
        note("unknown job state");
        return read;
    }
    read.m_id = text(job->id());
    read.m_spec = jobSpec(job->spec());
    read.m_state = static_cast<JobState>(job->state());
    read.m_attempt = job->attempt();
    read.m_worker = text(job->worker());
    read.m_checkpoint = text(job->checkpoint());
    read.m_result = text(job->result());
    read.m_reason = text(job->reason());
    return read;
}

auto WireReader::enterTable(const void *table) noexcept -> bool
{
    if (table == nullptr) {
        note("a table is missing");
        return false;
    }
    return charge(tableOverhead);
}

auto WireReader::charge(std::size_t bytes) noexcept -> bool
{
    if (bytes > m_budget) {
        m_budget = 0;
        note("values overlap");
        return false;
    }
    m_budget -= bytes;
    return true;
}

auto WireReader::note(std::string_view fault) noexcept -> void
{
    if (m_fault.empty()) {
        m_fault = fault;
    }
}
}

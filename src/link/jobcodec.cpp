#include "burdockspur/impl/jobcodec.hpp"

namespace Burdockspur
{
namespace
{
/// Minimum bytes that a text takes in a buffer besides its characters: length and terminator.
constexpr std::size_t textOverhead = 5;

/// Minimum bytes that a table takes in a buffer: the offset to the table and its offset to the vtable.
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

auto WireReader::readText(const flatbuffers::String *text) -> std::string
{
    if (text == nullptr || !consumeBudget(text->size() + textOverhead)) {
        return {};
    }
    return text->str();
}

auto WireReader::readJobSpec(const Wire::JobSpec *spec) -> JobSpec
{
    JobSpec read;
    if (!countTable(spec)) {
        return read;
    }
    if (spec->kind() > Wire::JobKind::MAX) {
        recordFault("unknown job kind");
        return read;
    }
    read.m_kind = static_cast<JobKind>(spec->kind());
    read.m_caller = readText(spec->caller());
    read.m_class = readText(spec->job_class());
    read.m_team = readText(spec->team());
    read.m_demand = {.m_cpuMillis = spec->cpu_millis(), .m_memoryMb = spec->memory_mb(), .m_accelerators = spec->accelerators()};
    read.m_durationMs = spec->duration_ms();
    read.m_urgent = spec->urgent();
    read.m_payload = readText(spec->payload());
    return read;
}

auto WireReader::readJob(const Wire::Job *job) -> Job
{
    Job read;
    if (!countTable(job)) {
        return read;
    }
    if (job->state() > Wire::JobState::MAX) {
        recordFault("unknown job state");
        return read;
    }
    read.m_id = readText(job->id());
    read.m_spec = readJobSpec(job->spec());
    read.m_state = static_cast<JobState>(job->state());
    read.m_attempt = job->attempt();
    read.m_worker = readText(job->worker());
    read.m_checkpoint = readText(job->checkpoint());
    read.m_result = readText(job->result());
    read.m_reason = readText(job->reason());
    return read;
}

auto WireReader::countTable(const void *table) noexcept -> bool
{
    if (table == nullptr) {
        recordFault("a table is missing");
        return false;
    }
    return consumeBudget(tableOverhead);
}

auto WireReader::consumeBudget(std::size_t bytes) noexcept -> bool
{
    if (bytes > m_budget) {
        m_budget = 0;
        recordFault("values overlap");
        return false;
    }
    m_budget -= bytes;
    return true;
}

auto WireReader::recordFault(std::string_view fault) noexcept -> void
{
    if (m_fault.empty()) {
        m_fault = fault;
    }
}
}

#pragma once

#include "burdockspur/contract/job.hpp"
#include "burdockspur/impl/messages_generated.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace Burdockspur
{
/// @brief Adds a text to a buffer; an empty text is omitted.
[[nodiscard]] auto encodeText(flatbuffers::FlatBufferBuilder &builder, std::string_view text) -> flatbuffers::Offset<flatbuffers::String>;

/// @brief Adds a job's specification to a buffer, for frames, journal rows and snapshots.
[[nodiscard]] auto encodeJobSpec(flatbuffers::FlatBufferBuilder &builder, const JobSpec &spec) -> flatbuffers::Offset<Wire::JobSpec>;

/// @brief Adds a job to a buffer, for frames, journal rows and snapshots.
[[nodiscard]] auto encodeJob(flatbuffers::FlatBufferBuilder &builder, const Job &job) -> flatbuffers::Offset<Wire::Job>;

/// @brief Reads values from a buffer that the FlatBuffers verifier has accepted.
///
/// A verified buffer may still contain unknown enum values, lack a table, or refer to one text many times;
/// the copies would then need far more memory than the buffer. The reader records the first such fault.
///
/// @code
/// WireReader reader(buffer.size());
/// Job job = reader.readJob(batch->jobs()->Get(0));
/// if (reader.fault().empty()) { use(job); }
/// @endcode
class WireReader
{
public:
    /// @param bufferBytes size of the buffer; the values read from it can only be larger if they overlap
    explicit WireReader(std::size_t bufferBytes) noexcept
        : m_budget(bufferBytes)
    {
    }

    [[nodiscard]] auto readText(const flatbuffers::String *text) -> std::string;
    [[nodiscard]] auto readJobSpec(const Wire::JobSpec *spec) -> JobSpec;
    [[nodiscard]] auto readJob(const Wire::Job *job) -> Job;

    /// @brief Counts a table against the size of the buffer; to be called before its fields are read.
    /// @returns false when the table is missing or the values read so far exceed the buffer
    auto countTable(const void *table) noexcept -> bool;

    /// @brief First fault, e.g. `unknown job state`, or an empty view.
    [[nodiscard]] auto fault() const noexcept -> std::string_view
    {
        return m_fault;
    }

private:
    auto consumeBudget(std::size_t bytes) noexcept -> bool;
    auto recordFault(std::string_view fault) noexcept -> void;

    std::size_t m_budget; ///< bytes that may still be read
    std::string_view m_fault;
};
}

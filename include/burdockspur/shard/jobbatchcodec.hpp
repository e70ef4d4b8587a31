#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/shard/jobrecord.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief Content of a journal row or of a snapshot object.
struct JobBatch {
    std::string m_operation; ///< operation id of the write
    std::vector<JobRecord> m_records;
};

/// @brief Encodes records as a FlatBuffers JobBatch.
[[nodiscard]] auto encodeJobBatch(std::string_view operation, std::span<const JobRecord> records) -> std::string;

/// @brief Decodes a JobBatch; the bytes are verified first.
/// @returns the batch, or ErrorCode::AnswerCorrupt
[[nodiscard]] auto decodeJobBatch(std::string_view bytes) -> Result<JobBatch>;
}

#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/shard/jobrecord.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief Job records in a journal row or snapshot object.
struct JobBatch {
    std::string m_operation; ///< operation id of the journal write, or name of the snapshot object
    std::vector<JobRecord> m_records;
};

/// @brief Encodes records as a FlatBuffers table JobBatch.
[[nodiscard]] auto encodeJobBatch(std::string_view operation, std::span<const JobRecord> records) -> std::string;

/// @brief Verifies the bytes and decodes them.
/// @returns the batch, or ErrorCode::AnswerCorrupt when the bytes are no valid JobBatch
[[nodiscard]] auto decodeJobBatch(std::string_view bytes) -> Result<JobBatch>;
}

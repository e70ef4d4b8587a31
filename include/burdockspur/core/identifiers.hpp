#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Burdockspur
{
/// @brief Number of a shard, from 0 to the configured count less one.
using ShardId = std::uint32_t;

/// @brief Fencing token of a shard's owner; grows with each change of owner.
using Epoch = std::uint64_t;

/// @brief Number of an attempt of a job, from 1.
using AttemptNumber = std::uint32_t;

/// @brief Version of the configuration row; 0 before one was read.
using ConfigVersion = std::uint64_t;

/// @brief 64-bit xxHash of a text.
/// @param text any bytes
/// @param seed distinguishes independent uses of the same text
/// @returns the hash, the same on every host
[[nodiscard]] auto hashOf(std::string_view text, std::uint64_t seed = 0) noexcept -> std::uint64_t;

/// @brief Hash as 16 lower-case hex digits.
/// @param value any number
/// @returns 16 digits
[[nodiscard]] auto hexOf(std::uint64_t value) -> std::string;

/// @brief Id of the job that a caller submits under an idempotency key.
/// @param caller name of the caller
/// @param key idempotency key
/// @returns `j` and 32 hex digits; the same for the same pair
[[nodiscard]] auto jobIdOf(std::string_view caller, std::string_view key) -> std::string;

/// @brief Shard of a job or worker.
/// @param name job id or worker name
/// @param shards number of shards, at least 1
/// @returns the shard, a pure function of both
[[nodiscard]] auto shardOf(std::string_view name, std::uint32_t shards) noexcept -> ShardId;
}

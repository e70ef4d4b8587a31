#pragma once

#include "burdockspur/core/error.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace Burdockspur
{
struct PeerMessage;

/// @brief Encodes a message as a frame: 4-byte little-endian length and a FlatBuffers Envelope.
/// @param message any message
/// @returns the bytes to send
[[nodiscard]] auto encodeFrame(const PeerMessage &message) -> std::string;

/// @brief Decodes the Envelope of a frame, without its length.
/// @param envelope bytes from the network; verified first
/// @returns the message, or ErrorCode::BadFrame
[[nodiscard]] auto decodeEnvelope(std::span<const std::byte> envelope) -> Result<PeerMessage>;
}

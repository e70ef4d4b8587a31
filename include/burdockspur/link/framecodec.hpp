#pragma once

#include "burdockspur/core/error.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace Burdockspur
{
struct PeerMessage;

/// @brief Encodes a message as a frame: a 4-byte little-endian length, then a FlatBuffers Envelope of that length.
/// @param message any message
/// @returns the bytes to send
[[nodiscard]] auto encodeFrame(const PeerMessage &message) -> std::string;

/// @brief Verifies and decodes the Envelope of a frame.
/// @param envelope untrusted bytes from the network, without the length prefix
/// @returns the message, or ErrorCode::BadFrame
[[nodiscard]] auto decodeEnvelope(std::span<const std::byte> envelope) -> Result<PeerMessage>;
}

#pragma once

#include "burdockspur/contract/peerquery.hpp"
#include "burdockspur/link/httpclient.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace Burdockspur
{
/// @brief Body of `POST /v1/requests/<id>/settle` between entry daemons.
[[nodiscard]] auto encodePeerQuery(std::uint64_t generation) -> std::string;

/// @brief Decodes that body.
/// @returns the generation, or BadRequest
[[nodiscard]] auto decodePeerQuery(std::string_view body) -> Result<std::uint64_t>;

/// @brief Response to that call.
[[nodiscard]] auto encodePeerReply(const PeerReply &reply) -> HttpResponse;

/// @brief Decodes the response; gives NoReply for an invalid one.
[[nodiscard]] auto decodePeerReply(const HttpReply &reply) -> PeerReply;
}

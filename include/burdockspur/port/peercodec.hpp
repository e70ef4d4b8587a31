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

/// @brief Decodes the body that encodePeerQuery() returns.
/// @returns the generation, or BadRequest
[[nodiscard]] auto decodePeerQuery(std::string_view body) -> Result<std::uint64_t>;

/// @brief Response to `POST /v1/requests/<id>/settle` between entry daemons.
[[nodiscard]] auto encodePeerReply(const PeerReply &reply) -> HttpResponse;

/// @brief Decodes the response that encodePeerReply() returns; an invalid response gives NoReply.
[[nodiscard]] auto decodePeerReply(const HttpReply &reply) -> PeerReply;
}

#pragma once

#include "burdockspur/platform/hostlist.hpp"
#include "burdockspur/platform/serviceport.hpp"

#include <string_view>

namespace Burdockspur
{
/// @brief HostList over the platform's HTTP protocol.
///
/// A listing with a malformed record is an error as a whole: half a listing would look like hosts that left.
class HttpHostList final : public HostList
{
public:
    /// @param client lives in the same thread and outlives the list
    /// @param endpoint of the platform
    /// @param timeout of each call
    HttpHostList(HttpClient &client, HttpEndpoint endpoint, Duration timeout);

    auto fetch(ListingCallback callback) -> void override;

private:
    ServicePort m_port;
};

/// @brief Decodes the answer to `GET /v1/hosts`.
/// @param body JSON text
/// @returns the listing, or ErrorCode::AnswerCorrupt that names every wrong member
[[nodiscard]] auto decodeHostListing(std::string_view body) -> Result<HostListing>;
}

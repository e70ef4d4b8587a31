#pragma once

#include "burdockspur/port/hostlist.hpp"
#include "burdockspur/port/serviceport.hpp"

#include <string>
#include <string_view>

namespace Burdockspur
{
/// @brief HostList over the platform's HTTP protocol.
///
/// One malformed record invalidates the whole listing, because a partial listing would make hosts appear to have left.
/// The list of 1,000 workers exceeds 200 KB; reading it each second would use 30 times a daemon's traffic budget.
/// Each read therefore sends the entity tag of the last listing, and a platform that supports If-None-Match
/// answers 304 while the list is unchanged.
class HttpHostList final : public HostList
{
public:
    /// @param client must live in the same thread and outlive the list
    /// @param endpoint address of the platform
    /// @param timeout longest duration of each call
    HttpHostList(HttpClient &client, HttpEndpoint endpoint, Duration timeout);

    auto fetch(ListingCallback callback) -> void override;

private:
    [[nodiscard]] auto handleReply(const HttpReply &reply) -> Result<HostListing>;

    ServicePort m_port;
    std::string m_entityTag; ///< entity tag of m_last; empty when the platform sent none
    HostListing m_last;
};

/// @brief Decodes the answer to `GET /v1/hosts`.
/// @param body JSON text
/// @returns the listing, or ErrorCode::AnswerCorrupt with a message that names every invalid member
[[nodiscard]] auto decodeHostListing(std::string_view body) -> Result<HostListing>;
}

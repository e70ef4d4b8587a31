#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/link/httpmessage.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace Burdockspur
{
/// @brief Parses the requests of one connection, one after the other.
///
/// Keeps Boost.Beast, which compiles slowly, out of the other sources.
class RequestParser
{
public:
    /// @param maxHeaderBytes over the request line and all fields of one request
    /// @param maxBodyBytes after decoding of chunks
    RequestParser(std::uint32_t maxHeaderBytes, std::uint64_t maxBodyBytes);
    ~RequestParser();
    RequestParser(const RequestParser &) = delete;
    RequestParser(RequestParser &&) = delete;
    auto operator=(const RequestParser &) -> RequestParser & = delete;
    auto operator=(RequestParser &&) -> RequestParser & = delete;

    /// @brief Parses received bytes.
    /// @param input bytes that no earlier call consumed, and the ones received since
    /// @returns number of bytes consumed; ErrorCode::BadRequest, HeaderTooLarge or BodyTooLarge
    [[nodiscard]] auto feed(std::string_view input) -> Result<std::size_t>;

    /// @brief True when bytes of an incomplete request were consumed.
    [[nodiscard]] auto isStarted() const noexcept -> bool;

    [[nodiscard]] auto isComplete() const noexcept -> bool;

    /// @brief True when the header is complete, the body is not, and the caller waits for 100 Continue.
    [[nodiscard]] auto expectsContinue() const -> bool;

    /// @brief True when the caller accepts further responses on the connection; only once complete.
    [[nodiscard]] auto keepsAlive() const -> bool;

    /// @brief True for a request of HTTP/1.0; only once complete.
    [[nodiscard]] auto isVersion10() const -> bool;

    /// @brief Takes the complete request; the next bytes start another.
    [[nodiscard]] auto take() -> HttpRequest;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};
}

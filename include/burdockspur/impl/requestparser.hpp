#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/link/httpmessage.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace Burdockspur
{
/// @brief Parses the HTTP requests of one connection, one after another.
///
/// Hides Boost.Beast, which compiles slowly, from the other sources.
class RequestParser
{
public:
    /// @param maxHeaderBytes limit for the request line and all fields of one request
    /// @param maxBodyBytes limit for the body of one request, after decoding of chunks
    RequestParser(std::uint32_t maxHeaderBytes, std::uint64_t maxBodyBytes);
    ~RequestParser();
    RequestParser(const RequestParser &) = delete;
    RequestParser(RequestParser &&) = delete;
    auto operator=(const RequestParser &) -> RequestParser & = delete;
    auto operator=(RequestParser &&) -> RequestParser & = delete;

    /// @brief Parses received bytes.
    /// @param input bytes not consumed by earlier calls, followed by those received since
    /// @returns number of bytes consumed; ErrorCode::BadRequest, HeaderTooLarge or BodyTooLarge
    [[nodiscard]] auto feed(std::string_view input) -> Result<std::size_t>;

    /// @brief True when bytes of the current request were consumed.
    [[nodiscard]] auto isStarted() const noexcept -> bool;

    [[nodiscard]] auto isComplete() const noexcept -> bool;

    /// @brief True when the header is complete, the body is not, and the header has `Expect: 100-continue`.
    [[nodiscard]] auto expectsContinue() const -> bool;

    /// @brief True when the connection stays open after the response; valid once the request is complete.
    [[nodiscard]] auto keepsAlive() const -> bool;

    /// @brief True for an HTTP/1.0 request; valid once the request is complete.
    [[nodiscard]] auto isVersion10() const -> bool;

    /// @brief Returns the complete request; the parser is then ready for the next one.
    [[nodiscard]] auto take() -> HttpRequest;

    /// @brief Drops the current request and what is allocated for it.
    auto discard() -> void;

    /// @brief Bytes allocated for the current request; fields are estimated.
    [[nodiscard]] auto heldBytes() const noexcept -> std::size_t;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};
}

#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/link/httpmessage.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace Burdockspur
{
/// @brief Parses the HTTP responses of one connection, one after another; interim responses are skipped.
///
/// A response without Content-Length or chunked encoding is an error, because its end cannot be distinguished
/// from a broken connection.
class ResponseParser
{
public:
    explicit ResponseParser(std::uint64_t maxBodyBytes);
    ~ResponseParser();
    ResponseParser(const ResponseParser &) = delete;
    ResponseParser(ResponseParser &&) = delete;
    auto operator=(const ResponseParser &) -> ResponseParser & = delete;
    auto operator=(ResponseParser &&) -> ResponseParser & = delete;

    /// @brief Prepares for the response to another request.
    /// @param isHead true for the response to a HEAD request, which has no body whatever its header says
    auto restart(bool isHead) -> void;

    /// @brief Parses received bytes.
    /// @param input bytes not consumed by earlier calls, followed by those received since
    /// @returns number of bytes consumed, or ErrorCode::AnswerCorrupt
    [[nodiscard]] auto feed(std::string_view input) -> Result<std::size_t>;

    [[nodiscard]] auto isComplete() const noexcept -> bool;

    /// @brief True when the connection stays open after the response; valid once the response is complete.
    [[nodiscard]] auto keepsAlive() const -> bool;

    /// @brief Returns the complete response.
    [[nodiscard]] auto take() -> HttpResponse;

    /// @brief Bytes allocated for the current response; fields are estimated.
    [[nodiscard]] auto heldBytes() const noexcept -> std::size_t;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};
}

#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/link/httpmessage.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace Burdockspur
{
/// @brief Parses the responses of one connection, one after the other; interim responses are skipped.
///
/// A response without Content-Length or chunks is an error, because its end cannot be told from a
/// connection that broke.
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
    /// @param isHead the response has no body, whatever its header says
    auto restart(bool isHead) -> void;

    /// @brief Parses received bytes.
    /// @param input bytes that no earlier call consumed, and the ones received since
    /// @returns number of bytes consumed, or ErrorCode::AnswerCorrupt
    [[nodiscard]] auto feed(std::string_view input) -> Result<std::size_t>;

    [[nodiscard]] auto isComplete() const noexcept -> bool;

    /// @brief True when the server accepts further requests on the connection; only once complete.
    [[nodiscard]] auto keepsAlive() const -> bool;

    /// @brief Takes the complete response.
    [[nodiscard]] auto take() -> HttpResponse;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};
}

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief One header field of an HTTP message.
struct HttpField {
    std::string m_name;
    std::string m_value;
};

/// @brief An HTTP request, decoded.
struct HttpRequest {
    std::string m_method;
    std::string m_target; ///< path and query as sent
    std::vector<HttpField> m_fields;
    std::string m_body;

    /// @brief Value of a header, or an empty view.
    /// @param name compared without case
    [[nodiscard]] auto field(std::string_view name) const noexcept -> std::string_view;

    /// @brief The target up to the query.
    [[nodiscard]] auto path() const noexcept -> std::string_view;

    /// @brief Percent-decoded value of a query parameter, or an empty string.
    [[nodiscard]] auto query(std::string_view name) const -> std::string;
};

/// @brief An HTTP response, decoded.
struct HttpResponse {
    int m_status = 200;
    std::vector<HttpField> m_fields;
    std::string m_body;

    /// @brief Value of a header, or an empty view.
    /// @param name compared without case
    [[nodiscard]] auto field(std::string_view name) const noexcept -> std::string_view;
};

/// @brief A response with a JSON body.
/// @param status HTTP status
/// @param body JSON text
[[nodiscard]] auto jsonResponse(int status, std::string body) -> HttpResponse;

/// @brief Decodes percent escapes.
[[nodiscard]] auto percentDecoded(std::string_view text) -> std::string;

/// @brief Encodes everything but unreserved characters.
[[nodiscard]] auto percentEncoded(std::string_view text) -> std::string;
}

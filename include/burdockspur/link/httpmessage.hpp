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

/// @brief A decoded HTTP request.
struct HttpRequest {
    std::string m_method;
    std::string m_target; ///< path and query, still percent-encoded
    std::vector<HttpField> m_fields;
    std::string m_body;

    /// @brief Value of the first field with a name, or an empty view if there is none.
    /// @param name compared case-insensitively
    [[nodiscard]] auto field(std::string_view name) const noexcept -> std::string_view;

    /// @brief Path of the target, without the query.
    [[nodiscard]] auto path() const noexcept -> std::string_view;

    /// @brief Percent-decoded value of a query parameter, or an empty string if there is none.
    [[nodiscard]] auto query(std::string_view name) const -> std::string;
};

/// @brief A decoded HTTP response.
struct HttpResponse {
    int m_status = 200;
    std::vector<HttpField> m_fields;
    std::string m_body;

    /// @brief Value of the first field with a name, or an empty view if there is none.
    /// @param name compared case-insensitively
    [[nodiscard]] auto field(std::string_view name) const noexcept -> std::string_view;
};

/// @brief Creates a response with a JSON body.
/// @param status HTTP status
/// @param body JSON text
[[nodiscard]] auto jsonResponse(int status, std::string body) -> HttpResponse;

/// @brief Decodes percent escapes; malformed escapes are copied unchanged.
[[nodiscard]] auto percentDecoded(std::string_view text) -> std::string;

/// @brief Percent-encodes every byte except the unreserved characters of RFC 3986.
[[nodiscard]] auto percentEncoded(std::string_view text) -> std::string;
}

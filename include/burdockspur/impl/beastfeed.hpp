#pragma once

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <string_view>

namespace Burdockspur
{
/// @brief Passes received bytes to a Boost.Beast parser.
///
/// Header and body are parsed in separate calls: in eager mode, Beast 1.74 ignores an error of the header and
/// parses the body, so that a Content-Length above the limit is accepted when body bytes follow in the same input.
/// @param parser a parser whose message is incomplete
/// @param input bytes not consumed by earlier calls, followed by those received since
/// @param error set to any error except need_more, which is cleared
/// @returns number of bytes consumed
template<typename Parser>
[[nodiscard]] auto feedParser(Parser &parser, std::string_view input, boost::system::error_code &error) -> std::size_t
{
    namespace http = boost::beast::http;
    const auto put = [&](std::string_view bytes) -> std::size_t {
        const std::size_t consumed = bytes.empty() ? 0 : parser.put(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
        if (error == http::error::need_more) {
            error = {};
        }
        return consumed;
    };
    std::size_t consumed = 0;
    if (!parser.is_header_done()) {
        parser.eager(false);
        consumed = put(input);
        if (error || !parser.is_header_done()) {
            return consumed;
        }
        parser.eager(true);
    }
    return parser.is_done() ? consumed : consumed + put(input.substr(consumed));
}
}

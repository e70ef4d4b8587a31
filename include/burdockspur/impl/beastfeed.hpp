#pragma once

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <string_view>

namespace Burdockspur
{
/// @brief Feeds received bytes to a parser of Boost.Beast.
///
/// Header and body are fed apart: in its eager mode, Beast 1.74 goes on with the body without looking at an
/// error of the header, so that a Content-Length beyond the limit is accepted when body bytes follow at once.
/// @param parser not complete
/// @param input bytes that no earlier call consumed, and the ones received since
/// @param error set to an error other than need_more
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

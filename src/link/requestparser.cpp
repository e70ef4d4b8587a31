#include "burdockspur/impl/requestparser.hpp"

#include "burdockspur/impl/beastfeed.hpp"
#include "burdockspur/impl/httptext.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <limits>
#include <optional>

namespace Burdockspur
{
namespace
{
namespace http = boost::beast::http;
using BeastParser = http::request_parser<http::string_body>;

/// Allocated by Beast for each header field, beside its text.
constexpr std::size_t fieldBytes = 96;

[[nodiscard]] auto toError(const boost::system::error_code &error) -> std::unexpected<Error>
{
    if (error == http::error::body_limit) {
        return failure(ErrorCode::BodyTooLarge, "the body is larger than the limit");
    }
    if (error == http::error::header_limit) {
        return failure(ErrorCode::HeaderTooLarge, "the header is larger than the limit");
    }
    return failure(ErrorCode::BadRequest, "not a valid HTTP request: " + error.message());
}
}

class RequestParser::Private
{
public:
    Private(std::uint32_t maxHeaderBytes, std::uint64_t maxBodyBytes)
        : m_maxHeaderBytes(maxHeaderBytes)
        , m_maxBodyBytes(maxBodyBytes)
    {
        restart();
    }

    auto restart() -> void
    {
        m_parser.emplace();
        m_parser->header_limit(m_maxHeaderBytes);
        m_parser->body_limit(m_maxBodyBytes);
        m_headerBytes = 0;
        m_fieldBytes = 0;
    }

    [[nodiscard]] auto feed(std::string_view input) -> Result<std::size_t>
    {
        std::size_t skipped = 0;
        if (m_headerBytes == 0) {
            // RFC 9112, 2.2: empty lines before a request are ignored.
            skipped = std::min(input.find_first_not_of("\r\n"), input.size());
            input.remove_prefix(skipped);
            if (input.empty()) {
                return skipped;
            }
        }
        const bool inHeader = !m_parser->is_header_done();
        boost::system::error_code error;
        const std::size_t consumed = feedParser(*m_parser, input, error);
        if (error) {
            return toError(error);
        }
        if (inHeader) {
            const auto header = input.substr(0, std::min(consumed, input.find("\r\n\r\n")));
            m_fieldBytes += header.size() + fieldBytes * static_cast<std::size_t>(std::ranges::count(header, '\n'));
        }
        if (inHeader && !m_parser->is_header_done()) {
            // Beast applies its limit to the input of each call only, so a header sent in pieces would be unbounded.
            m_headerBytes += consumed;
            if (m_headerBytes + (input.size() - consumed) > m_maxHeaderBytes) {
                return failure(ErrorCode::HeaderTooLarge, "the header is larger than the limit");
            }
        } else if (!m_parser->is_done() && input.size() - consumed > m_maxHeaderBytes) {
            // Beast consumes a chunk header or trailer only when it is complete, and does not limit its size.
            return failure(ErrorCode::HeaderTooLarge, "a chunk header is larger than the limit");
        } else if (inHeader && !hasKnownFraming()) {
            return failure(ErrorCode::BadRequest, "unknown transfer encoding");
        }
        m_headerBytes = std::max<std::size_t>(m_headerBytes, consumed > 0 ? 1 : 0);
        return skipped + consumed;
    }

    /// False for a transfer encoding other than `chunked`. Beast would parse such a request as one without a body, and
    /// the body as the next request.
    [[nodiscard]] auto hasKnownFraming() const -> bool
    {
        const auto &message = m_parser->get();
        return message.find(http::field::transfer_encoding) == message.end() || m_parser->chunked();
    }

    std::uint32_t m_maxHeaderBytes;
    std::uint64_t m_maxBodyBytes;
    std::size_t m_fieldBytes = 0; ///< estimate of what the fields take
    std::size_t m_headerBytes = 0; ///< consumed while the header was incomplete; above 0 once a request has started
    std::optional<BeastParser> m_parser;
};

RequestParser::RequestParser(std::uint32_t maxHeaderBytes, std::uint64_t maxBodyBytes)
    : m_d(std::make_unique<Private>(maxHeaderBytes, maxBodyBytes))
{
}

RequestParser::~RequestParser() = default;

auto RequestParser::feed(std::string_view input) -> Result<std::size_t>
{
    return m_d->feed(input);
}

auto RequestParser::isStarted() const noexcept -> bool
{
    return m_d->m_headerBytes > 0;
}

auto RequestParser::isComplete() const noexcept -> bool
{
    return m_d->m_parser->is_done();
}

auto RequestParser::expectsContinue() const -> bool
{
    if (!m_d->m_parser->is_header_done() || m_d->m_parser->is_done()) {
        return false;
    }
    const auto value = m_d->m_parser->get()[http::field::expect];
    return equalsIgnoringCase(std::string_view(value.data(), value.size()), "100-continue");
}

auto RequestParser::keepsAlive() const -> bool
{
    return m_d->m_parser->keep_alive();
}

auto RequestParser::isVersion10() const -> bool
{
    return m_d->m_parser->get().version() < 11;
}

auto RequestParser::take() -> HttpRequest
{
    auto &message = m_d->m_parser->get();
    HttpRequest request;
    request.m_method = std::string(message.method_string());
    request.m_target = std::string(message.target());
    for (const auto &field : message) {
        request.m_fields.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    request.m_body = std::move(message.body());
    m_d->restart();
    return request;
}

auto RequestParser::discard() -> void
{
    m_d->restart();
}

auto RequestParser::heldBytes() const noexcept -> std::size_t
{
    return m_d->m_fieldBytes + m_d->m_parser->get().body().capacity();
}
}

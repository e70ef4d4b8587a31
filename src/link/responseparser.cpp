#include "burdockspur/impl/responseparser.hpp"

#include "burdockspur/impl/beastfeed.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <optional>

namespace Burdockspur
{
namespace
{
namespace http = boost::beast::http;
using BeastParser = http::response_parser<http::string_body>;

/// Allocated by Beast for each header field, beside its text.
constexpr std::size_t fieldBytes = 96;

/// Limit for the status line and all fields of one response.
constexpr std::uint32_t maxHeaderBytes = 32 * 1024;

[[nodiscard]] auto isInterim(unsigned status) noexcept -> bool
{
    constexpr unsigned hundred = 100;
    constexpr unsigned switchingProtocols = 101;
    return status / hundred == 1 && status != switchingProtocols;
}
}

class ResponseParser::Private
{
public:
    explicit Private(std::uint64_t maxBodyBytes)
        : m_maxBodyBytes(maxBodyBytes)
    {
        restart();
    }

    auto restart() -> void
    {
        m_parser.emplace();
        m_parser->header_limit(maxHeaderBytes);
        m_parser->body_limit(m_maxBodyBytes);
        m_parser->skip(m_isHead);
        m_headerBytes = 0;
        m_fieldBytes = 0;
    }

    [[nodiscard]] auto feed(std::string_view input) -> Result<std::size_t>
    {
        std::size_t total = 0;
        while (total < input.size() && !m_parser->is_done()) {
            const auto consumed = feedMessage(input.substr(total));
            if (!consumed) {
                return consumed;
            }
            total += *consumed;
            if (!m_parser->is_done() || !isInterim(m_parser->get().result_int())) {
                break;
            }
            restart();
        }
        return total;
    }

    /// Parses bytes of one message, which may be an interim response.
    [[nodiscard]] auto feedMessage(std::string_view input) -> Result<std::size_t>
    {
        const bool inHeader = !m_parser->is_header_done();
        boost::system::error_code error;
        const std::size_t consumed = feedParser(*m_parser, input, error);
        if (error) {
            return failure(ErrorCode::AnswerCorrupt, "not a valid HTTP response: " + error.message());
        }
        if (inHeader) {
            const auto header = input.substr(0, std::min(consumed, input.find("\r\n\r\n")));
            m_fieldBytes += header.size() + fieldBytes * static_cast<std::size_t>(std::ranges::count(header, '\n'));
        }
        const std::size_t unconsumed = input.size() - consumed;
        if (!m_parser->is_header_done()) {
            // Beast applies its limit to the input of each call only, so a header sent in pieces would be unbounded.
            m_headerBytes += consumed;
        } else if (m_parser->need_eof()) {
            return failure(ErrorCode::AnswerCorrupt, "the response has no length");
        } else {
            m_headerBytes = 0;
        }
        if (!m_parser->is_done() && m_headerBytes + unconsumed > maxHeaderBytes) {
            return failure(ErrorCode::AnswerCorrupt, "the header is larger than the limit");
        }
        return consumed;
    }

    std::uint64_t m_maxBodyBytes;
    std::size_t m_fieldBytes = 0; ///< estimate of what the fields take
    std::size_t m_headerBytes = 0; ///< consumed while the header was incomplete
    bool m_isHead = false;
    std::optional<BeastParser> m_parser;
};

ResponseParser::ResponseParser(std::uint64_t maxBodyBytes)
    : m_d(std::make_unique<Private>(maxBodyBytes))
{
}

ResponseParser::~ResponseParser() = default;

auto ResponseParser::restart(bool isHead) -> void
{
    m_d->m_isHead = isHead;
    m_d->restart();
}

auto ResponseParser::feed(std::string_view input) -> Result<std::size_t>
{
    return m_d->feed(input);
}

auto ResponseParser::isComplete() const noexcept -> bool
{
    return m_d->m_parser->is_done();
}

auto ResponseParser::keepsAlive() const -> bool
{
    return m_d->m_parser->keep_alive();
}

auto ResponseParser::take() -> HttpResponse
{
    auto &message = m_d->m_parser->get();
    HttpResponse response;
    response.m_status = static_cast<int>(message.result_int());
    for (const auto &field : message) {
        response.m_fields.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    response.m_body = std::move(message.body());
    return response;
}

auto ResponseParser::heldBytes() const noexcept -> std::size_t
{
    return m_d->m_fieldBytes + m_d->m_parser->get().body().capacity();
}
}

// A small blocking HTTP/1.1 server and client for the stand-ins of the review: one thread for each connection.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace Review
{
struct Message {
    std::string m_first; ///< request line or status line
    std::map<std::string, std::string> m_fields; ///< names in lower case
    std::string m_body;
};

struct Request {
    std::string m_method;
    std::string m_path; ///< without the query
    std::map<std::string, std::string> m_query;
    std::map<std::string, std::string> m_fields;
    std::string m_body;
};

struct Response {
    int m_status = 200; ///< 0 closes the connection without a response
    std::string m_body = "{}";
};

inline auto loopback(std::uint16_t port) -> sockaddr_in
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Reads one message; nothing at the end of the connection.
inline auto readMessage(int socket, std::string &buffer) -> std::optional<Message>
{
    const auto fill = [&] {
        char chunk[16384];
        const auto count = ::recv(socket, chunk, sizeof chunk, 0);
        if (count <= 0) {
            return false;
        }
        buffer.append(chunk, static_cast<std::size_t>(count));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill()) {
            return std::nullopt;
        }
    }
    Message message;
    std::size_t begin = 0;
    while (begin < end) {
        const auto stop = std::min(buffer.find("\r\n", begin), end);
        const auto line = buffer.substr(begin, stop - begin);
        begin = stop + 2;
        if (message.m_first.empty()) {
            message.m_first = line;
            continue;
        }
        const auto colon = line.find(':');
        auto name = line.substr(0, colon);
        std::ranges::transform(name, name.begin(), [](unsigned char letter) {
            return static_cast<char>(std::tolower(letter));
        });
        const auto value = colon == std::string::npos ? std::string::npos : line.find_first_not_of(' ', colon + 1);
        message.m_fields[name] = value == std::string::npos ? std::string() : line.substr(value);
    }
    const auto length = message.m_fields.contains("content-length") ? std::stoul(message.m_fields["content-length"]) : 0;
    while (buffer.size() < end + 4 + length) {
        if (!fill()) {
            return std::nullopt;
        }
    }
    message.m_body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return message;
}

inline auto sendAll(int socket, const std::string &bytes) -> bool
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

inline auto percentDecoded(const std::string &text) -> std::string
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded.push_back(static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)));
            i += 2;
        } else {
            decoded.push_back(text[i]);
        }
    }
    return decoded;
}

/// Serves a loopback port until it is stopped; stop() resets all connections, as the end of a process does.
class HttpServer
{
public:
    using Handler = std::function<Response(const Request &)>;

    /// @param port 0 for any free port
    HttpServer(std::uint16_t port, Handler handler)
        : m_handler(std::move(handler))
        , m_listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const int on = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto address = loopback(port);
        if (::bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || ::listen(m_listener, 1024) != 0) {
            std::perror("cannot listen");
            std::_Exit(2);
        }
        socklen_t size = sizeof address;
        ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_acceptor = std::thread([this] {
            accept();
        });
    }

    ~HttpServer()
    {
        stop();
    }

    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;

    [[nodiscard]] auto port() const -> std::uint16_t
    {
        return m_port;
    }

    auto stop() -> void
    {
        if (m_isStopped.exchange(true)) {
            return;
        }
        ::shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_listener);
        const std::lock_guard lock(m_mutex);
        for (const int socket : m_sockets) {
            ::shutdown(socket, SHUT_RDWR);
        }
    }

private:
    auto accept() -> void
    {
        while (!m_isStopped) {
            const int socket = ::accept(m_listener, nullptr, nullptr);
            if (socket < 0) {
                if (m_isStopped) {
                    return;
                }
                continue;
            }
            const int on = 1;
            ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard lock(m_mutex);
                m_sockets.insert(socket);
            }
            std::thread([this, socket] {
                serve(socket);
            }).detach();
        }
    }

    auto serve(int socket) -> void
    {
        std::string buffer;
        while (!m_isStopped) {
            const auto message = readMessage(socket, buffer);
            if (!message || m_isStopped) {
                break;
            }
            Request request;
            const auto space = message->m_first.find(' ');
            const auto target = message->m_first.substr(space + 1, message->m_first.rfind(' ') - space - 1);
            request.m_method = message->m_first.substr(0, space);
            request.m_path = target.substr(0, target.find('?'));
            auto rest = target.find('?') == std::string::npos ? std::string() : target.substr(target.find('?') + 1);
            while (!rest.empty()) {
                const auto pair = rest.substr(0, rest.find('&'));
                rest = rest.find('&') == std::string::npos ? std::string() : rest.substr(rest.find('&') + 1);
                const auto equals = std::min(pair.find('='), pair.size());
                request.m_query[pair.substr(0, equals)] = percentDecoded(pair.substr(std::min(equals + 1, pair.size())));
            }
            request.m_fields = message->m_fields;
            request.m_body = message->m_body;
            const auto response = m_handler(request);
            if (response.m_status == 0 || m_isStopped) {
                break;
            }
            if (!sendAll(socket,
                         "HTTP/1.1 " + std::to_string(response.m_status) + " -\r\nContent-Type: application/json\r\nContent-Length: "
                             + std::to_string(response.m_body.size()) + "\r\n\r\n" + response.m_body)) {
                break;
            }
        }
        {
            const std::lock_guard lock(m_mutex);
            m_sockets.erase(socket);
        }
        ::close(socket);
    }

    Handler m_handler;
    int m_listener;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_isStopped = false;
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::set<int> m_sockets;
};

/// Sends one request on a connection of its own; status 0 when there was no answer in time.
inline auto
call(std::uint16_t port, const std::string &method, const std::string &target, const std::string &host, const std::string &body, int timeoutMs = 3000)
    -> Response
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const timeval limit{timeoutMs / 1000, static_cast<suseconds_t>(timeoutMs % 1000) * 1000};
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const auto address = loopback(port);
    Response response{0, {}};
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0) {
        std::string buffer;
        const auto isSent =
            sendAll(socket,
                    method + " " + target + " HTTP/1.1\r\nHost: " + host
                        + "\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        if (const auto message = isSent ? readMessage(socket, buffer) : std::nullopt; message && message->m_first.size() > 12) {
            response = {std::stoi(message->m_first.substr(9, 3)), message->m_body};
        }
    }
    ::close(socket);
    return response;
}

/// A loopback port that was free at the time of the call, outside the range from which the kernel picks ports of connections.
inline auto freePort() -> std::uint16_t
{
    static constexpr int firstPort = 15'000;
    static constexpr int ports = 16'000;
    static int next = static_cast<int>(::getpid()) * 61 % ports;
    while (true) {
        const auto port = static_cast<std::uint16_t>(firstPort + next++ % ports);
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        const auto address = loopback(port);
        const bool isFree = ::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        ::close(socket);
        if (isFree) {
            return port;
        }
    }
}
}

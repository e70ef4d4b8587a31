#include "burdockspur/impl/framelink.hpp"

#include "burdockspur/link/clientuse.hpp"
#include "burdockspur/link/framecodec.hpp"
#include "burdockspur/link/peermessage.hpp"
#include "burdockspur/operations/log.hpp"

#include <QTcpSocket>

#include <algorithm>
#include <utility>

namespace Burdockspur
{
namespace
{
constexpr std::size_t lengthBytes = 4;

/// Bytes that a link may buffer beyond the frame being parsed.
constexpr std::size_t readAheadBytes = std::size_t{64} * 1024;

/// Memory of a link beside its input and what it sends: objects of the socket, and the first block of each of its two buffers.
constexpr std::size_t linkBytes = std::size_t{24} * 1024;

/// Reads the little-endian length prefix of a frame.
[[nodiscard]] auto lengthOf(std::string_view bytes) noexcept -> std::uint32_t
{
    constexpr unsigned bitsPerByte = 8;
    std::uint32_t length = 0;
    for (std::size_t i = 0; i < lengthBytes; ++i) {
        length |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[i])) << (bitsPerByte * i);
    }
    return length;
}
}

FrameLink::FrameLink(const FrameLimits &limits, std::string_view peer, std::unique_ptr<QTcpSocket> socket, Callbacks callbacks)
    : m_limits(limits)
    , m_peer(peer)
    , m_socket(std::move(socket))
    , m_callbacks(std::move(callbacks))
    , m_lastSent(Clock::now())
    , m_lastReceived(m_lastSent)
    , m_frameAt(m_lastSent)
{
    m_progress.restart(m_lastSent);
    m_socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    m_socket->setReadBufferSize(readAheadBytes);
    QObject::connect(m_socket.get(), &QTcpSocket::readyRead, m_socket.get(), [this] {
        readAvailable();
    });
    QObject::connect(m_socket.get(), &QTcpSocket::disconnected, m_socket.get(), [this] {
        close("closed by peer");
    });
    QObject::connect(m_socket.get(), &QTcpSocket::errorOccurred, m_socket.get(), [this] {
        close(m_socket->errorString().toStdString());
    });
}

FrameLink::~FrameLink()
{
    QObject::disconnect(m_socket.get(), nullptr, nullptr, nullptr);
}

auto FrameLink::send(const PeerMessage &message) -> bool
{
    if (!m_isOpen) {
        return false;
    }
    const std::string frame = encodeFrame(message);
    if (frame.size() > m_limits.m_maxFrameBytes + lengthBytes) {
        logEvent(LogLevel::Error, "frame_too_large", {{"peer", m_peer}, {"kind", message.m_body.index()}, {"bytes", frame.size()}});
        return false;
    }
    if (static_cast<std::size_t>(m_socket->bytesToWrite()) + frame.size() > m_limits.m_maxSendBufferBytes) {
        logEvent(LogLevel::Debug, "frame_send_buffer_full", {{"peer", m_peer}, {"waiting_bytes", m_socket->bytesToWrite()}});
        return false;
    }
    m_lastSent = Clock::now();
    m_socket->write(frame.data(), static_cast<qint64>(frame.size()));
    // Without flush(), Qt would send only in the next iteration of the event loop.
    m_socket->flush();
    if (m_isOpen) {
        m_callbacks.m_onUseChanged();
    }
    return m_isOpen;
}

auto FrameLink::isOpen() const noexcept -> bool
{
    return m_isOpen;
}

auto FrameLink::processDeadlines(TimePoint now, std::uint64_t configVersion) -> void
{
    if (!m_isOpen) {
        return;
    }
    if (now - m_lastReceived >= m_limits.m_silenceTimeout) {
        close("silent");
    } else if (now - m_lastSent >= m_limits.m_heartbeatInterval) {
        // Updated here because send() does not set it when the send buffer is full; the timer would then fire again at once.
        m_lastSent = now;
        send(PeerMessage{.m_configVersion = configVersion, .m_correlation = 0, .m_body = Heartbeat{}});
    }
}

auto FrameLink::deadline() const noexcept -> TimePoint
{
    return m_isOpen ? std::min(m_lastSent + m_limits.m_heartbeatInterval, m_lastReceived + m_limits.m_silenceTimeout) : TimePoint::max();
}

auto FrameLink::use() const -> ClientUse
{
    ClientUse use;
    use.m_bytes = linkBytes + m_input.capacity() + static_cast<std::size_t>(m_socket->bytesAvailable() + m_socket->bytesToWrite());
    use.m_progressAt = m_progress.at();
    use.m_stage = m_hasCompletedFrame ? ClientStage::Idle : ClientStage::Incomplete;
    use.m_servedAt = m_frameAt;
    return use;
}

auto FrameLink::readAvailable() -> void
{
    while (m_isOpen) {
        const std::size_t count = m_input.fill(*m_socket, m_limits.m_maxFrameBytes + lengthBytes + readAheadBytes);
        if (count == 0) {
            return;
        }
        m_lastReceived = Clock::now();
        m_progress.add(count);
        while (m_isOpen && parseFrame()) {}
        if (m_isOpen) {
            m_callbacks.m_onUseChanged();
        }
    }
}

/// @returns false when more bytes are needed or the link was closed
auto FrameLink::parseFrame() -> bool
{
    const std::string_view bytes = m_input.view();
    if (bytes.size() < lengthBytes) {
        return false;
    }
    const std::uint32_t length = lengthOf(bytes);
    if (length == 0 || length > m_limits.m_maxFrameBytes) {
        rejectFrame("the length is out of range", length);
        return false;
    }
    if (bytes.size() < lengthBytes + length) {
        return false;
    }
    auto message = decodeEnvelope(std::as_bytes(std::span(bytes)).subspan(lengthBytes, length));
    m_input.consume(lengthBytes + length);
    if (!message) {
        rejectFrame(message.error().m_message, length);
        return false;
    }
    m_hasCompletedFrame = true;
    m_frameAt = m_lastReceived;
    m_progress.restart(m_frameAt);
    m_callbacks.m_onMessage(std::move(*message));
    return true;
}

auto FrameLink::rejectFrame(std::string_view reason, std::uint32_t length) -> void
{
    logEvent(LogLevel::Error, "frame_rejected", {{"peer", m_peer}, {"code", errorName(ErrorCode::BadFrame)}, {"reason", reason}, {"bytes", length}});
    close("bad frame");
}

auto FrameLink::close(std::string_view reason) -> void
{
    if (!m_isOpen) {
        return;
    }
    m_isOpen = false;
    QObject::disconnect(m_socket.get(), nullptr, nullptr, nullptr);
    m_socket->abort();
    m_input.clear();
    logEvent(LogLevel::Info, "frame_link_closed", {{"peer", m_peer}, {"reason", reason}});
    m_callbacks.m_onClosed();
}
}

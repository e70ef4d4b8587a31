#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/impl/inputbuffer.hpp"
#include "burdockspur/link/framelimits.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

class QTcpSocket;

namespace Burdockspur
{
struct PeerMessage;

/// @brief One open framed connection; the part that FrameServer and FrameClient have in common.
class FrameLink
{
public:
    /// @brief What the owner of a link is told.
    struct Events {
        std::function<void(PeerMessage &&)> m_received;
        std::function<void()> m_closed; ///< may come from within send(); the link must not be destroyed from it
    };

    /// @param limits must outlive the link
    /// @param peer names the other end in log events
    /// @param socket connected
    FrameLink(const FrameLimits &limits, std::string_view peer, std::unique_ptr<QTcpSocket> socket, Events events);
    ~FrameLink();
    FrameLink(const FrameLink &) = delete;
    FrameLink(FrameLink &&) = delete;
    auto operator=(const FrameLink &) -> FrameLink & = delete;
    auto operator=(FrameLink &&) -> FrameLink & = delete;

    /// @brief Sends a message.
    /// @returns false when the link is closed, its send buffer is full or the message exceeds the frame limit
    auto send(const PeerMessage &message) -> bool;

    [[nodiscard]] auto isOpen() const noexcept -> bool;

    /// @brief True once a complete message has arrived.
    [[nodiscard]] auto hasReceived() const noexcept -> bool;

    /// @brief Sends a heartbeat or closes a silent link, if it is time.
    /// @param configVersion that a heartbeat carries
    auto sweep(TimePoint now, std::uint64_t configVersion) -> void;

    /// @brief When sweep() has something to do; TimePoint::max() once closed.
    [[nodiscard]] auto deadline() const noexcept -> TimePoint;

private:
    auto received() -> void;
    auto parseNext() -> bool;
    auto rejectFrame(std::string_view reason, std::uint32_t length) -> void;
    auto close(std::string_view reason) -> void;

    const FrameLimits &m_limits;
    std::string m_peer;
    std::unique_ptr<QTcpSocket> m_socket;
    Events m_events;
    InputBuffer m_input;
    TimePoint m_lastSent;
    TimePoint m_lastReceived;
    bool m_isOpen = true;
    bool m_hasReceived = false;
};
}

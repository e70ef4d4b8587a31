#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/impl/inputbuffer.hpp"
#include "burdockspur/impl/receiveprogress.hpp"
#include "burdockspur/link/framelimits.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

class QTcpSocket;

namespace Burdockspur
{
struct ClientUse;
struct PeerMessage;

/// @brief One framed connection of a FrameServer or FrameClient: sends and parses frames, and closes when silent.
class FrameLink
{
public:
    /// @brief Functions that the link calls on its owner.
    struct Callbacks {
        std::function<void(PeerMessage &&)> m_onMessage;
        std::function<void()> m_onClosed; ///< may be called from within send(); must not destroy the link
        std::function<void()> m_onUseChanged = [] {}; ///< called when use() may have changed; may call close(), must not destroy the link
    };

    /// @param limits must outlive the link
    /// @param peer name of the other end in log events
    /// @param socket a connected socket
    FrameLink(const FrameLimits &limits, std::string_view peer, std::unique_ptr<QTcpSocket> socket, Callbacks callbacks);
    ~FrameLink();
    FrameLink(const FrameLink &) = delete;
    FrameLink(FrameLink &&) = delete;
    auto operator=(const FrameLink &) -> FrameLink & = delete;
    auto operator=(FrameLink &&) -> FrameLink & = delete;

    /// @brief Sends a message.
    /// @returns false when the link is closed, its send buffer is full or the message is larger than a frame may be
    auto send(const PeerMessage &message) -> bool;

    [[nodiscard]] auto isOpen() const noexcept -> bool;

    /// @brief Closes the link if it has been silent for too long; otherwise sends a heartbeat if one is due.
    /// @param configVersion configuration version for the heartbeat
    auto processDeadlines(TimePoint now, std::uint64_t configVersion) -> void;

    /// @brief Time at which processDeadlines() must be called next; TimePoint::max() once closed.
    [[nodiscard]] auto deadline() const noexcept -> TimePoint;

    /// @brief What an open link holds; it counts as Idle once a frame was complete.
    [[nodiscard]] auto use() const -> ClientUse;

    /// @brief Closes the link; without effect when it is closed.
    /// @param reason for the log
    auto close(std::string_view reason) -> void;

private:
    auto readAvailable() -> void;
    auto parseFrame() -> bool;
    auto rejectFrame(std::string_view reason, std::uint32_t length) -> void;

    const FrameLimits &m_limits;
    std::string m_peer;
    std::unique_ptr<QTcpSocket> m_socket;
    Callbacks m_callbacks;
    InputBuffer m_input;
    TimePoint m_lastSent;
    TimePoint m_lastReceived;
    TimePoint m_frameAt; ///< time of the last complete frame; of the opening before the first
    ReceiveProgress m_progress;
    bool m_hasCompletedFrame = false;
    bool m_isOpen = true;
};
}

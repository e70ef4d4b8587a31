#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/link/framelimits.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace Burdockspur
{
struct PeerMessage;

/// @brief Identifies an accepted link; a server never reuses an id.
using LinkId = std::uint64_t;

/// @brief Accepts framed links from other processes of the system.
///
/// Lives in the thread of an EventLoopDuty. The server itself sends heartbeats, closes silent links, and
/// closes a link that receives a bad frame; other links stay open. When its links hold too much memory, it closes those without progress.
/// A full server accepts a new link in place of one that has never completed a frame (see PortAdmission).
class FrameServer
{
public:
    /// @brief Receives each decoded message of a link, including heartbeats.
    using Handler = std::function<void(LinkId, PeerMessage &&)>;

    /// @brief Called with true when a link opens, and with false when it closes.
    using StateHandler = std::function<void(LinkId, bool)>;

    FrameServer(const FrameLimits &limits, Handler handler, StateHandler stateHandler);
    ~FrameServer();
    FrameServer(const FrameServer &) = delete;
    FrameServer(FrameServer &&) = delete;
    auto operator=(const FrameServer &) -> FrameServer & = delete;
    auto operator=(FrameServer &&) -> FrameServer & = delete;

    /// @brief Starts to listen.
    /// @param address numeric IP address
    /// @param port 0 selects a free port
    /// @returns the port, or ErrorCode::Unavailable
    [[nodiscard]] auto listen(std::string_view address, std::uint16_t port) -> Result<std::uint16_t>;

    /// @brief Sends a message.
    /// @returns false when the link is closed or its send buffer is full
    auto send(LinkId link, const PeerMessage &message) -> bool;

    /// @brief Sets the configuration version that heartbeats carry.
    auto setConfigVersion(std::uint64_t version) noexcept -> void;

    /// @brief Number of open links.
    [[nodiscard]] auto openLinks() const noexcept -> std::size_t;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};
}

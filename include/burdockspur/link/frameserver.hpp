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

/// @brief Names one accepted link; never reused.
using LinkId = std::uint64_t;

/// @brief Accepts framed links from other processes of the system.
///
/// Lives in the thread of an EventLoopDuty. Heartbeats, silence and bad frames are handled inside; a bad
/// frame closes its link only.
class FrameServer
{
public:
    /// @brief Takes a decoded message of a link.
    using Handler = std::function<void(LinkId, PeerMessage &&)>;

    /// @brief Told when a link opens (true) or closes (false).
    using StateHandler = std::function<void(LinkId, bool)>;

    FrameServer(const FrameLimits &limits, Handler handler, StateHandler stateHandler);
    ~FrameServer();
    FrameServer(const FrameServer &) = delete;
    FrameServer(FrameServer &&) = delete;
    auto operator=(const FrameServer &) -> FrameServer & = delete;
    auto operator=(FrameServer &&) -> FrameServer & = delete;

    /// @brief Starts to listen.
    /// @returns the port, or ErrorCode::Unavailable
    [[nodiscard]] auto listen(std::string_view address, std::uint16_t port) -> Result<std::uint16_t>;

    /// @brief Sends a message.
    /// @returns false when the link is closed or its send buffer is full
    auto send(LinkId link, const PeerMessage &message) -> bool;

    /// @brief Configuration version that heartbeats carry.
    auto setConfigVersion(std::uint64_t version) noexcept -> void;

    /// @brief Number of open links.
    [[nodiscard]] auto openLinks() const noexcept -> std::size_t;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};
}

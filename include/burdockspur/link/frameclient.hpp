#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/link/framelimits.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace Burdockspur
{
struct PeerMessage;

/// @brief Keeps one framed link to another process open; reconnects with exponential backoff and jitter.
///
/// Lives in the thread of an EventLoopDuty. Messages are not queued while the link is closed.
class FrameClient
{
public:
    /// @brief Receives each decoded message, including heartbeats.
    using Handler = std::function<void(PeerMessage &&)>;

    /// @brief Called with true when the link opens, and with false when it closes.
    using StateHandler = std::function<void(bool)>;

    FrameClient(const FrameLimits &limits, std::string_view address, std::uint16_t port, Handler handler, StateHandler stateHandler);
    ~FrameClient();
    FrameClient(const FrameClient &) = delete;
    FrameClient(FrameClient &&) = delete;
    auto operator=(const FrameClient &) -> FrameClient & = delete;
    auto operator=(FrameClient &&) -> FrameClient & = delete;

    /// @brief Sends a message.
    /// @returns false when the link is closed or its send buffer is full
    auto send(const PeerMessage &message) -> bool;

    /// @brief True while the link is open.
    [[nodiscard]] auto isOpen() const noexcept -> bool;

    /// @brief Sets the configuration version that heartbeats carry.
    auto setConfigVersion(std::uint64_t version) noexcept -> void;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};
}

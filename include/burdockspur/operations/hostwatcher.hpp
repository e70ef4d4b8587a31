#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/machine/hostrecord.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace Burdockspur
{
class HostList;

/// @brief Polls the host list and delivers a listing only when its hosts changed.
///
/// Lives in the thread of an EventLoopDuty. The last listing stays in use while the list is unavailable.
class HostWatcher
{
public:
    /// @brief Takes each changed listing, in the watcher's thread.
    using Listener = std::function<void(const HostListing &)>;

    /// @param list outlives the watcher
    /// @param interval between polls
    /// @param seed of the jitter
    /// @param listener takes each changed listing
    HostWatcher(HostList &list, Milliseconds interval, std::uint64_t seed, Listener listener);
    ~HostWatcher();
    HostWatcher(const HostWatcher &) = delete;
    HostWatcher(HostWatcher &&) = delete;
    auto operator=(const HostWatcher &) -> HostWatcher & = delete;
    auto operator=(HostWatcher &&) -> HostWatcher & = delete;

    /// @brief Reads the list at once and then in each interval.
    auto start() -> void;

    /// @brief The last listing, or nothing before the first was read.
    [[nodiscard]] auto current() const noexcept -> const std::optional<HostListing> &;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};
}

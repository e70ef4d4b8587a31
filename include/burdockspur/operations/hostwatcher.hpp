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

/// @brief Polls the host list and delivers a listing only when its hosts have changed.
///
/// Belongs to the thread of an EventLoopDuty. Keeps the last listing while the host list is unavailable.
class HostWatcher
{
public:
    /// @brief Called with each changed listing, in the watcher's thread.
    using Listener = std::function<void(const HostListing &)>;

    /// @param list host list; must outlive the watcher
    /// @param interval time from the end of a poll to the next one, on average
    /// @param seed seed of the jitter
    /// @param listener receives each changed listing
    HostWatcher(HostList &list, Milliseconds interval, std::uint64_t seed, Listener listener);
    ~HostWatcher();
    HostWatcher(const HostWatcher &) = delete;
    HostWatcher(HostWatcher &&) = delete;
    auto operator=(const HostWatcher &) -> HostWatcher & = delete;
    auto operator=(HostWatcher &&) -> HostWatcher & = delete;

    /// @brief Reads the list at once and then once in each interval.
    auto start() -> void;

    /// @brief The last changed listing; empty until the first one has been read.
    [[nodiscard]] auto current() const noexcept -> const std::optional<HostListing> &;

private:
    class Private;
    std::unique_ptr<Private> m_private;
};
}

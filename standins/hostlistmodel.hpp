#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/machine/hostrecord.hpp"

#include <deque>
#include <string_view>
#include <utility>
#include <vector>

namespace Burdockspur::Standins
{
/// @brief Host list whose changes become visible to readers after a lag, in the order in which they were made.
class HostListModel
{
public:
    /// @brief Replaces the list and increments its generation.
    /// @param now never decreases
    /// @param hosts the new list
    /// @param lag time until readers see the new list
    auto set(TimePoint now, std::vector<HostRecord> hosts, Duration lag) -> void;

    /// @brief Changes the state of one host.
    /// @returns false when the host is not in the list
    auto setState(TimePoint now, std::string_view host, HostState state, Duration lag) -> bool;

    /// @brief The list that readers see at a time.
    [[nodiscard]] auto visible(TimePoint now) -> const HostListing &;

private:
    HostListing m_visible;
    HostListing m_actual;
    std::deque<std::pair<TimePoint, HostListing>> m_pending;
};
}

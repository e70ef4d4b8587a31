#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/machine/hostrecord.hpp"

#include <deque>
#include <string_view>
#include <utility>
#include <vector>

namespace Burdockspur::Standins
{
/// @brief Host list whose changes become visible after a lag, in the order in which they were made.
class HostListModel
{
public:
    /// @brief Replaces the list; its generation is the successor of the last one.
    /// @param now never decreases
    /// @param hosts the new list
    /// @param lag time until readers see it
    auto set(TimePoint now, std::vector<HostRecord> hosts, Duration lag) -> void;

    /// @brief Changes the state of one host.
    /// @returns false when the host is not in the list
    auto setState(TimePoint now, std::string_view host, HostState state, Duration lag) -> bool;

    /// @brief The list that readers see.
    [[nodiscard]] auto visible(TimePoint now) -> const HostListing &;

private:
    HostListing m_visible;
    HostListing m_actual;
    std::deque<std::pair<TimePoint, HostListing>> m_pending;
};
}

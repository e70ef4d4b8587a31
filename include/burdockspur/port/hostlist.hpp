#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/machine/hostrecord.hpp"

#include <functional>

namespace Burdockspur
{
/// @brief The platform's lagging list of live and leaving hosts.
class HostList
{
public:
    using ListingCallback = std::function<void(Result<HostListing> &&)>;

    HostList() = default;
    virtual ~HostList() = default;
    HostList(const HostList &) = delete;
    HostList(HostList &&) = delete;
    auto operator=(const HostList &) -> HostList & = delete;
    auto operator=(HostList &&) -> HostList & = delete;

    /// @brief Reads the list; the callback runs in the calling thread's event loop, exactly once.
    virtual auto fetch(ListingCallback callback) -> void = 0;
};
}

#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/link/httpclient.hpp"

#include <memory>

namespace Burdockspur
{
class ChangeStore;
class FleetCodec;
class RunWorkerPort;

/// @brief Factory of the adapters to one platform.
class FleetPlatform
{
public:
    FleetPlatform() = default;
    virtual ~FleetPlatform() = default;
    FleetPlatform(const FleetPlatform &) = delete;
    FleetPlatform(FleetPlatform &&) = delete;
    auto operator=(const FleetPlatform &) -> FleetPlatform & = delete;
    auto operator=(FleetPlatform &&) -> FleetPlatform & = delete;

    /// @param client must outlive the store
    /// @param endpoint address of the table service
    /// @param timeout longest duration of one call, in addition to the time that it may wait for a change
    [[nodiscard]] virtual auto makeStore(HttpClient &client, const HttpEndpoint &endpoint, Duration timeout) const -> std::unique_ptr<ChangeStore> = 0;

    /// @param client must outlive the port
    [[nodiscard]] virtual auto makeWorkerPort(HttpClient &client) const -> std::unique_ptr<RunWorkerPort> = 0;

    [[nodiscard]] virtual auto makeCodec() const -> std::unique_ptr<FleetCodec> = 0;
};
}

#pragma once

#include "burdockspur/contract/fleetconfiguration.hpp"
#include "burdockspur/contract/workerrecord.hpp"
#include "burdockspur/core/error.hpp"
#include "burdockspur/fleet/apicall.hpp"
#include "burdockspur/fleet/jobprogress.hpp"
#include "burdockspur/link/httpmessage.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Burdockspur
{
/// @brief Decodes the platform's messages from callers, the operator and workers, and encodes the responses to callers.
///
/// Stateless; every thread may use it.
class FleetCodec
{
public:
    FleetCodec() = default;
    virtual ~FleetCodec() = default;
    FleetCodec(const FleetCodec &) = delete;
    FleetCodec(FleetCodec &&) = delete;
    auto operator=(const FleetCodec &) -> FleetCodec & = delete;
    auto operator=(FleetCodec &&) -> FleetCodec & = delete;

    /// @brief Table that holds the operator's configuration and requests.
    [[nodiscard]] virtual auto configurationTable() const noexcept -> std::string_view = 0;

    /// @brief Key of the configuration's row.
    [[nodiscard]] virtual auto configurationKey() const noexcept -> std::string_view = 0;

    /// @brief Zone that a row of the operator's table closes: while the row exists, the workers of the zone get no new tasks.
    /// @param key key of the row
    /// @returns the zone, or nothing for a row of another kind
    [[nodiscard]] virtual auto closedZoneOf(std::string_view key) const noexcept -> std::optional<std::string_view> = 0;

    /// @brief Table in which workers register.
    [[nodiscard]] virtual auto workerTable() const noexcept -> std::string_view = 0;

    /// @brief Decodes the operator's configuration.
    /// @param value content of the row
    /// @returns the configuration, or ErrorCode::AnswerCorrupt
    [[nodiscard]] virtual auto decodeConfiguration(std::string_view value) const -> Result<FleetConfiguration> = 0;

    /// @brief Decodes a worker's registration.
    /// @param id name of the worker's row
    /// @param value content of the row
    /// @returns the worker, or ErrorCode::AnswerCorrupt
    [[nodiscard]] virtual auto decodeWorker(std::string_view id, std::string_view value) const -> Result<WorkerRecord> = 0;

    /// @brief Decodes a caller's request.
    /// @returns the call, ErrorCode::UnknownRoute when no queue matches, or the fault of an invalid request
    [[nodiscard]] virtual auto decodeCall(const HttpRequest &request, const FleetConfiguration &configuration) const -> Result<ApiCall> = 0;

    [[nodiscard]] virtual auto acceptedResponse() const -> HttpResponse = 0;
    [[nodiscard]] virtual auto stateResponse(JobPhase phase) const -> HttpResponse = 0;
    [[nodiscard]] virtual auto pendingResponse(std::uint32_t jobs) const -> HttpResponse = 0;

    /// @brief Encodes an error; its HTTP status shows the caller whether the request may have taken effect.
    /// @param error reason of the failure
    /// @param retryAfterSeconds value of the Retry-After field; 0 omits the field
    [[nodiscard]] virtual auto errorResponse(const Error &error, int retryAfterSeconds) const -> HttpResponse = 0;
};
}

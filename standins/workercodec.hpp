#pragma once

#include "standins/workerrequests.hpp"
#include "standins/workertasks.hpp"

#include "burdockspur/contract/workerlease.hpp"
#include "burdockspur/core/error.hpp"
#include "burdockspur/link/httpmessage.hpp"
#include "burdockspur/port/workerport.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace Burdockspur::Standins
{
/// @brief Decodes `PUT /v1/leases/<shard>`.
[[nodiscard]] auto decodeRenewal(std::span<const std::string> segments, std::string_view body) -> Result<LeaseRenewal>;

/// @brief Encodes the answer to a lease renewal.
[[nodiscard]] auto encodeRenewalAnswer(const std::expected<LeaseReport, Epoch> &answer) -> HttpResponse;

/// @brief Decodes `PUT /v1/tasks/<task>/attempts/<n>`.
[[nodiscard]] auto decodeStart(std::span<const std::string> segments, std::string_view body) -> Result<StartOrder>;

/// @brief Decodes an order for an attempt, with shard and epoch in the body.
[[nodiscard]] auto decodeOrder(std::span<const std::string> segments, std::string_view body) -> Result<AttemptOrder>;

/// @brief Decodes an order for an attempt, with shard and epoch in the query.
[[nodiscard]] auto decodeOrderQuery(std::span<const std::string> segments, const HttpRequest &request) -> Result<AttemptOrder>;

/// @brief Decodes `share_percent` of a throttle order; 0 when it is missing.
[[nodiscard]] auto decodeShare(std::string_view body) -> std::int64_t;

/// @brief Encodes the answer to a start order.
[[nodiscard]] auto encodeStartAnswer(OrderAnswer answer) -> HttpResponse;

/// @brief Encodes the answer to a throttle order, or to any order that is refused.
[[nodiscard]] auto encodeOrderAnswer(OrderAnswer answer) -> HttpResponse;

/// @brief Encodes the answer to a stop order.
[[nodiscard]] auto encodeStopAnswer(const std::expected<AttemptReport, OrderAnswer> &answer) -> HttpResponse;

/// @brief Encodes the answer to a checkpoint order.
[[nodiscard]] auto encodeCheckpointAnswer(const std::expected<std::string, OrderAnswer> &answer) -> HttpResponse;

/// @brief Encodes the answer to a service request that has ended or was not started.
[[nodiscard]] auto encodeRequestAnswer(RequestState state, std::string_view requestId, std::string_view body) -> HttpResponse;

/// @brief Encodes the answer to a query of a request's state.
[[nodiscard]] auto encodeSettleAnswer(RequestState state, std::string_view body) -> HttpResponse;
}

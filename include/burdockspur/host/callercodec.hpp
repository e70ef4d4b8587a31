#pragma once

#include "burdockspur/contract/configuration.hpp"
#include "burdockspur/contract/jobpage.hpp"
#include "burdockspur/contract/outcome.hpp"
#include "burdockspur/contract/requestanswer.hpp"
#include "burdockspur/contract/servicerequest.hpp"
#include "burdockspur/core/error.hpp"
#include "burdockspur/host/platformcommand.hpp"
#include "burdockspur/link/httpmessage.hpp"
#include "burdockspur/link/peermessage.hpp"

#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief Deadlines of requests and commands that callers send.
struct CallerLimits {
    Milliseconds m_defaultDeadline{5'000}; ///< used when the header Burdockspur-Deadline-Ms is missing
    Milliseconds m_maxDeadline{60'000}; ///< longer deadlines are rejected
    Milliseconds m_jobDeadline{5'000}; ///< applies to every job command
};

/// @brief Decodes a service request; the caller of this function sets m_id.
/// @param request the body is moved out of it
/// @param service name of the service, from the path
/// @param limits default and longest deadline
/// @param now time from which the deadline counts
/// @returns the request, or ErrorCode::BadHeader
[[nodiscard]] auto decodeServiceRequest(HttpRequest &request, std::string_view service, const CallerLimits &limits, TimePoint now) -> Result<ServiceRequest>;

/// @brief Decodes `POST /v1/jobs`.
/// @returns the command, or BadHeader, MissingIdempotencyKey or BadRequest
[[nodiscard]] auto decodeSubmission(const HttpRequest &request) -> Result<SubmitJob>;

/// @brief Decodes the query of `GET /v1/jobs`.
/// @returns the command, or BadRequest
[[nodiscard]] auto decodeJobQuery(const HttpRequest &request) -> Result<ListJobs>;

/// @brief Decodes `PUT /v1/config/preset`.
[[nodiscard]] auto decodePresetChange(std::string_view body) -> Result<SwitchPreset>;

/// @brief Decodes `PUT /v1/config`.
[[nodiscard]] auto decodeConfigChange(std::string_view body) -> Result<ReplaceConfiguration>;

/// @brief Encodes the answer to a service request.
[[nodiscard]] auto encodeAnswer(RequestAnswer &&answer) -> HttpResponse;

/// @brief Encodes an error as JSON.
/// @param error code and message
/// @param outcome whether the request or command may have taken effect
/// @param requestId left out of the JSON when empty
[[nodiscard]] auto encodeError(const Error &error, Outcome outcome, std::string_view requestId = {}) -> HttpResponse;

/// @brief Encodes the response to a submission.
[[nodiscard]] auto encodeAcceptedJob(const Job &job) -> HttpResponse;

[[nodiscard]] auto encodeJob(const Job &job) -> HttpResponse;
[[nodiscard]] auto encodeJobs(const JobPage &page) -> HttpResponse;
[[nodiscard]] auto encodeConfiguration(const Configuration &configuration) -> HttpResponse;
[[nodiscard]] auto encodeConfigVersion(ConfigVersion version) -> HttpResponse;
}

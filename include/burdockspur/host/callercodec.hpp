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
/// @brief Bounds of what callers may send.
struct CallerLimits {
    Milliseconds m_defaultDeadline{5'000}; ///< of a request without the header Burdockspur-Deadline-Ms
    Milliseconds m_maxDeadline{60'000};
    Milliseconds m_jobDeadline{5'000}; ///< of commands about jobs
};

/// @brief Decodes a service request; m_id stays empty.
/// @param request takes its body
/// @param service from the path
/// @param limits of deadlines
/// @param now start of the deadline
/// @returns the request, or ErrorCode::BadHeader
[[nodiscard]] auto decodeServiceRequest(HttpRequest &request, std::string_view service, const CallerLimits &limits, TimePoint now) -> Result<ServiceRequest>;

/// @brief Decodes the submission of a job.
/// @returns the command, or BadHeader, MissingIdempotencyKey or BadRequest
[[nodiscard]] auto decodeSubmission(const HttpRequest &request) -> Result<SubmitJob>;

/// @brief Decodes the query of a list of jobs.
/// @returns the command, or BadRequest
[[nodiscard]] auto decodeJobQuery(const HttpRequest &request) -> Result<ListJobs>;

/// @brief Decodes `PUT /v1/config/preset`.
[[nodiscard]] auto decodePresetChange(std::string_view body) -> Result<SwitchPreset>;

/// @brief Decodes `PUT /v1/config`.
[[nodiscard]] auto decodeConfigChange(std::string_view body) -> Result<ReplaceConfiguration>;

/// @brief The response to a service request.
[[nodiscard]] auto encodeAnswer(RequestAnswer &&answer) -> HttpResponse;

/// @brief A JSON error.
/// @param error code and message
/// @param outcome what is known about the execution
/// @param requestId may be empty
[[nodiscard]] auto encodeError(const Error &error, Outcome outcome, std::string_view requestId = {}) -> HttpResponse;

/// @brief The response to a submission.
[[nodiscard]] auto encodeAcceptedJob(const Job &job) -> HttpResponse;

[[nodiscard]] auto encodeJob(const Job &job) -> HttpResponse;
[[nodiscard]] auto encodeJobs(const JobPage &page) -> HttpResponse;
[[nodiscard]] auto encodeConfiguration(const Configuration &configuration) -> HttpResponse;
[[nodiscard]] auto encodeConfigVersion(ConfigVersion version) -> HttpResponse;
}

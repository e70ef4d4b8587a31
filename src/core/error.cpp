#include "burdockspur/core/error.hpp"

#include <algorithm>
#include <array>

namespace Burdockspur
{
namespace
{
struct ErrorEntry {
    ErrorCode m_code;
    std::string_view m_name;
    int m_status;
};

constexpr auto errorTable = std::to_array<ErrorEntry>({
    {ErrorCode::BadRequest, "bad_request", 400},
    {ErrorCode::BadHeader, "bad_header", 400},
    {ErrorCode::BodyTooLarge, "body_too_large", 413},
    {ErrorCode::HeaderTooLarge, "header_too_large", 431},
    {ErrorCode::BadFrame, "bad_frame", 400},
    {ErrorCode::BadSettings, "bad_settings", 400},
    {ErrorCode::UnknownRoute, "unknown_route", 404},
    {ErrorCode::MethodNotAllowed, "method_not_allowed", 405},
    {ErrorCode::UnknownService, "unknown_service", 404},
    {ErrorCode::UnknownJob, "unknown_job", 404},
    {ErrorCode::UnknownPreset, "unknown_preset", 404},
    {ErrorCode::MissingIdempotencyKey, "missing_idempotency_key", 400},
    {ErrorCode::IdempotencyConflict, "idempotency_conflict", 409},
    {ErrorCode::Overloaded, "overloaded", 503},
    {ErrorCode::QuotaExceeded, "quota_exceeded", 429},
    {ErrorCode::DeadlineExceeded, "deadline_exceeded", 504},
    {ErrorCode::RetryBudgetExhausted, "retry_budget_exhausted", 503},
    {ErrorCode::NoTarget, "no_target", 503},
    {ErrorCode::Draining, "draining", 503},
    {ErrorCode::Conflict, "conflict", 409},
    {ErrorCode::StaleEpoch, "stale_epoch", 409},
    {ErrorCode::RateLimited, "rate_limited", 429},
    {ErrorCode::Unavailable, "unavailable", 503},
    {ErrorCode::NotOwner, "not_owner", 503},
    {ErrorCode::OutcomeUnknown, "outcome_unknown", 504},
    {ErrorCode::KeysUnavailable, "keys_unavailable", 503},
    {ErrorCode::ExecutionFailed, "execution_failed", 500},
    {ErrorCode::AnswerCorrupt, "answer_corrupt", 502},
    {ErrorCode::ConnectionClosed, "connection_closed", 502},
    {ErrorCode::Timeout, "timeout", 504},
    {ErrorCode::RingFull, "ring_full", 503},
    {ErrorCode::Internal, "internal", 500},
});

[[nodiscard]] auto entryOf(ErrorCode code) noexcept -> const ErrorEntry &
{
    const auto *const found = std::ranges::find(errorTable, code, &ErrorEntry::m_code);
    return found == errorTable.end() ? errorTable.back() : *found;
}
}

auto errorName(ErrorCode code) noexcept -> std::string_view
{
    return entryOf(code).m_name;
}

auto errorFromName(std::string_view name) noexcept -> ErrorCode
{
    const auto *const found = std::ranges::find(errorTable, name, &ErrorEntry::m_name);
    return found == errorTable.end() ? ErrorCode::Internal : found->m_code;
}

auto httpStatus(ErrorCode code) noexcept -> int
{
    return entryOf(code).m_status;
}
}

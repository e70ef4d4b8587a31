#pragma once

#include <cstdint>
#include <expected>
#include <string>
#include <string_view>

namespace Burdockspur
{
/// @brief Stable reason of a failure; callers and operators see its name as `code`.
enum class ErrorCode : std::uint8_t {
    BadRequest,
    BadHeader,
    BodyTooLarge,
    HeaderTooLarge,
    BadFrame,
    BadSettings,
    UnknownRoute,
    MethodNotAllowed,
    UnknownService,
    UnknownJob,
    UnknownPreset,
    MissingIdempotencyKey,
    IdempotencyConflict,
    Overloaded,
    QuotaExceeded,
    DeadlineExceeded,
    RetryBudgetExhausted,
    NoTarget,
    Draining,
    Conflict,
    StaleEpoch,
    RateLimited,
    Unavailable,
    NotOwner,
    OutcomeUnknown,
    KeysUnavailable,
    ExecutionFailed,
    AnswerCorrupt,
    ConnectionClosed,
    Timeout,
    RingFull,
    Internal,
};

/// @brief Name of a code as it appears in answers and logs, e.g. `body_too_large`.
/// @param code any code
/// @returns a static lower-case name
[[nodiscard]] auto errorName(ErrorCode code) noexcept -> std::string_view;

/// @brief Finds a code by its name.
/// @param name as given by errorName()
/// @returns the code, or ErrorCode::Internal for an unknown name
[[nodiscard]] auto errorFromName(std::string_view name) noexcept -> ErrorCode;

/// @brief HTTP status that callers get for a code.
/// @param code any code
/// @returns a status from 400 to 599
[[nodiscard]] auto httpStatus(ErrorCode code) noexcept -> int;

/// @brief A failure as a value.
struct Error {
    ErrorCode m_code = ErrorCode::Internal;
    std::string m_message;
};

/// @brief Either a value or an Error.
///
/// @code
/// auto readPort(std::string_view text) -> Result<int>;
/// if (const auto port = readPort("80"); port) { listen(*port); }
/// @endcode
template<typename T>
using Result = std::expected<T, Error>;

/// @brief Shorthand for returning an Error from a function with a Result.
/// @param code the reason
/// @param message one sentence for a human reader
[[nodiscard]] inline auto failure(ErrorCode code, std::string message) -> std::unexpected<Error>
{
    return std::unexpected<Error>(Error{code, std::move(message)});
}
}

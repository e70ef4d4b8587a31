#pragma once

#include "burdockspur/contract/outcome.hpp"
#include "burdockspur/core/error.hpp"

#include <string>

namespace Burdockspur
{
/// @brief The answer to a caller's request.
struct RequestAnswer {
    Outcome m_outcome = Outcome::Refused;
    ErrorCode m_code = ErrorCode::Internal; ///< meaningless for Outcome::Answered
    std::string m_requestId;
    std::string m_worker; ///< last worker that the request was sent to; may be empty
    std::string m_body; ///< Answered and Failed: body of the worker's response
};
}

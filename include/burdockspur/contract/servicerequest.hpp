#pragma once

#include "burdockspur/core/clock.hpp"

#include <string>

namespace Burdockspur
{
/// @brief A latency-critical request of a caller.
struct ServiceRequest {
    std::string m_id; ///< unique over all entry hosts
    std::string m_service;
    std::string m_caller;
    std::string m_idempotencyKey; ///< empty when the caller gave none
    bool m_idempotent = false; ///< may be sent again when the outcome of an attempt is unknown
    TimePoint m_deadline;
    std::string m_body;
};
}

#pragma once

#include "standins/fault.hpp"

#include <array>

namespace Burdockspur::Standins
{
/// @brief Faults and limits of the platform's services.
struct PlatformFaults {
    Fault m_tableOutage; ///< table calls are refused with 503
    Fault m_tableSilent; ///< table calls are accepted, have no effect and are never answered
    Fault m_tableSlowMs; ///< delay of table answers in ms
    Fault m_writesPerSecond; ///< limit on rows and objects written; 0: unlimited
    Fault m_readsPerSecond; ///< limit on read calls; 0: unlimited
    Fault m_loseWriteAnswers; ///< share of transactions that take effect but are not answered
    Fault m_objectOutage; ///< object calls are refused with 503
    Fault m_objectSlowMs; ///< delay of object answers in ms
    Fault m_hostListOutage; ///< host list calls are refused with 503
    Fault m_hostListLagMs; ///< time in ms until a change of the host list is visible
};

/// @brief Names of the platform's faults.
inline constexpr std::array<FaultEntry<PlatformFaults>, 10> platformFaultTable{{
    {"table_outage", &PlatformFaults::m_tableOutage},
    {"table_silent", &PlatformFaults::m_tableSilent},
    {"table_slow_ms", &PlatformFaults::m_tableSlowMs},
    {"writes_per_s", &PlatformFaults::m_writesPerSecond},
    {"reads_per_s", &PlatformFaults::m_readsPerSecond},
    {"lose_write_answers", &PlatformFaults::m_loseWriteAnswers},
    {"object_outage", &PlatformFaults::m_objectOutage},
    {"object_slow_ms", &PlatformFaults::m_objectSlowMs},
    {"host_list_outage", &PlatformFaults::m_hostListOutage},
    {"host_list_lag_ms", &PlatformFaults::m_hostListLagMs},
}};
}

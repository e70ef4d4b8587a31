#pragma once

#include <cstdint>
#include <string>

namespace Burdockspur
{
/// @brief A copy that runs.
struct CopyRecord {
    std::string m_worker; ///< id
    std::uint32_t m_priority = 0; ///< of the job's queue
};
}

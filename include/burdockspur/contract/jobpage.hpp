#pragma once

#include "burdockspur/contract/job.hpp"

#include <vector>

namespace Burdockspur
{
/// @brief Part of a list of jobs, in id order.
///
/// The next page begins after the last id. A page can be shorter than its limit although more jobs follow,
/// because the size of a frame bounds it too.
struct JobPage {
    std::vector<Job> m_jobs;
    bool m_hasMore = false; ///< jobs with higher ids exist
};
}

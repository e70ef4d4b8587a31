#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/core/identifiers.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief A queue that callers submit jobs to, with the policy for its jobs.
struct JobQueuePolicy {
    std::string m_name;
    std::string m_host; ///< host name of the callers' requests, without a port
    std::string m_prefix; ///< prefix of the request path, ending in a slash
    std::string m_pool; ///< name of the worker pool that runs its tasks
    std::uint32_t m_priority = 0; ///< 0 is the highest priority
    std::uint32_t m_maxAttempts = 1; ///< number of failed runs of a task after which the job fails
    double m_stretch = 1.0; ///< objective for the job's duration, as a multiple of its longest chain of dependent steps
    Milliseconds m_target{0}; ///< constant added to the objective
    bool m_needsAdvice = false; ///< its tasks may run only on workers that the advice service allows

    [[nodiscard]] auto operator==(const JobQueuePolicy &) const -> bool = default;
};

/// @brief A pool of workers.
struct WorkerPool {
    std::string m_name;
    bool m_enforcesCapacity = false; ///< its workers refuse runs that exceed their capacity

    [[nodiscard]] auto operator==(const WorkerPool &) const -> bool = default;
};

/// @brief The operator's configuration: queues, worker pools and limits on callers' connections.
struct FleetConfiguration {
    ConfigVersion m_version = 0;
    std::vector<JobQueuePolicy> m_queues;
    std::vector<WorkerPool> m_pools;
    std::uint32_t m_maxHeaderBytes = 16 * 1024;
    std::uint64_t m_maxBodyBytes = std::uint64_t{256} * 1024;
    Milliseconds m_headerTimeout{3'000};
    Milliseconds m_idleTimeout{15'000};

    /// @brief Finds the queue of a request: among those with its host, the one with the longest matching prefix.
    /// @param host host name of the request, without a port
    /// @param path path of the request
    /// @returns nullptr when no queue matches
    [[nodiscard]] auto queueFor(std::string_view host, std::string_view path) const noexcept -> const JobQueuePolicy *;

    /// @brief Finds a queue by its name; nullptr when there is none.
    [[nodiscard]] auto queueNamed(std::string_view name) const noexcept -> const JobQueuePolicy *;
};
}

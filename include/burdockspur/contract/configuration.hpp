#pragma once

#include "burdockspur/contract/preset.hpp"
#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/machine/resources.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace Burdockspur
{
/// @brief A latency-critical service that workers run.
struct ServiceDefinition {
    std::string m_name;
    Resources m_reservation; ///< reserved on each worker for the service's slots
    std::int64_t m_latencyTargetMs = 0; ///< 0: no target
    double m_objectivePercent = 99.9; ///< percentage of requests to be answered within the target

    [[nodiscard]] auto operator==(const ServiceDefinition &) const -> bool = default;
};

/// @brief A team and the limit on the total resources of its running jobs.
struct TeamQuota {
    std::string m_team;
    Resources m_limit;
    double m_weight = 1.0;

    [[nodiscard]] auto operator==(const TeamQuota &) const -> bool = default;
};

/// @brief The whole configuration: one versioned document with one preset in force.
struct Configuration {
    ConfigVersion m_version = 0;
    std::uint32_t m_shards = 1;
    std::string m_presetInForce;
    std::vector<Preset> m_presets;
    std::vector<ServiceDefinition> m_services;
    std::vector<TeamQuota> m_teams;

    [[nodiscard]] auto operator==(const Configuration &) const -> bool = default;
};
}

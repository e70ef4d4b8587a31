#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace Burdockspur::Bench
{
/// @brief Size of a simulated fleet.
struct FleetSize {
    std::string_view m_name;
    std::size_t m_workers = 0;
    std::size_t m_zones = 0;
    std::int64_t m_cpuMillis = 0; ///< of one worker
    std::int64_t m_memoryMb = 0; ///< of one worker
    std::size_t m_tasksPerWorker = 0; ///< batch tasks that fill a worker's batch capacity
    double m_batchWeight = 1.0; ///< of the site's preset
    double m_tailWeight = 1.0; ///< of the site's preset
};

/// @brief What differs from steady load; times are simulated seconds.
struct PolicyScenario {
    std::string_view m_name;
    double m_waveShare = 0.0; ///< noisy work that arrives during the wave, in shares of the fleet's batch capacity
    bool m_pairingsShift = false; ///< halfway, the classes exchange their effects on the services
    double m_declaredFactor = 1.0; ///< declared sizes are wrong by this factor, in alternating directions
    bool m_badWorkers = false; ///< 5% run at a third of the speed, 5% fail most tasks
    bool m_zoneLost = false; ///< one zone fails halfway
    double m_loadFactor = 1.0; ///< load of services and batch after a third of the run
};

inline constexpr std::array<FleetSize, 3> fleetSizes{{
    {"Trentside", 65, 4, 16'000, 60'000, 21, 2.0, 1.0},
    {"Stjörnuhvel", 50, 3, 32'000, 125'000, 21, 1.0, 2.0},
    {"target", 1'000, 8, 32'000, 125'000, 21, 1.0, 1.0},
}};

inline constexpr std::array<PolicyScenario, 7> policyScenarios{{
    {.m_name = "steady"},
    {.m_name = "wave", .m_waveShare = 0.5},
    {.m_name = "shift", .m_pairingsShift = true},
    {.m_name = "sizes", .m_declaredFactor = 10.0},
    {.m_name = "workers", .m_badWorkers = true},
    {.m_name = "zone", .m_zoneLost = true},
    {.m_name = "twice", .m_loadFactor = 2.0},
}};
}

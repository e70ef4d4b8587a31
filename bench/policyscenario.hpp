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
    std::int64_t m_cpuMillis = 0; ///< capacity of one worker
    std::int64_t m_memoryMb = 0; ///< capacity of one worker
    std::size_t m_tasksPerWorker = 0; ///< number of mean batch tasks that fill the batch capacity of a worker
    double m_batchWeight = 1.0; ///< weight from the preset of the site
    double m_tailWeight = 1.0; ///< weight from the preset of the site
};

/// @brief Deviations from steady load in a simulation.
struct PolicyScenario {
    std::string_view m_name;
    double m_waveShare = 0.0; ///< additional tasks of the noisy class during the wave, as a share of the fleet's batch capacity
    bool m_swapsEffects = false; ///< halfway through the run, the effects of each class on the two services are exchanged
    double m_declaredFactor = 1.0; ///< declared sizes are too high by this factor for every second class and too low for the others
    bool m_hasFaultyWorkers = false; ///< 5% of the workers run at a third of the speed, another 5% fail most tasks
    bool m_zoneFails = false; ///< one zone fails halfway through the run
    double m_loadFactor = 1.0; ///< factor on the load of services and batch work after a third of the run
};

inline constexpr std::array<FleetSize, 3> fleetSizes{{
    {"Trentside", 65, 4, 16'000, 60'000, 21, 2.0, 1.0},
    {"Stjörnuhvel", 50, 3, 32'000, 125'000, 21, 1.0, 2.0},
    {"target", 1'000, 8, 32'000, 125'000, 21, 1.0, 1.0},
}};

inline constexpr std::array<PolicyScenario, 7> policyScenarios{{
    {.m_name = "steady"},
    {.m_name = "wave", .m_waveShare = 0.5},
    {.m_name = "shift", .m_swapsEffects = true},
    {.m_name = "sizes", .m_declaredFactor = 10.0},
    {.m_name = "workers", .m_hasFaultyWorkers = true},
    {.m_name = "zone", .m_zoneFails = true},
    {.m_name = "twice", .m_loadFactor = 2.0},
}};
}

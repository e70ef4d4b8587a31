#pragma once

#include "burdockspur/contract/job.hpp"
#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/shard/shardsettings.hpp"
#include "burdockspur/shard/workertable.hpp"
#include "latencyhistogram.hpp"
#include "policyresult.hpp"
#include "policyscenario.hpp"
#include "policysetup.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <vector>

namespace Burdockspur::Bench
{
/// @brief Simulates a fleet in one scenario with one placement policy.
///
/// Each worker runs one of two services. A job class slows a service down by its effect times its share of the
/// worker's processors times a factor that grows with the load. Usage and tail reports arrive with a delay. When the
/// tasks of a worker exceed its memory, the newest ones are stopped and restart from their last checkpoint.
class PolicySimulation
{
public:
    PolicySimulation(const FleetSize &size, const PolicyScenario &scenario, std::string_view policy, std::uint64_t seed);

    [[nodiscard]] auto run() -> PolicyResult;

private:
    struct Task {
        std::string m_id;
        std::size_t m_class = 0;
        JobSpec m_declared;
        JobSpec m_reserved; ///< the declared job with the reserved resources
        Resources m_use;
        double m_remainingSeconds = 0.0; ///< remaining work at full speed
        double m_uncheckpointedSeconds = 0.0; ///< work since the last checkpoint
        double m_startedAt = 0.0;
    };
    struct Machine {
        Worker *m_worker = nullptr;
        std::size_t m_service = 0;
        std::size_t m_zone = 0;
        double m_speed = 1.0;
        double m_failureShare = 0.0; ///< share of its tasks that fail
        bool m_isLost = false;
        std::vector<Task> m_tasks;
        double m_nextReportAt = 0.0;
    };
    struct Report {
        double m_arrivesAt = 0.0;
        double m_measuredAt = 0.0;
        std::size_t m_machine = 0;
        double m_load = 0.0;
        double m_ratio = 0.0;
        std::vector<std::pair<std::size_t, Resources>> m_usage; ///< class and usage of each task
    };

    auto buildFleet() -> void;
    auto submit(std::size_t jobClass) -> void;
    auto submitArrivals() -> void;
    auto placeQueuedTasks() -> void;
    [[nodiscard]] auto placeTask(Task &task) -> bool;
    auto failZone() -> void;
    auto advanceTasks(Machine &machine) -> void;
    auto finishTask(Machine &machine, std::size_t index) -> void;
    auto removeTask(Machine &machine, std::size_t index) -> Task;
    auto stopOversizedTasks(Machine &machine) -> void;
    auto sampleLatencies(Machine &machine, std::size_t index) -> void;
    auto applyReports() -> void;
    auto applyReaction(const Report &report) -> void;
    auto updateShare(const Machine &machine, std::size_t jobClass) -> void;
    [[nodiscard]] auto throttleOf(const Machine &machine, const Task &task) const -> double;
    [[nodiscard]] auto slowdownOf(const Machine &machine) const -> double;
    [[nodiscard]] auto currentLoad() const noexcept -> double;
    [[nodiscard]] auto drawNormal() noexcept -> double;
    [[nodiscard]] auto currentTime() const noexcept -> TimePoint;

    FleetSize m_size;
    PolicyScenario m_scenario;
    ShardSettings m_settings;
    WorkerTable m_table;
    PolicySetup m_setup;
    RandomSource m_arrivalRandom; ///< separate from the other sources, so that every policy gets the same load
    RandomSource m_requestRandom;
    RandomSource m_choiceRandom;
    std::vector<Machine> m_machines;
    std::deque<Task> m_queue;
    std::deque<Report> m_reports;
    std::vector<PlacementCandidate> m_candidates;
    LatencyHistogram m_latencies;
    PolicyResult m_result;
    std::uint64_t m_requestCount = 0;
    std::uint64_t m_requestsWithinTarget = 0;
    std::uint64_t m_nextTask = 0;
    double m_now = 0.0;
    double m_arrivalsDue = 0.0; ///< fractional number of tasks to submit
    double m_waveArrivalsDue = 0.0;
    double m_searchSeconds = 0.0;
};
}

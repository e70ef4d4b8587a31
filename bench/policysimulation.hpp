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
/// @brief Runs one scenario with one policy in simulated time.
///
/// Each worker runs one of two services. A job class slows a service by its effect times its share of the
/// worker's processors times a factor that grows with the load. Usage and tail reports arrive late. A task
/// that exceeds the worker's memory is stopped and starts again from the beginning.
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
        JobSpec m_reserved; ///< the declared job with the reserved amounts
        Resources m_use;
        double m_left = 0.0; ///< seconds of work at full speed
        double m_done = 0.0; ///< seconds since the last checkpoint
        double m_started = 0.0;
    };
    struct Machine {
        Worker *m_worker = nullptr;
        std::size_t m_service = 0;
        std::size_t m_zone = 0;
        double m_speed = 1.0;
        double m_failureShare = 0.0; ///< of its tasks
        bool m_lost = false;
        std::vector<Task> m_tasks;
        double m_nextReport = 0.0;
    };
    struct Report {
        double m_arrives = 0.0;
        double m_taken = 0.0;
        std::size_t m_machine = 0;
        double m_load = 0.0;
        double m_ratio = 0.0;
        std::vector<std::pair<std::size_t, Resources>> m_usage; ///< class and usage of each task
    };

    auto buildFleet() -> void;
    auto submit(std::size_t jobClass) -> void;
    auto arrive() -> void;
    auto place() -> void;
    [[nodiscard]] auto placeTask(Task &task) -> bool;
    auto loseZone() -> void;
    auto advance(Machine &machine) -> void;
    auto finishTask(Machine &machine, std::size_t index) -> void;
    auto removeTask(Machine &machine, std::size_t index) -> Task;
    auto killOversized(Machine &machine) -> void;
    auto measure(Machine &machine, std::size_t index) -> void;
    auto learn() -> void;
    auto react(const Report &report) -> void;
    auto updateShare(const Machine &machine, std::size_t jobClass) -> void;
    [[nodiscard]] auto throttleOf(const Machine &machine, const Task &task) const -> double;
    [[nodiscard]] auto slowdownOf(const Machine &machine) const -> double;
    [[nodiscard]] auto loadNow() const noexcept -> double;
    [[nodiscard]] auto normal() noexcept -> double;
    [[nodiscard]] auto time() const noexcept -> TimePoint;

    FleetSize m_size;
    PolicyScenario m_scenario;
    ShardSettings m_settings;
    WorkerTable m_table;
    PolicySetup m_subject;
    RandomSource m_arrivals; ///< separate sources, so that each policy meets the same load
    RandomSource m_requests;
    RandomSource m_choices;
    std::vector<Machine> m_machines;
    std::deque<Task> m_queue;
    std::deque<Report> m_reports;
    std::vector<PlacementCandidate> m_candidates;
    LatencyHistogram m_latencies;
    PolicyResult m_result;
    std::uint64_t m_requestCount = 0;
    std::uint64_t m_inTarget = 0;
    std::uint64_t m_nextTask = 0;
    double m_now = 0.0;
    double m_owed = 0.0; ///< arrivals that the rate has accumulated
    double m_owedWave = 0.0;
    double m_searchSeconds = 0.0;
};
}

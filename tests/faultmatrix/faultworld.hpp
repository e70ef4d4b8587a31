#pragma once

#include "faultmatrix/entryhost.hpp"
#include "faultmatrix/schedulerhost.hpp"
#include "faultmatrix/simulatedplatform.hpp"
#include "faultmatrix/simulatedworker.hpp"
#include "faultmatrix/storelinks.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Burdockspur::FaultMatrix
{
/// @brief Three schedulers, two entry hosts and three workers that run a fixed load while faults strike.
class FaultWorld
{
public:
    /// @brief What a fault does when its step is reached.
    using Strike = void (FaultWorld::*)(const Message &, Passage &);

    explicit FaultWorld(std::uint64_t seed, const Guards &guards = {});

    /// @brief Lets a fault strike at a step.
    /// @param step where
    /// @param strike what
    /// @param occurrence number of messages of the step that pass before
    auto arm(Step step, Strike strike, int occurrence) -> void;

    /// @brief Runs the scenario that leads to the step, until everything has ended.
    auto run(Step step) -> void;

    /// @brief Broken guarantees, each with the id of its invariant.
    [[nodiscard]] auto violations() const -> const std::vector<std::string> &
    {
        return m_platform.m_violations;
    }

    /// @brief Number of armed faults that struck.
    [[nodiscard]] auto strikes() const noexcept -> int
    {
        return m_strikes;
    }

    /// @brief Number of events that the decision code handled.
    [[nodiscard]] auto steps() const noexcept -> std::size_t
    {
        return m_simulation.m_steps;
    }

    // Faults.
    auto killProcess(const Message &message, Passage &passage) -> void;
    auto pauseProcess(const Message &message, Passage &passage) -> void;
    auto loseMessage(const Message &message, Passage &passage) -> void;
    auto repeatMessage(const Message &message, Passage &passage) -> void;
    auto delayMessage(const Message &message, Passage &passage) -> void;
    auto loseAnswer(const Message &message, Passage &passage) -> void;
    auto failStore(const Message &message, Passage &passage) -> void;
    auto silenceStore(const Message &message, Passage &passage) -> void;
    auto slowStore(const Message &message, Passage &passage) -> void;
    auto limitStore(const Message &message, Passage &passage) -> void;
    auto crashWorker(const Message &message, Passage &passage) -> void;
    auto pauseWorker(const Message &message, Passage &passage) -> void;
    auto failTasks(const Message &message, Passage &passage) -> void;
    auto leaveWorker(const Message &message, Passage &passage) -> void;
    auto freezeHostList(const Message &message, Passage &passage) -> void;
    auto cutLink(const Message &message, Passage &passage) -> void;
    auto raceOperators(const Message &message, Passage &passage) -> void;
    auto cancelWave(const Message &message, Passage &passage) -> void;
    auto submitImpossible(const Message &message, Passage &passage) -> void;
    auto misdeclare(const Message &message, Passage &passage) -> void;

    // Scenarios, one for each step that the basic load does not reach.
    auto prepareNothing() -> void;
    auto prepareEviction() -> void;
    auto prepareCancel() -> void;
    auto prepareTakeover() -> void;
    auto prepareDrain() -> void;
    auto prepareConfiguration() -> void;
    auto prepareSettle() -> void;

private:
    struct ArmedFault {
        Step m_step = Step::Submit;
        Strike m_strike = nullptr;
        int m_left = 0;
    };

    struct SubmittedJob {
        JobSpec m_spec;
        bool m_accepted = false;
        bool m_cancelled = false; ///< a caller cancels it until it has ended
    };

    struct CallerRequest {
        std::size_t m_host = 0;
        ServiceRequest m_request;
        std::uint64_t m_life = 0; ///< of the entry host when it arrived; 0 before
        bool m_drained = false; ///< was in progress when its entry host was drained
        std::vector<RequestAnswer> m_answers;
    };

    struct Change {
        std::string m_value;
        std::string m_operation;
        TimePoint m_begin;
        bool m_done = false;
    };

    struct SeenVersion {
        std::uint64_t m_life = 0;
        std::uint64_t m_version = 0;
        TimePoint m_since; ///< start of the life
    };

    auto inspect(const Message &message) -> Passage;
    auto beginLoad() -> void;
    auto submit(const std::string &job, std::size_t attempt) -> void;
    auto cancel(const std::string &job, std::size_t attempt) -> void;
    auto sendRequest(std::uint64_t ticket) -> void;
    auto advanceChange() -> void;
    auto writeChange(Process &from, const std::string &value, std::uint64_t version, const std::function<void(CommitResult::Status)> &result) -> void;
    auto step() -> void;
    auto observeConfiguration() -> void;
    auto observeVersion(const Process &process, std::uint64_t version) -> void;
    auto restartLater(Process &process) -> void;
    auto setListed(SimulatedWorker &worker, HostState state) -> void;
    auto switchFor(int &counter) -> void;

    [[nodiscard]] auto processOf(const Message &message) -> Process &;
    [[nodiscard]] auto workerOf(const Message &message) -> SimulatedWorker &;
    [[nodiscard]] auto owner() -> SchedulerHost *;
    [[nodiscard]] auto isQuiet() const -> bool;
    [[nodiscard]] auto openWork() const -> std::string;

    auto check() -> void;
    auto checkTasks() -> void;
    auto checkWorkers() -> void;
    auto checkRequests() -> void;
    auto checkRequest(std::uint64_t ticket, const CallerRequest &caller) -> void;
    auto checkConfiguration() -> void;
    auto violate(std::string what) -> void;
    [[nodiscard]] auto listedLeavingAt(const SimulatedWorker &worker) const -> TimePoint;
    [[nodiscard]] auto runsOf(const ServiceRequest &request) const -> int;

    Simulation m_simulation;
    SimulatedPlatform m_platform;
    Workers m_workers;
    std::vector<std::unique_ptr<SchedulerHost>> m_schedulers;
    EntryHost::Entries m_entries;
    std::vector<std::unique_ptr<TableLink>> m_operators; ///< table as each entry host reaches it
    std::vector<ArmedFault> m_armed;
    std::map<std::string, SubmittedJob> m_jobs;
    std::map<std::uint64_t, CallerRequest> m_requests;
    std::vector<Change> m_changes;
    std::map<std::string, SeenVersion> m_versions; ///< by process
    std::vector<std::pair<TimePoint, TimePoint>> m_freezes; ///< of the host list
    std::uint64_t m_configVersion = 0; ///< of the configuration row
    TimePoint m_configChanged;
    std::set<std::string> m_impossible;
    TimePoint m_start;
    TimePoint m_healed; ///< the last fault has ended by then
    int m_strikes = 0;
    bool m_loseForward = false;
};
}

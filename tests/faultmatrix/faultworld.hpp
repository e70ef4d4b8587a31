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
/// @brief Simulates three schedulers, two entry hosts and three workers under a fixed load, injects faults and checks the
/// invariants.
class FaultWorld
{
public:
    /// @brief Injects a fault when a message of its step is sent.
    using FaultInjector = void (FaultWorld::*)(const Message &, Delivery &);

    explicit FaultWorld(std::uint64_t seed, const Guards &guards = {});

    /// @brief Schedules a fault for a message of a protocol step.
    /// @param step protocol step of the message
    /// @param injector injects the fault
    /// @param occurrence number of messages of the step that are sent before without the fault
    auto arm(Step step, FaultInjector injector, int occurrence) -> void;

    /// @brief Runs the scenario that reaches the step until all work has ended, then checks the invariants.
    auto run(Step step) -> void;

    /// @brief Violations found, each starting with the id of the broken invariant.
    [[nodiscard]] auto violations() const -> const std::vector<std::string> &
    {
        return m_platform.m_violations;
    }

    /// @brief Number of armed faults that were injected.
    [[nodiscard]] auto injectedFaults() const noexcept -> int
    {
        return m_injectedFaults;
    }

    /// @brief Number of events that the decision code handled.
    [[nodiscard]] auto steps() const noexcept -> std::size_t
    {
        return m_simulation.m_steps;
    }

    // Injectors of faults.
    auto killProcess(const Message &message, Delivery &delivery) -> void;
    auto pauseProcess(const Message &message, Delivery &delivery) -> void;
    auto loseMessage(const Message &message, Delivery &delivery) -> void;
    auto repeatMessage(const Message &message, Delivery &delivery) -> void;
    auto delayMessage(const Message &message, Delivery &delivery) -> void;
    auto loseAnswer(const Message &message, Delivery &delivery) -> void;
    auto failStore(const Message &message, Delivery &delivery) -> void;
    auto silenceStore(const Message &message, Delivery &delivery) -> void;
    auto slowStore(const Message &message, Delivery &delivery) -> void;
    auto limitStore(const Message &message, Delivery &delivery) -> void;
    auto crashWorker(const Message &message, Delivery &delivery) -> void;
    auto pauseWorker(const Message &message, Delivery &delivery) -> void;
    auto failTasks(const Message &message, Delivery &delivery) -> void;
    auto markWorkerLeaving(const Message &message, Delivery &delivery) -> void;
    auto freezeHostList(const Message &message, Delivery &delivery) -> void;
    auto cutLink(const Message &message, Delivery &delivery) -> void;
    auto raceOperators(const Message &message, Delivery &delivery) -> void;
    auto cancelWave(const Message &message, Delivery &delivery) -> void;
    auto submitImpossible(const Message &message, Delivery &delivery) -> void;
    auto misdeclare(const Message &message, Delivery &delivery) -> void;

    // Scenarios that lead to the steps which the basic load does not reach.
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
        FaultInjector m_injector = nullptr;
        int m_left = 0;
    };

    struct SubmittedJob {
        JobSpec m_spec;
        bool m_accepted = false;
        bool m_cancelled = false; ///< a caller repeats its cancellation until the job has ended
    };

    struct CallerRequest {
        std::size_t m_host = 0;
        ServiceRequest m_request;
        std::uint64_t m_processGeneration = 0; ///< of the entry host when the request arrived; 0 before
        bool m_drained = false; ///< the request was in progress when its entry host was drained
        std::vector<RequestAnswer> m_answers;
    };

    struct OperatorChange {
        std::string m_value;
        std::string m_operation;
        TimePoint m_begin;
        bool m_done = false;
    };

    struct ObservedVersion {
        std::uint64_t m_processGeneration = 0;
        std::uint64_t m_version = 0;
        TimePoint m_since; ///< when this generation of the process was first observed
    };

    auto inspect(const Message &message) -> Delivery;
    auto scheduleLoad() -> void;
    auto submit(const std::string &job, std::size_t attempt) -> void;
    auto cancel(const std::string &job, std::size_t attempt) -> void;
    auto sendRequest(std::uint64_t ticket) -> void;
    auto advanceConfigChange() -> void;
    auto writeConfigChange(Process &from, const std::string &value, std::uint64_t version, const std::function<void(CommitResult::Status)> &result) -> void;
    auto step() -> void;
    auto observeConfiguration() -> void;
    auto observeVersion(const Process &process, std::uint64_t version) -> void;
    auto restartLater(Process &process) -> void;
    auto setListed(SimulatedWorker &worker, HostState state) -> void;
    auto activateTemporarily(int &counter) -> void;

    [[nodiscard]] auto processOf(const Message &message) -> Process &;
    [[nodiscard]] auto workerOf(const Message &message) -> SimulatedWorker &;
    [[nodiscard]] auto owner() -> SchedulerHost *;
    [[nodiscard]] auto isIdle() const -> bool;
    [[nodiscard]] auto openWork() const -> std::string;

    auto check() -> void;
    auto checkTasks() -> void;
    auto checkWorkers() -> void;
    auto checkRequests() -> void;
    auto checkRequest(std::uint64_t ticket, const CallerRequest &caller) -> void;
    auto checkConfiguration() -> void;
    auto addViolation(std::string what) -> void;
    [[nodiscard]] auto listedLeavingAt(const SimulatedWorker &worker) const -> TimePoint;
    [[nodiscard]] auto executionsOf(const ServiceRequest &request) const -> int;

    Simulation m_simulation;
    SimulatedPlatform m_platform;
    Workers m_workers;
    std::vector<std::unique_ptr<SchedulerHost>> m_schedulers;
    EntryHost::Entries m_entries;
    std::vector<std::unique_ptr<TableLink>> m_operators; ///< link of each entry host to the table, for changes by operators
    std::vector<ArmedFault> m_armed;
    std::map<std::string, SubmittedJob> m_jobs;
    std::map<std::uint64_t, CallerRequest> m_requests;
    std::vector<OperatorChange> m_changes;
    std::map<std::string, ObservedVersion> m_versions; ///< configuration versions, by name of the process
    std::vector<std::pair<TimePoint, TimePoint>> m_freezes; ///< periods in which the host list is not updated
    std::uint64_t m_configVersion = 0; ///< of the configuration row
    TimePoint m_configChanged;
    std::set<std::string> m_impossible;
    TimePoint m_start;
    TimePoint m_faultsEnd; ///< time by which all injected faults have ended
    int m_injectedFaults = 0;
    bool m_loseForward = false;
};
}

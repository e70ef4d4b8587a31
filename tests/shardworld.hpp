#pragma once

#include "burdockspur/shard/bestfitspread.hpp"
#include "burdockspur/shard/shardclaim.hpp"
#include "burdockspur/shard/shardscheduler.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace Burdockspur::Testing
{
/// @brief Simulates the table, the object store, four workers and two schedulers of one shard, with faults.
///
/// A violated guarantee throws std::runtime_error, which fails the test that runs the simulation.
class ShardWorld
{
public:
    enum class FaultKind : int {
        KillScheduler,
        PauseScheduler,
        StoreOutage,
        CrashWorker,
        PauseWorker,
        DisconnectWorker,
        LeaveWorker,
        CancelJob,
        KindCount,
    };

    struct Fault {
        int m_kind = 0;
        int m_startMs = 0;
        int m_target = 0;
        int m_durationMs = 0;
    };

    /// @param seed seed of all random choices
    /// @param lossPercent probability that a message is lost
    /// @param guards checks of the scheduler that are enabled
    explicit ShardWorld(std::uint64_t seed, std::uint32_t lossPercent, const Guards &guards = {});

    /// @brief Submits jobs, injects the faults in the first minute, ends all faults and runs until the jobs have ended.
    auto run(int jobs, const std::vector<Fault> &faults) -> void;

    std::size_t m_steps = 0; ///< calls of the decision code
    std::size_t m_injectedFaults = 0; ///< injected faults, including lost messages
    std::size_t m_starts = 0; ///< attempts that workers started
    std::size_t m_takeovers = 0;
    std::size_t m_resumed = 0; ///< starts with a checkpoint

private:
    struct Row {
        std::uint64_t m_version = 0;
        std::string m_operation;
        ShardOwnership m_ownership;
        std::vector<JobRecord> m_records;
        std::uint64_t m_sequence = 0;
        std::string m_object;
    };

    struct Task {
        AttemptReport m_report;
        ShardId m_shard = 0;
        Resources m_demand;
        TimePoint m_endsAt;
        bool m_fails = false;
    };

    struct Machine {
        HostRecord m_host;
        Epoch m_epoch = 0; ///< highest epoch of a renewal
        Epoch m_leaseEpoch = 0; ///< epoch for which the lease was granted
        TimePoint m_leaseEnd;
        std::uint64_t m_starts = 0; ///< restarts of the worker process
        std::map<std::uint64_t, std::pair<Epoch, TimePoint>> m_reports; ///< reports sent since the last restart
        std::map<std::string, Task> m_tasks;
        std::map<std::string, AttemptNumber> m_tombstones; ///< by job: this attempt and lower ones are refused
        TimePoint m_pausedUntil;
        TimePoint m_disconnectedUntil;
    };

    struct Node {
        std::string m_name;
        std::uint64_t m_incarnation = 0;
        bool m_alive = true;
        TimePoint m_pausedUntil;
        std::unique_ptr<ShardClaim> m_claim;
        std::unique_ptr<ShardScheduler> m_scheduler;
        std::unique_ptr<RandomSource> m_random;
        bool m_recovering = false;
    };

    using Action = std::function<void()>;

    auto schedule(Duration delay, Action action) -> void;
    auto runUntil(TimePoint end) -> void;
    auto stepNode(std::size_t node) -> void;
    auto execute(std::size_t node, ShardCommand &command) -> void;
    auto deliver(std::size_t node, std::uint64_t incarnation, const std::function<void(Node &)> &handler) -> void;
    auto handleEvent(std::size_t node, std::uint64_t incarnation, ShardEvent value) -> void;
    auto applyClaimChange(Node &node, ShardClaim::Change change) -> void;
    auto restart(std::size_t node) -> void;
    auto injectFault(const Fault &fault) -> void;
    auto listHosts() -> void;
    auto submit(const std::string &id, const JobSpec &spec) -> void;

    auto callStore(std::size_t node, const Action &effect, Action answer, Action lost) -> void;
    auto commit(const std::string &key, std::uint64_t version, std::uint64_t epochVersion, Row value, RowWritten &answer) -> bool;
    auto recordDurable(const std::vector<JobRecord> &records) -> void;
    auto callWorker(std::size_t node, const std::string &worker, std::uint32_t maxDuplicateDelayMs, const std::function<void(bool)> &call, Action lost) -> void;

    auto deliverToMachine(Machine &machine, Duration after, Action action) -> void;
    auto updateTasks(Machine &machine) -> void;
    auto start(Machine &machine, const StartOrder &order) -> StartResult;
    auto stop(Machine &machine, const AttemptOrder &order) -> Result<AttemptReport>;
    auto renew(Machine &machine, const LeaseRenewal &renewal) -> Result<LeaseReport>;
    auto checkpoint(Machine &machine, const AttemptOrder &order) -> Result<AttemptReport>;

    [[nodiscard]] auto hosts() const -> WorkersListed;
    [[nodiscard]] auto delay() -> Duration;
    [[nodiscard]] auto drawFault(std::uint32_t percent) -> bool;
    static auto require(bool holds, const std::string &what) -> void;

    RandomSource m_random;
    std::uint32_t m_lossPercent;
    ShardSettings m_settings;
    BestFitSpread m_policy;
    TimePoint m_now{std::chrono::hours(1)};
    std::multimap<TimePoint, Action> m_actions;
    std::map<std::string, Row> m_table;
    std::map<std::string, std::vector<JobRecord>> m_objects;
    std::map<std::string, Machine> m_machines;
    std::vector<Node> m_nodes;
    std::map<std::uint64_t, std::string> m_tickets;
    std::set<std::string> m_accepted;
    std::map<std::string, JobState> m_ended; ///< terminal states in answers to callers
    std::map<std::string, JobState> m_durableEnds; ///< terminal states in the journal
    std::set<std::string> m_checkpoints; ///< jobs with a checkpoint in the journal
    std::uint64_t m_lastTicket = 0;
    bool m_storeUp = true;
    bool m_faultsEnded = false;
};
}

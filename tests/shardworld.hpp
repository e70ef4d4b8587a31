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
/// @brief A small model of table, object store, workers and two schedulers of one shard in simulated time.
///
/// A broken guarantee throws std::runtime_error, which fails the test that runs the world.
class ShardWorld
{
public:
    enum class FaultKind : int {
        KillScheduler,
        PauseScheduler,
        StoreOutage,
        CrashWorker,
        PauseWorker,
        CutWorker,
        LeaveWorker,
        CancelJob,
        KindCount,
    };

    struct Fault {
        int m_kind = 0;
        int m_atMs = 0;
        int m_target = 0;
        int m_durationMs = 0;
    };

    explicit ShardWorld(std::uint64_t seed, std::uint32_t lossPercent, const Guards &guards = {});

    /// @brief Submits jobs, applies the faults within a minute, heals everything and runs until the jobs have ended.
    auto run(int jobs, const std::vector<Fault> &faults) -> void;

    std::size_t m_steps = 0; ///< events that the decision code handled
    std::size_t m_strikes = 0; ///< faults that struck, lost messages included
    std::size_t m_starts = 0;
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
        Epoch m_epoch = 0;
        Epoch m_granted = 0; ///< epoch that has the lease
        TimePoint m_leaseEnd;
        std::uint64_t m_starts = 0; ///< of the process
        std::map<std::uint64_t, std::pair<Epoch, TimePoint>> m_reports; ///< since the last start
        std::map<std::string, Task> m_tasks;
        std::map<std::string, AttemptNumber> m_tombstones; ///< this and lower attempts never start
        TimePoint m_pausedUntil;
        TimePoint m_cutUntil;
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

    auto at(Duration delay, Action action) -> void;
    auto runUntil(TimePoint end) -> void;
    auto pump(std::size_t node) -> void;
    auto execute(std::size_t node, ShardCommand &command) -> void;
    auto deliver(std::size_t node, std::uint64_t incarnation, const std::function<void(Node &)> &handler) -> void;
    auto event(std::size_t node, std::uint64_t incarnation, ShardEvent value) -> void;
    auto claimChange(Node &node, ShardClaim::Change change) -> void;
    auto restart(std::size_t node) -> void;
    auto apply(const Fault &fault) -> void;
    auto listHosts() -> void;
    auto submit(const std::string &id, const JobSpec &spec) -> void;

    auto storeCall(std::size_t node, const Action &effect, Action answer, Action lost) -> void;
    auto commit(const std::string &key, std::uint64_t version, std::uint64_t epochVersion, Row value, RowWritten &answer) -> bool;
    auto learnDurable(const std::vector<JobRecord> &records) -> void;
    auto workerCall(std::size_t node, const std::string &worker, std::uint32_t latestCopyMs, const std::function<void(bool)> &call, Action lost) -> void;

    auto arrive(Machine &machine, Duration after, Action action) -> void;
    auto settleMachine(Machine &machine) -> void;
    auto start(Machine &machine, const StartOrder &order) -> StartResult;
    auto stop(Machine &machine, const AttemptOrder &order) -> Result<AttemptReport>;
    auto renew(Machine &machine, const LeaseRenewal &renewal) -> Result<LeaseReport>;
    auto checkpoint(Machine &machine, const AttemptOrder &order) -> Result<AttemptReport>;

    [[nodiscard]] auto hosts() const -> WorkersListed;
    [[nodiscard]] auto delay() -> Duration;
    [[nodiscard]] auto chance(std::uint32_t percent) -> bool;
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
    std::map<std::string, JobState> m_ended; ///< ends that callers have seen
    std::map<std::string, JobState> m_durableEnds; ///< ends in the journal
    std::set<std::string> m_checkpoints; ///< jobs with a checkpoint in the journal
    std::uint64_t m_lastTicket = 0;
    bool m_storeUp = true;
    bool m_healed = false;
};
}

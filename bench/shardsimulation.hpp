#pragma once

#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/shard/bestfitspread.hpp"
#include "burdockspur/shard/shardscheduler.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur::Bench
{
/// @brief Runs a ShardScheduler with a journal that commits at once and workers that start tasks at once.
///
/// Only the decisions of the scheduler take time, so that a benchmark measures nothing else.
class ShardSimulation
{
public:
    /// @param workers number of workers of the shard
    explicit ShardSimulation(std::size_t workers);

    /// @brief Recovers the shard with running jobs that are distributed over the workers in turn.
    auto recoverRunningJobs(std::size_t jobs) -> void;

    /// @brief Submits batch jobs.
    auto submit(std::size_t jobs) -> void;

    /// @brief Advances the simulated time by one tick and answers commands until none is left.
    auto runTick() -> void;

    /// @brief Number of attempts started.
    [[nodiscard]] auto starts() const noexcept -> std::uint64_t
    {
        return m_starts;
    }

    /// @brief Number of journal rows written.
    [[nodiscard]] auto rows() const noexcept -> std::uint64_t
    {
        return m_rows;
    }

    /// @brief Number of lease renewals answered.
    [[nodiscard]] auto renewals() const noexcept -> std::uint64_t
    {
        return m_renewals;
    }

    /// @brief Makes all later lease reports list the running attempts as completed.
    auto completeStarted() noexcept -> void
    {
        m_completeStarted = true;
    }

private:
    auto commit(ShardRow row, std::string_view operation) -> void;
    auto answer(WriteJournalRow &command) -> void;
    auto answer(PutSnapshot &command) -> void;
    auto answer(WriteSnapshotRow &command) -> void;
    auto answer(StartAttempt &command) -> void;
    auto answer(RenewLease &command) -> void;
    auto answerCommands() -> void;

    ShardSettings m_settings;
    BestFitSpread m_policy;
    RandomSource m_random{1};
    TimePoint m_now{std::chrono::hours(1)};
    std::vector<HostRecord> m_workers;
    ShardScheduler m_scheduler;
    ShardCommands m_commands;
    std::map<std::string, std::vector<AttemptReport>, std::less<>> m_running; ///< by worker
    std::uint64_t m_submitted = 0;
    std::uint64_t m_starts = 0;
    std::uint64_t m_rows = 0;
    std::uint64_t m_renewals = 0;
    bool m_completeStarted = false;
};
}

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
/// @brief A shard owner whose journal commits at once and whose workers start and complete at once.
///
/// Only the decisions cost time here, so that a probe measures them alone.
class ShardSimulation
{
public:
    /// @param workers workers of the shard
    explicit ShardSimulation(std::size_t workers);

    /// @brief Takes over jobs that run on the workers in turn.
    auto recoverRunning(std::size_t jobs) -> void;

    /// @brief Submits batch jobs.
    auto submit(std::size_t jobs) -> void;

    /// @brief Advances a tick and answers every command until nothing is due.
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

    /// @brief Makes started attempts complete in the next lease report.
    auto completeStarted() noexcept -> void
    {
        m_complete = true;
    }

private:
    auto commit(ShardRow row, std::string_view operation) -> void;
    auto answer(WriteJournalRow &command) -> void;
    auto answer(PutSnapshot &command) -> void;
    auto answer(WriteSnapshotRow &command) -> void;
    auto answer(StartAttempt &command) -> void;
    auto answer(RenewLease &command) -> void;
    auto answerAll() -> void;

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
    bool m_complete = false;
};
}

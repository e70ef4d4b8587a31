#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/shard/conditionalwrite.hpp"
#include "burdockspur/shard/jobrecord.hpp"
#include "burdockspur/shard/shardcommand.hpp"
#include "burdockspur/shard/shardsettings.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief Effect outside the scheduler that follows once a change of a job is durable.
struct DurableEffect {
    enum class Kind : std::uint8_t {
        Answer, ///< answer the caller
        Start, ///< start the assigned attempt
        Acknowledge, ///< acknowledge the end of an attempt to its worker
    };

    Kind m_kind = Kind::Answer;
    EntryTicket m_ticket; ///< Answer: the request to answer
    AttemptNumber m_attempt = 0; ///< Start and Acknowledge: number of the attempt
    std::string m_worker; ///< Acknowledge: worker that ran the attempt
};

/// @brief A changed job and the effects that wait until the change is durable.
struct JobChange {
    std::string m_job;
    AttemptNumber m_attempt = 0; ///< latest attempt in the written record
    std::vector<DurableEffect> m_effects;
};

/// @brief Collects the changed jobs of a tick into a journal row and writes one row at a time.
///
/// A row contains the records as they are when the row is built. A job that changes again while its row is being
/// written is also part of the next row. Effects are returned only after their row is durable.
class Journal
{
public:
    /// @brief Returns the current record of a job.
    using RecordOf = std::function<const JobRecord &(std::string_view)>;

    /// @param shard shard whose changes are written
    /// @param host prefix of the operation ids
    /// @param settings kept by reference
    /// @param epochVersion version of the epoch row, the condition of every write
    Journal(ShardId shard, std::string_view host, const ShardSettings &settings, std::uint64_t epochVersion);

    /// @brief Sets the sequence number of the last durable row, after a recovery.
    auto setLastSequence(std::uint64_t sequence) noexcept -> void;

    /// @brief Marks a job as changed.
    auto recordChange(std::string_view job, TimePoint now) -> void;

    /// @brief Marks a job as changed and adds an effect.
    auto recordChange(std::string_view job, DurableEffect effect, TimePoint now) -> void;

    /// @brief True when the job has a change that is not durable yet.
    [[nodiscard]] auto isPending(std::string_view job) const -> bool;

    /// @brief Number of changes that are not durable yet; a job with two of them counts twice.
    [[nodiscard]] auto pendingChanges() const noexcept -> std::size_t;

    /// @brief Number of effects whose change is not durable yet.
    [[nodiscard]] auto pendingEffects() const noexcept -> std::size_t
    {
        return m_effects;
    }

    /// @brief Builds a row when a tick has passed since its first change, and sends or repeats the write that is due.
    auto tick(const RecordOf &recordOf, TimePoint now, RandomSource &random, ShardCommands &commands) -> void;

    [[nodiscard]] auto onWritten(const RowWritten &answer, TimePoint now, RandomSource &random) -> ConditionalWrite::WriteState;
    [[nodiscard]] auto onRead(const RowRead &answer, TimePoint now, RandomSource &random) -> ConditionalWrite::WriteState;

    /// @brief Removes and returns the changes that became durable since the last call.
    [[nodiscard]] auto takeDurable() -> std::vector<JobChange>;

    /// @brief Removes and returns all changes, after the shard was lost.
    [[nodiscard]] auto takeAll() -> std::vector<JobChange>;

    /// @brief Sequence number of the last durable row.
    [[nodiscard]] auto lastSequence() const noexcept -> std::uint64_t
    {
        return m_sequence;
    }

    [[nodiscard]] auto deadline() const noexcept -> TimePoint;

private:
    auto buildRow(const RecordOf &recordOf, TimePoint now, RandomSource &random) -> void;
    auto applyWriteState(ConditionalWrite::WriteState writeState) -> ConditionalWrite::WriteState;

    ShardId m_shard;
    std::string m_host;
    const ShardSettings &m_settings;
    std::uint64_t m_epochVersion;
    std::uint64_t m_sequence = 0;
    ConditionalWrite m_write;
    std::deque<std::string> m_order; ///< ids of the jobs in m_unwritten, in the order of their first change
    std::map<std::string, std::vector<DurableEffect>, std::less<>> m_unwritten; ///< changes that are in no row yet
    std::map<std::string, JobChange, std::less<>> m_inFlight; ///< changes in the row that is being written
    std::vector<JobChange> m_durable; ///< changes of committed rows that takeDurable() has not returned yet
    std::vector<JobRecord> m_rowRecords; ///< records of the row that is being written
    std::size_t m_effects = 0; ///< effects in m_unwritten and m_inFlight
    TimePoint m_nextRowAt = TimePoint::max(); ///< earliest time at which the next row is built
};
}

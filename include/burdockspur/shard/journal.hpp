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
/// @brief What may happen outside once a change of a job is durable.
struct DurableEffect {
    enum class Kind : std::uint8_t {
        Answer, ///< answer the caller
        Start, ///< start the assigned attempt
        Acknowledge, ///< acknowledge the end of an attempt to its worker
    };

    Kind m_kind = Kind::Answer;
    EntryTicket m_ticket; ///< of an answer
    AttemptNumber m_attempt = 0; ///< of a start or an acknowledgement
    std::string m_worker; ///< of an acknowledgement
};

/// @brief A changed job and the effects that wait for the change.
struct JobChange {
    std::string m_job;
    AttemptNumber m_attempt = 0; ///< latest attempt in the written record
    std::vector<DurableEffect> m_effects;
};

/// @brief Collects the changed jobs of a tick into one journal row at a time.
///
/// A row holds the records as they are when it is cut. A job that changes again while its row is being
/// written goes into the next row as well. Effects are handed back only after their row is durable.
class Journal
{
public:
    /// @brief Current record of a job.
    using RecordOf = std::function<const JobRecord &(std::string_view)>;

    /// @param shard the shard
    /// @param host start of the operation ids
    /// @param settings kept by reference
    /// @param epochVersion version of the epoch row, the condition of every write
    Journal(ShardId shard, std::string_view host, const ShardSettings &settings, std::uint64_t epochVersion);

    /// @brief Continues a recovered journal.
    auto setLastSequence(std::uint64_t sequence) noexcept -> void;

    /// @brief Marks a job as changed.
    auto change(std::string_view job, TimePoint now) -> void;

    /// @brief Marks a job as changed and adds an effect.
    auto change(std::string_view job, DurableEffect effect, TimePoint now) -> void;

    /// @brief True when a change of the job is not known to be durable.
    [[nodiscard]] auto isWaiting(std::string_view job) const -> bool;

    /// @brief Number of changes that are not known to be durable.
    [[nodiscard]] auto waiting() const noexcept -> std::size_t;

    /// @brief Number of effects that wait for their changes.
    [[nodiscard]] auto waitingEffects() const noexcept -> std::size_t
    {
        return m_effects;
    }

    /// @brief Cuts a row when a tick has passed since its first change; repeats a write that is due.
    auto tick(const RecordOf &recordOf, TimePoint now, RandomSource &random, ShardCommands &commands) -> void;

    [[nodiscard]] auto onWritten(const RowWritten &answer, TimePoint now, RandomSource &random) -> ConditionalWrite::Verdict;
    [[nodiscard]] auto onRead(const RowRead &answer, TimePoint now, RandomSource &random) -> ConditionalWrite::Verdict;

    /// @brief Takes the changes of the row that was committed last.
    [[nodiscard]] auto takeDurable() -> std::vector<JobChange>;

    /// @brief Takes every change that is not durable, after the shard was lost.
    [[nodiscard]] auto takeAll() -> std::vector<JobChange>;

    /// @brief Sequence number of the last durable row.
    [[nodiscard]] auto lastSequence() const noexcept -> std::uint64_t
    {
        return m_sequence;
    }

    [[nodiscard]] auto deadline() const noexcept -> TimePoint;

private:
    auto cutRow(const RecordOf &recordOf, TimePoint now, RandomSource &random) -> void;
    auto settle(ConditionalWrite::Verdict verdict) -> ConditionalWrite::Verdict;

    ShardId m_shard;
    std::string m_host;
    const ShardSettings &m_settings;
    std::uint64_t m_epochVersion;
    std::uint64_t m_sequence = 0;
    ConditionalWrite m_write;
    std::deque<std::string> m_order; ///< changed jobs in the order of their first change
    std::map<std::string, std::vector<DurableEffect>, std::less<>> m_open;
    std::map<std::string, JobChange, std::less<>> m_inFlight;
    std::vector<JobChange> m_durable;
    std::vector<JobRecord> m_row;
    std::size_t m_effects = 0;
    TimePoint m_cutAt = TimePoint::max();
};
}

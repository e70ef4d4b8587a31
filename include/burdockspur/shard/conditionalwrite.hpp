#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/core/guards.hpp"
#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/shard/storeevents.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace Burdockspur
{
/// @brief One conditional write of a row, until it is known to have taken effect or never to.
///
/// After a lost answer the row is read back and its operation id compared. The write is repeated only
/// with the same conditions, so a late effect of the first copy makes the second one fail.
class ConditionalWrite
{
public:
    /// @brief What an answer says about the write.
    enum class Verdict : std::uint8_t {
        Pending,
        Committed,
        Rejected, ///< the row has other content; this write never takes effect, or took effect and was overwritten
    };

    /// @brief What has to be sent now.
    enum class Need : std::uint8_t {
        Nothing,
        Write,
        ReadBack,
    };

    /// @param timeout after which an answer counts as lost
    /// @param guards checks that are on
    /// @param longestRetry bound of the wait before a write or its read-back is repeated
    explicit ConditionalWrite(Duration timeout, const Guards &guards = {}, Duration longestRetry = Duration::max()) noexcept
        : m_timeout(timeout)
        , m_longestRetry(longestRetry)
        , m_guards(guards)
    {
    }

    /// @brief Begins a write; none may be in progress.
    /// @param operation unique id, stored in the row
    /// @param version required version of the row, 0 for an absent row
    auto begin(std::string operation, std::uint64_t version) -> void;

    /// @brief Forgets the write in progress.
    auto abandon() noexcept -> void;

    /// @brief What to send at this time; counts as sent.
    [[nodiscard]] auto next(TimePoint now, RandomSource &random) -> Need;

    /// @brief Takes the answer to the write; answers to other operations are ignored.
    [[nodiscard]] auto onWritten(const RowWritten &answer, TimePoint now, RandomSource &random) -> Verdict;

    /// @brief Takes the answer to the read-back; answers for other operations are ignored.
    [[nodiscard]] auto onRead(const RowRead &answer, TimePoint now, RandomSource &random) -> Verdict;

    /// @brief Time at which next() has something to send.
    [[nodiscard]] auto deadline() const noexcept -> TimePoint;

    [[nodiscard]] auto inProgress() const noexcept -> bool
    {
        return m_step != Step::Idle;
    }

    [[nodiscard]] auto operation() const noexcept -> std::string_view
    {
        return m_operation;
    }

private:
    enum class Step : std::uint8_t {
        Idle,
        WaitingToWrite,
        Writing,
        WaitingToRead,
        Reading,
    };

    [[nodiscard]] auto isOwn(const RowStamp &stamp) const noexcept -> bool;
    [[nodiscard]] auto conflictIsOwn(const RowWritten &answer) const noexcept -> bool;
    auto retryLater(Step step, TimePoint now, RandomSource &random) -> Verdict;
    auto finish(Verdict verdict) noexcept -> Verdict;

    Duration m_timeout;
    Duration m_longestRetry;
    Guards m_guards;
    Step m_step = Step::Idle;
    std::string m_operation;
    std::uint64_t m_version = 0;
    std::uint32_t m_retries = 0;
    TimePoint m_at;
};
}

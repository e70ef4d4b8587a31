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
/// @brief Repeats a conditional write of a row until it is known whether the write took effect.
///
/// After a lost answer, the row is read back and its operation id compared. The write is repeated only with the same
/// conditions, so a late effect of the first copy makes the second one fail.
class ConditionalWrite
{
public:
    /// @brief State of the write after an answer of the store.
    enum class WriteState : std::uint8_t {
        Pending, ///< the outcome is not known yet
        Committed,
        Rejected, ///< the row has other content: this write never takes effect, or its effect was overwritten
    };

    /// @brief Command that has to be sent now.
    enum class Action : std::uint8_t {
        Nothing,
        Write,
        ReadBack,
    };

    /// @param timeout time after which an answer counts as lost
    /// @param guards checks that are enabled; tests disable some
    /// @param longestRetry longest wait before a write or read-back is repeated
    explicit ConditionalWrite(Duration timeout, const Guards &guards = {}, Duration longestRetry = Duration::max()) noexcept
        : m_timeout(timeout)
        , m_longestRetry(longestRetry)
        , m_guards(guards)
    {
    }

    /// @brief Begins a write; no other write may be in progress.
    /// @param operation unique id that is stored in the row
    /// @param version required version of the row; 0 for an absent row
    auto begin(std::string operation, std::uint64_t version) -> void;

    /// @brief Discards the write in progress; its effect on the row stays unknown.
    auto abandon() noexcept -> void;

    /// @brief Returns the command to send now; the caller must send it.
    [[nodiscard]] auto next(TimePoint now, RandomSource &random) -> Action;

    /// @brief Processes the answer to the write; ignores answers to other operations.
    [[nodiscard]] auto onWritten(const RowWritten &answer, TimePoint now, RandomSource &random) -> WriteState;

    /// @brief Processes the answer to the read-back; ignores answers for other operations.
    [[nodiscard]] auto onRead(const RowRead &answer, TimePoint now, RandomSource &random) -> WriteState;

    /// @brief Time at which next() returns a command.
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
    [[nodiscard]] auto isOwnConflict(const RowWritten &answer) const noexcept -> bool;
    auto retryLater(Step step, TimePoint now, RandomSource &random) -> WriteState;
    auto finish(WriteState writeState) noexcept -> WriteState;

    Duration m_timeout;
    Duration m_longestRetry;
    Guards m_guards;
    Step m_step = Step::Idle;
    std::string m_operation;
    std::uint64_t m_version = 0;
    std::uint32_t m_retries = 0; ///< since the write was begun
    TimePoint m_nextAt; ///< when the next command is sent, or when the awaited answer counts as lost
};
}

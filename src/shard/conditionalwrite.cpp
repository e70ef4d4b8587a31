#include "burdockspur/shard/conditionalwrite.hpp"

#include "burdockspur/core/invariant.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
constexpr Milliseconds firstRetry{50};
constexpr std::uint32_t maxDoublings = 6; // waits at most 3.2 s, so that writes resume soon after an outage
}

auto ConditionalWrite::begin(std::string operation, std::uint64_t version) -> void
{
    requireInvariant(!inProgress(), "one_write_at_a_time", m_operation);
    m_step = Step::WaitingToWrite;
    m_operation = std::move(operation);
    m_version = version;
    m_retries = 0;
    m_nextAt = TimePoint::min();
}

auto ConditionalWrite::abandon() noexcept -> void
{
    m_step = Step::Idle;
}

auto ConditionalWrite::next(TimePoint now, RandomSource &random) -> Action
{
    if (!inProgress() || now < m_nextAt) {
        return Action::Nothing;
    }
    if (m_step == Step::Writing || m_step == Step::Reading) {
        static_cast<void>(retryLater(Step::WaitingToRead, now, random));
        m_nextAt = now;
    }
    const bool writes = m_step == Step::WaitingToWrite;
    m_step = writes ? Step::Writing : Step::Reading;
    m_nextAt = now + m_timeout;
    return writes ? Action::Write : Action::ReadBack;
}

auto ConditionalWrite::onWritten(const RowWritten &answer, TimePoint now, RandomSource &random) -> WriteState
{
    if (!inProgress() || answer.m_operation != m_operation) {
        return WriteState::Pending;
    }
    switch (answer.m_status) {
    case CommitResult::Status::Committed:
        return finish(WriteState::Committed);
    case CommitResult::Status::Conflict:
        return finish(isOwnConflict(answer) ? WriteState::Committed : WriteState::Rejected);
    case CommitResult::Status::NotApplied:
        // An earlier copy may still take effect; a repeated write with the same conditions fails then.
        return m_step == Step::Writing ? retryLater(Step::WaitingToWrite, now, random) : WriteState::Pending;
    case CommitResult::Status::Unknown:
        break;
    }
    return m_step == Step::Writing ? retryLater(Step::WaitingToRead, now, random) : WriteState::Pending;
}

auto ConditionalWrite::onRead(const RowRead &answer, TimePoint now, RandomSource &random) -> WriteState
{
    if (m_step != Step::Reading || answer.m_operation != m_operation) {
        return WriteState::Pending;
    }
    if (!answer.m_succeeded) {
        return retryLater(Step::WaitingToRead, now, random);
    }
    if (isOwn(answer.m_stamp)) {
        return finish(WriteState::Committed);
    }
    if (answer.m_stamp.m_version == m_version) {
        m_step = Step::WaitingToWrite;
        m_nextAt = now;
        return WriteState::Pending;
    }
    return finish(WriteState::Rejected);
}

auto ConditionalWrite::isOwn(const RowStamp &stamp) const noexcept -> bool
{
    // With this guard disabled, any newer row after a lost answer counts as written by this write.
    const bool isAssumed = !m_guards.m_operationId && m_retries > 0 && stamp.m_version > m_version;
    return stamp.m_operation == m_operation || isAssumed;
}

auto ConditionalWrite::isOwnConflict(const RowWritten &answer) const noexcept -> bool
{
    // With this guard disabled, the owner continues as if its epoch were still in force.
    return answer.m_fenced ? !m_guards.m_epochCheck : isOwn(answer.m_stamp);
}

auto ConditionalWrite::deadline() const noexcept -> TimePoint
{
    return inProgress() ? m_nextAt : TimePoint::max();
}

auto ConditionalWrite::retryLater(Step step, TimePoint now, RandomSource &random) -> WriteState
{
    m_step = step;
    const auto longest = std::min<Duration>(firstRetry * (1U << std::min(m_retries, maxDoublings)), m_longestRetry);
    ++m_retries;
    // The jitter spreads the retries of schedulers that were refused at the same time.
    m_nextAt = now + std::chrono::duration_cast<Duration>(longest * (0.5 + 0.5 * random.unit()));
    return WriteState::Pending;
}

auto ConditionalWrite::finish(WriteState writeState) noexcept -> WriteState
{
    m_step = Step::Idle;
    return writeState;
}
}

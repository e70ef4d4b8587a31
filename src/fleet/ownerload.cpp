#include "burdockspur/fleet/ownerload.hpp"

#include "burdockspur/fleet/fleetanswer.hpp"
#include "burdockspur/fleet/fleetscheduler.hpp"
#include "burdockspur/operations/log.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace Burdockspur
{
namespace
{
/// One line a second is few compared with the lines that decisions log.
constexpr Milliseconds logInterval{1'000};
/// With a larger share of its time spent in rounds, the host is too slow for the fleet. The line is then a warning, because the log's
/// rate limit, which a busy owner reaches, never suppresses warnings.
constexpr double overloadedShare = 0.9;

[[nodiscard]] auto inMs(Duration duration) -> std::int64_t
{
    return std::chrono::duration_cast<Milliseconds>(duration).count();
}
}

auto OwnerLoad::recordCommands(std::span<const FleetCommand> commands, TimePoint now) -> void
{
    for (const auto &command : commands) {
        m_sums.m_starts += std::holds_alternative<RunStartOrder>(command) ? 1 : 0;
        m_sums.m_reports += std::holds_alternative<ReportOrder>(command) ? 1 : 0;
        m_commitSentAt = std::holds_alternative<CommitOrder>(command) ? now : m_commitSentAt;
    }
}

auto OwnerLoad::recordAnswerWait(TimePoint receivedAt, TimePoint now) -> void
{
    m_sums.m_longestAnswerWait = std::max(m_sums.m_longestAnswerWait, now - receivedAt);
}

auto OwnerLoad::recordCommit(const CommitAnswer &answer, TimePoint now) -> void
{
    m_sums.m_commits += answer.m_isStored ? 1 : 0;
    m_sums.m_refusedCommits += answer.m_isStored ? 0 : 1;
    m_sums.m_longestStoreCall = std::max(m_sums.m_longestStoreCall, answer.m_answeredAt - answer.m_sentAt);
    // A sign of life of the store duty is answered before the first commit of the scheduler is sent.
    if (m_commitSentAt != TimePoint{}) {
        m_sums.m_longestCommit = std::max(m_sums.m_longestCommit, now - m_commitSentAt);
    }
}

auto OwnerLoad::recordRound(const FleetScheduler &scheduler, std::size_t inputs, TimePoint beganAt, TimePoint now) -> void
{
    ++m_sums.m_rounds;
    m_sums.m_inputs += inputs;
    m_sums.m_mostInputs = std::max(m_sums.m_mostInputs, inputs);
    m_sums.m_busy += now - beganAt;
    m_sums.m_longestRound = std::max(m_sums.m_longestRound, now - beganAt);
    if (scheduler.isOwner() && now - m_loggedAt >= logInterval) {
        log(scheduler, now);
    }
}

auto OwnerLoad::log(const FleetScheduler &scheduler, TimePoint now) -> void
{
    const Sums sums = std::exchange(m_sums, {});
    const auto processor = m_processorUse.take();
    const bool isOverloaded = m_loggedAt != TimePoint{} && sums.m_busy > (now - m_loggedAt) * overloadedShare;
    logEvent(isOverloaded ? LogLevel::Warning : LogLevel::Info,
             "owner_load",
             {{"epoch", scheduler.epoch()},
              {"over_ms", m_loggedAt == TimePoint{} ? 0 : inMs(now - m_loggedAt)},
              {"rounds", sums.m_rounds},
              {"busy_ms", inMs(sums.m_busy)},
              {"longest_ms", inMs(sums.m_longestRound)},
              {"inputs", sums.m_inputs},
              {"most_inputs", sums.m_mostInputs},
              {"reports", sums.m_reports},
              {"starts", sums.m_starts},
              {"commits", sums.m_commits},
              {"refused_commits", sums.m_refusedCommits},
              {"longest_commit_ms", inMs(sums.m_longestCommit)},
              {"longest_store_ms", inMs(sums.m_longestStoreCall)},
              {"longest_answer_wait_ms", inMs(sums.m_longestAnswerWait)},
              {"cpu_ms", inMs(processor.m_process)},
              {"gate_cpu_ms", inMs(processor.m_gate)},
              {"store_cpu_ms", inMs(processor.m_store)},
              {"scheduler_cpu_ms", inMs(processor.m_scheduler)},
              {"workers_cpu_ms", inMs(processor.m_workers)},
              {"jobs", scheduler.jobCount()},
              {"workers", scheduler.workerCount()},
              {"waiting", scheduler.waitingCount()}});
    m_loggedAt = now;
}
}

#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <string_view>
#include <vector>

class QJsonObject;

namespace Burdockspur::Bench
{
/// @brief Collects from the journals of the worker stand-ins which requests and tasks were executed.
///
/// @code
/// ExecutionHistory history;
/// if (!history.addJournal("worker-1", journalText)) { reportIncomplete(); }
/// if (history.overlapsOf(job) > 0) { report(job); }
/// @endcode
class ExecutionHistory
{
public:
    /// @brief Adds a worker's journal.
    /// @param worker name, which distinguishes attempts on different workers
    /// @param json body of `GET /standin/journal`
    /// @returns false when the text is no journal or when its first entries are missing
    [[nodiscard]] auto addJournal(std::string_view worker, std::string_view json) -> bool;

    /// @brief Number of executions of the requests with the given idempotency key.
    [[nodiscard]] auto executionsOfKey(std::string_view key) const -> std::uint64_t;

    /// @brief Number of request ids that were executed.
    [[nodiscard]] auto executedRequestCount() const noexcept -> std::size_t
    {
        return m_executionsByRequest.size();
    }

    /// @brief Number of request ids that were executed more than once.
    [[nodiscard]] auto repeatedRequestCount() const -> std::uint64_t;

    /// @brief Number of starts of a job's attempts.
    [[nodiscard]] auto startsOf(std::string_view job) const -> std::uint64_t;

    /// @brief Number of completions of a job, over all its attempts.
    [[nodiscard]] auto completionsOf(std::string_view job) const -> std::uint64_t;

    /// @brief Number of starts while an earlier attempt of the same job was still running.
    [[nodiscard]] auto overlapsOf(std::string_view job) const -> std::uint64_t;

private:
    struct TaskRun {
        std::string m_location; ///< worker and attempt
        std::int64_t m_startMs = 0;
        std::int64_t m_endMs = std::numeric_limits<std::int64_t>::max(); ///< highest value while the task runs
        bool m_completed = false;
    };

    auto addRequest(const QJsonObject &entry) -> void;
    auto addTaskStart(std::string_view worker, const QJsonObject &entry) -> void;
    auto addTaskEnd(std::string_view worker, const QJsonObject &entry) -> void;
    [[nodiscard]] auto runsOf(std::string_view job) const -> std::vector<TaskRun>;

    std::map<std::string, std::uint64_t, std::less<>> m_executionsByRequest;
    std::map<std::string, std::uint64_t, std::less<>> m_executionsByKey;
    std::map<std::string, std::vector<TaskRun>, std::less<>> m_runsByTask;
};
}

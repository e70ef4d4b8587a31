#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/operations/logline.hpp"

#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief Reconstructs the history of one job from the log lines of all hosts.
///
/// Each host logs the time of its own clock, so lines of two hosts may be out of order by the difference of their clocks.
///
/// @code
/// JobHistory history("7c5c95a43210fc7b");
/// history.read(logs);
/// std::cout << history.report();
/// @endcode
class JobHistory
{
public:
    /// @brief One part of the critical path: a wait for a worker, the delivery of a start order, or a run.
    struct Segment {
        std::string m_task;
        std::string m_activity; ///< description for the reader of the report
        Milliseconds m_duration{0};
    };

    /// @param job id of the job
    explicit JobHistory(std::string_view job);

    /// @brief Reads the lines of one log; may be called once for each of several logs.
    /// @param logs any text; text that is not a log line is skipped
    auto read(std::istream &logs) -> void;

    /// @brief True when no line names the job.
    [[nodiscard]] auto isEmpty() const noexcept -> bool
    {
        return m_lines.empty();
    }

    /// @brief The lines of the job, and the lines between its first and last one about its workers, the owner, the table
    /// service and suppressed log lines, in the order of time.
    [[nodiscard]] auto lines() const -> std::vector<const LogLine *>;

    /// @brief The critical path of the job: follows the runs back from the one that ended last, with the waits between them.
    /// @returns segments in the order of time; empty when no run has ended
    [[nodiscard]] auto criticalPath() const -> std::vector<Segment>;

    /// @brief The lines and the critical path as text.
    [[nodiscard]] auto report() const -> std::string;

private:
    struct Run;

    [[nodiscard]] auto linesOfJob() const -> std::vector<const LogLine *>;
    [[nodiscard]] auto runs() const -> std::vector<Run>;

    std::string m_job;
    std::vector<LogLine> m_lines; ///< lines that name the job
    std::vector<LogLine> m_contextLines; ///< lines about hosts, workers and the table service
};
}

#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/operations/logline.hpp"

#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief The life of one job, from the log lines of all hosts.
///
/// Hosts write the time of their own clocks, so lines of two hosts may be out of order by the difference of these.
///
/// @code
/// JobHistory history("7c5c95a43210fc7b");
/// history.read(logs);
/// std::cout << history.report();
/// @endcode
class JobHistory
{
public:
    /// @brief What held the job up at a time: the wait for a worker, an order, or a run.
    struct Segment {
        std::string m_task;
        std::string m_what;
        Milliseconds m_length{0};
    };

    /// @param job whose lines are kept
    explicit JobHistory(std::string_view job);

    /// @brief Takes the lines of one log; may be called for each of several.
    /// @param logs any text; what is no log line is skipped
    auto read(std::istream &logs) -> void;

    /// @brief True when no line names the job.
    [[nodiscard]] auto isEmpty() const noexcept -> bool
    {
        return m_lines.empty();
    }

    /// @brief Lines of the job, and those meanwhile that tell of its workers, the owner, the store and left out lines, in the
    /// order of time.
    [[nodiscard]] auto lines() const -> std::vector<const LogLine *>;

    /// @brief Where the time of the job went: back from its last end, each run and what it waited for.
    /// @returns segments in the order of time; empty when no run has ended
    [[nodiscard]] auto criticalPath() const -> std::vector<Segment>;

    /// @brief The lines and the critical path, for a reader.
    [[nodiscard]] auto report() const -> std::string;

private:
    struct Run;

    [[nodiscard]] auto linesOfJob() const -> std::vector<const LogLine *>;
    [[nodiscard]] auto runs() const -> std::vector<Run>;

    std::string m_job;
    std::vector<LogLine> m_lines; ///< that name the job
    std::vector<LogLine> m_context; ///< of hosts, workers and the store
};
}

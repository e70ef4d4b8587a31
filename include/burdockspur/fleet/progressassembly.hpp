#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/fleet/jobprogress.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief Joins the rows of the table `progress` to the progress of jobs; see encodeProgressRows().
class ProgressAssembly
{
public:
    /// @brief Adds a row; the rows may be added in any order.
    /// @param name name in the key of the row
    /// @returns ErrorCode::AnswerCorrupt when the row is not valid
    [[nodiscard]] auto add(std::string_view name, std::string_view value) -> Result<void>;

    /// @brief Joins the rows that were added; called once, after the last row.
    auto join() -> void;

    /// @brief Progress by job.
    [[nodiscard]] auto progress() noexcept -> std::map<std::string, JobProgress, std::less<>> &
    {
        return m_progress;
    }

    /// @brief Jobs whose rows are invalid or incomplete.
    [[nodiscard]] auto corruptJobs() const noexcept -> const std::vector<std::string> &
    {
        return m_corruptJobs;
    }

    /// @brief Highest number of a continuation row of a job; 0 for none.
    [[nodiscard]] auto continuationRowsOf(std::string_view job) const noexcept -> std::uint32_t;

    /// @brief Names of all continuation rows.
    [[nodiscard]] auto continuationNames() const -> std::vector<std::string>;

    /// @brief Number of jobs that have a row.
    [[nodiscard]] auto size() const noexcept -> std::size_t
    {
        return m_progress.size() + m_splitJobs.size();
    }

private:
    std::map<std::string, JobProgress, std::less<>> m_progress;
    std::map<std::string, std::uint32_t, std::less<>> m_splitJobs; ///< number of continuation rows that the first row names
    std::map<std::string, std::map<std::uint32_t, std::string>, std::less<>> m_continuations; ///< values by job and number
    std::vector<std::string> m_corruptJobs;
};
}

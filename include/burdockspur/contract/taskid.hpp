#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Burdockspur
{
/// @brief Identifies one task of one occurrence of a job.
struct TaskId {
    std::string m_job;
    std::uint32_t m_occurrence = 0;
    std::uint32_t m_step = 0;
    std::uint32_t m_index = 0;

    [[nodiscard]] auto operator==(const TaskId &) const -> bool = default;

    /// @brief Name of the task in messages to workers, `JOB.OCCURRENCE.STEP.INDEX`.
    [[nodiscard]] auto text() const -> std::string;

    /// @brief Parses such a name; nothing for a text of another form.
    [[nodiscard]] static auto parse(std::string_view text) -> std::optional<TaskId>;
};

/// @brief Number of a run of a task, from 1.
using RunNumber = std::uint32_t;
}

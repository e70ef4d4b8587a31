#pragma once

#include "burdockspur/shard/jobrecord.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief Orders the queued jobs: urgent ones first, then by submission.
///
/// A scan returns a bounded number of jobs, and the next scan continues after them. Jobs that fit on no worker at
/// present therefore do not block the jobs after them.
class JobQueue
{
public:
    /// @brief Adds a job; the scan position moves back to a job that was added before it.
    auto insert(const JobRecord &record) -> void;

    auto erase(const JobRecord &record) -> void;

    /// @brief Moves the scan position to the front; called when capacity has become free.
    auto rewind() noexcept -> void;

    /// @brief Returns the next jobs in order, without removing them, and advances the scan position.
    /// @param limit largest number of jobs
    /// @returns job ids
    [[nodiscard]] auto scan(std::size_t limit) -> std::vector<std::string>;

    /// @brief True when no queued job follows the scan position.
    [[nodiscard]] auto isScanned() const noexcept -> bool;

    [[nodiscard]] auto size() const noexcept -> std::size_t
    {
        return m_jobs.size();
    }

private:
    struct Position {
        bool m_normal = false; ///< urgent jobs sort first
        std::uint64_t m_submission = 0;

        [[nodiscard]] auto operator<=>(const Position &) const noexcept = default;
    };

    [[nodiscard]] static auto positionOf(const JobRecord &record) noexcept -> Position;

    std::map<Position, std::string> m_jobs;
    Position m_next; ///< position at which the next scan starts
};
}

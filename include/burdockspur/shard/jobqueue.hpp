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
/// @brief Queued jobs: urgent ones first, then in the order of submission.
///
/// A scan looks at a bounded number of jobs and the next one continues behind them, so that jobs which
/// fit nowhere at present do not hide those behind them.
class JobQueue
{
public:
    /// @brief Adds a job; a job before the scan position moves the position back.
    auto insert(const JobRecord &record) -> void;

    auto erase(const JobRecord &record) -> void;

    /// @brief Starts the next scan at the front, after capacity became free.
    auto rewind() noexcept -> void;

    /// @brief Takes the next jobs in order without removing them.
    /// @param limit most jobs
    /// @returns job ids
    [[nodiscard]] auto scan(std::size_t limit) -> std::vector<std::string>;

    /// @brief True when no job is left behind the scan position.
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
    Position m_next; ///< first position of the next scan
};
}

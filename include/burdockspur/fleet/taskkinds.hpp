#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Burdockspur
{
struct TaskStep;

/// @brief The properties of a task that decide, apart from its demand, which workers can accept it.
struct TaskKind {
    std::string m_pool;
    std::string m_requiredLabel;
    std::string m_image;
    bool m_isServing = false;
    bool m_isFilling = false;

    /// @brief True if every worker that can accept the other kind can accept this one with an equal or smaller demand: if no
    /// worker accepts this kind, none accepts the other one with the same or a larger demand.
    [[nodiscard]] auto isNoStricterThan(const TaskKind &other) const noexcept -> bool;
};

/// @brief Assigns consecutive numbers to the kinds of tasks of an owner.
class TaskKinds
{
public:
    /// @brief Number of the kind of a step; a new kind gets the next number.
    /// @param pool worker pool of the job's queue
    [[nodiscard]] auto numberOf(std::string_view pool, const TaskStep &step) -> std::size_t;

    [[nodiscard]] auto kind(std::size_t number) const noexcept -> const TaskKind &
    {
        return m_kinds[number];
    }

    [[nodiscard]] auto size() const noexcept -> std::size_t
    {
        return m_kinds.size();
    }

    auto clear() noexcept -> void;

private:
    std::vector<TaskKind> m_kinds;
    std::unordered_map<std::string, std::size_t> m_numbers;
};
}

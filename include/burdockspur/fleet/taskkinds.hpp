#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Burdockspur
{
struct TaskStep;

/// @brief What decides beside the demand whether any worker has room for a task.
struct TaskKind {
    std::string m_pool;
    std::string m_requiredLabel;
    std::string m_image;
    bool m_isServing = false;
    bool m_fills = false;

    /// @brief True when no room for this kind means no room for the other one either, if that demands at least as much.
    [[nodiscard]] auto covers(const TaskKind &other) const noexcept -> bool;
};

/// @brief Numbers the kinds of tasks of an owner.
class TaskKinds
{
public:
    /// @brief The number of a kind, given when it is first seen.
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

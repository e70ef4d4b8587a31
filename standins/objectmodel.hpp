#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace Burdockspur::Standins
{
/// @brief In-memory object store: byte strings by name.
class ObjectModel
{
public:
    /// @brief Stores an object and replaces one of the same name.
    auto put(std::string_view name, std::string bytes) -> void
    {
        m_objects.insert_or_assign(std::string(name), std::move(bytes));
    }

    /// @brief Finds an object.
    /// @returns nullptr when there is none
    [[nodiscard]] auto find(std::string_view name) const -> const std::string *
    {
        const auto position = m_objects.find(name);
        return position == m_objects.end() ? nullptr : &position->second;
    }

    /// @brief Removes an object.
    /// @returns false when there was none
    auto remove(std::string_view name) -> bool
    {
        const auto position = m_objects.find(name);
        if (position == m_objects.end()) {
            return false;
        }
        m_objects.erase(position);
        return true;
    }

    /// @brief Number of objects.
    [[nodiscard]] auto size() const noexcept -> std::size_t
    {
        return m_objects.size();
    }

private:
    std::map<std::string, std::string, std::less<>> m_objects;
};
}

#pragma once

#include <mutex>
#include <string>
#include <utility>

namespace Burdockspur
{
/// @brief Thread-safe holder of the JSON text that one thread writes and another reads.
class StatusText
{
public:
    auto set(std::string text) -> void
    {
        const std::scoped_lock lock(m_mutex);
        m_text = std::move(text);
    }

    [[nodiscard]] auto get() const -> std::string
    {
        const std::scoped_lock lock(m_mutex);
        return m_text;
    }

private:
    mutable std::mutex m_mutex;
    std::string m_text = "{}";
};
}

#pragma once

#include <QIODevice>

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>

namespace Burdockspur
{
/// @brief Buffer of received bytes that are not parsed yet.
class InputBuffer
{
public:
    /// @brief Moves available bytes of a device to the end of the buffer.
    /// @param device read without waiting
    /// @param limit maximum number of unparsed bytes in the buffer afterwards
    /// @returns number of bytes added; 0 when nothing is available or the buffer is full
    auto fill(QIODevice &device, std::size_t limit) -> std::size_t
    {
        if (m_offset > 0) {
            m_bytes.erase(0, m_offset);
            m_offset = 0;
        }
        const std::size_t held = m_bytes.size();
        const auto available = static_cast<std::size_t>(device.bytesAvailable());
        const std::size_t wanted = held >= limit ? 0 : std::min(available, limit - held);
        if (wanted == 0) {
            return 0;
        }
        std::size_t added = 0;
        m_bytes.resize_and_overwrite(held + wanted, [&](char *bytes, std::size_t) {
            const qint64 count = device.read(bytes + held, static_cast<qint64>(wanted));
            added = count > 0 ? static_cast<std::size_t>(count) : 0;
            return held + added;
        });
        return added;
    }

    /// @brief The bytes; valid until the next change.
    [[nodiscard]] auto view() const noexcept -> std::string_view
    {
        return std::string_view(m_bytes).substr(m_offset);
    }

    [[nodiscard]] auto empty() const noexcept -> bool
    {
        return m_offset == m_bytes.size();
    }

    /// @brief Drops parsed bytes from the front.
    auto consume(std::size_t count) noexcept -> void
    {
        m_offset += count;
        if (m_offset >= m_bytes.size()) {
            clear();
        }
    }

    auto clear() noexcept -> void
    {
        if (m_bytes.capacity() > keptBytes) {
            m_bytes = std::string();
        }
        m_bytes.clear();
        m_offset = 0;
    }

    /// @brief Bytes allocated.
    [[nodiscard]] auto capacity() const noexcept -> std::size_t
    {
        return m_bytes.capacity();
    }

private:
    /// A buffer of this size stays allocated between two messages; most messages are smaller.
    static constexpr std::size_t keptBytes = std::size_t{16} * 1024;

    std::string m_bytes;
    std::size_t m_offset = 0;
};
}

#pragma once

namespace Burdockspur
{
/// @brief An eventfd that wakes an event loop when a ring has entries.
class WakeDescriptor
{
public:
    WakeDescriptor();
    ~WakeDescriptor();
    WakeDescriptor(const WakeDescriptor &) = delete;
    WakeDescriptor(WakeDescriptor &&) = delete;
    auto operator=(const WakeDescriptor &) -> WakeDescriptor & = delete;
    auto operator=(WakeDescriptor &&) -> WakeDescriptor & = delete;

    /// @brief Makes the descriptor readable.
    auto signal() const noexcept -> void;

    /// @brief Makes the descriptor unreadable again.
    auto clear() const noexcept -> void;

    /// @brief Descriptor to be watched by a QSocketNotifier.
    [[nodiscard]] auto descriptor() const noexcept -> int
    {
        return m_descriptor;
    }

private:
    int m_descriptor;
};
}

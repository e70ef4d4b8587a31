#pragma once

#include "burdockspur/core/clock.hpp"

#include <algorithm>
#include <cstdint>
#include <string>

namespace Burdockspur::FaultMatrix
{
/// @brief A simulated process or machine that can be killed, paused and restarted.
class Process
{
public:
    explicit Process(std::string name)
        : m_name(std::move(name))
    {
    }
    virtual ~Process() = default;
    Process(const Process &) = delete;
    Process(Process &&) = delete;
    auto operator=(const Process &) -> Process & = delete;
    auto operator=(Process &&) -> Process & = delete;

    /// @brief Ends the process; its pending timers and the messages to it are dropped.
    virtual auto kill() -> void
    {
        m_alive = false;
        ++m_processGeneration;
        m_pausedUntil = {};
    }

    /// @brief Starts a killed process again without its former state.
    virtual auto restart() -> void
    {
        m_alive = true;
    }

    /// @brief Suspends the process until a time; its clock continues.
    virtual auto pause(TimePoint /*now*/, TimePoint until) -> void
    {
        m_pausedUntil = std::max(m_pausedUntil, until);
    }

    [[nodiscard]] auto isRunning(TimePoint now) const noexcept -> bool
    {
        return m_alive && now >= m_pausedUntil;
    }

    std::string m_name;
    bool m_alive = true;
    std::uint64_t m_processGeneration = 1; ///< number of the process's start; increased by each kill
    TimePoint m_pausedUntil;
};
}

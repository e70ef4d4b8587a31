#pragma once

#include "burdockspur/core/clock.hpp"

#include <atomic>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

#include <time.h>

namespace Burdockspur
{
/// @brief A named thread with one responsibility.
///
/// Derived classes implement run() and make it return after requestStop(). The destructor of the most
/// derived class must call stop(), because run() uses its members.
class Duty
{
public:
    /// @param name name of the thread; process listings show its first 15 characters
    explicit Duty(std::string_view name);
    virtual ~Duty();
    Duty(const Duty &) = delete;
    Duty(Duty &&) = delete;
    auto operator=(const Duty &) -> Duty & = delete;
    auto operator=(Duty &&) -> Duty & = delete;

    /// @brief Starts the thread, in which SIGTERM, SIGINT and SIGHUP are blocked; call once.
    auto start() -> void;

    /// @brief Makes the thread return and joins it; does nothing if it was not started.
    auto stop() -> void;

    /// @brief Name given at construction.
    [[nodiscard]] auto name() const noexcept -> std::string_view
    {
        return m_name;
    }

    /// @brief Processor time that the thread has used; safe to call from other threads.
    /// @returns nothing while the thread does not run
    [[nodiscard]] auto processorTime() const noexcept -> std::optional<Duration>;

protected:
    /// @brief Body of the thread.
    virtual auto run() -> void = 0;

    /// @brief Makes run() return soon; called from another thread.
    virtual auto requestStop() -> void = 0;

private:
    static constexpr clockid_t noClock = -1;

    std::string m_name;
    std::atomic<clockid_t> m_clock = noClock; ///< counts the processor time of the thread while it runs
    std::thread m_thread;
};
}

#pragma once

#include "burdockspur/core/clock.hpp"

#include <cstddef>

namespace Burdockspur
{
/// @brief Bounds the start orders that are under way, by the time that their answers take.
///
/// An owner that starts more than it can process lets the answers wait in its own queues, where urgent and worthless work wait alike. With
/// a bound, the tasks wait in the order of placement instead, and the owner still processes as many as it can.
class StartWindow
{
public:
    auto reset() noexcept -> void;

    auto recordSent() noexcept -> void
    {
        ++m_inFlight;
    }

    /// @brief Records the end of an order that was not answered, or whose run is not known any more.
    auto recordUnanswered() noexcept -> void;

    /// @brief Records an answer.
    /// @param roundTrip time from the decision to send the order until its answer is processed
    auto recordAnswered(Duration roundTrip, TimePoint now) noexcept -> void;

    /// @brief Number of further orders that may be sent now.
    [[nodiscard]] auto room() const noexcept -> std::size_t;

private:
    static constexpr double initialSize = 512;

    double m_size = initialSize;
    std::size_t m_inFlight = 0;
    TimePoint m_shrunkAt;
};
}

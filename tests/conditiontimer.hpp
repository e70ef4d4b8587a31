#pragma once

#include "burdockspur/core/clock.hpp"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur::Testing
{
/// @brief Measures for how long named conditions hold without a break.
class ConditionTimer
{
public:
    /// @param bound longest time for which a condition may hold
    explicit ConditionTimer(Milliseconds bound) noexcept
        : m_bound(bound)
    {
    }

    /// @brief Records whether a condition holds.
    /// @returns true once for each period that exceeds the bound
    auto update(std::string_view name, bool holds, TimePoint now) -> bool
    {
        const auto known = m_periods.find(name);
        if (!holds) {
            if (known != m_periods.end()) {
                m_periods.erase(known);
            }
            return false;
        }
        if (known == m_periods.end()) {
            m_periods.emplace(name, Period{now, m_lengths.size()});
            m_lengths.push_back(Duration::zero());
            return false;
        }
        auto &length = m_lengths[known->second.m_index];
        const bool wasExceeded = length > m_bound;
        length = now - known->second.m_since;
        return !wasExceeded && length > m_bound;
    }

    /// @brief Longest period of any condition.
    [[nodiscard]] auto longest() const -> Milliseconds
    {
        return m_lengths.empty() ? Milliseconds{0} : std::chrono::duration_cast<Milliseconds>(std::ranges::max(m_lengths));
    }

    /// @brief Number of periods that are longer than a time.
    [[nodiscard]] auto countLongerThan(Milliseconds length) const -> std::size_t
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_lengths, [length](Duration known) {
            return known > length;
        }));
    }

private:
    struct Period {
        TimePoint m_since;
        std::size_t m_index = 0; ///< in m_lengths
    };

    Milliseconds m_bound;
    std::map<std::string, Period, std::less<>> m_periods; ///< of the conditions that hold
    std::vector<Duration> m_lengths; ///< of all periods, in the order of their begin
};
}

#pragma once

#include "burdockspur/core/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Burdockspur
{
struct RouterLimits;

/// @brief Limits the retries of each caller to a share of its recent requests.
///
/// Without a limit, retries multiply the load on workers that are already failing.
class RetryBudget
{
public:
    /// @param limits percentage, minimum, window and number of callers; must outlive the budget
    explicit RetryBudget(const RouterLimits &limits);

    /// @brief Counts a request of a caller towards its budget.
    auto recordRequest(std::string_view caller, TimePoint now) -> void;

    /// @brief Takes one retry from the budget of a caller.
    /// @returns false if the budget is exhausted
    [[nodiscard]] auto tryTake(std::string_view caller, TimePoint now) -> bool;

    /// @brief Returns the number of callers that have their own budget.
    [[nodiscard]] auto callers() const noexcept -> std::size_t;

private:
    struct Window {
        std::uint64_t m_requests = 0;
        std::uint64_t m_retries = 0;
    };

    struct Account {
        std::int64_t m_period = 0;
        std::array<Window, 2> m_windows; ///< current and previous window
    };

    [[nodiscard]] auto accountOf(std::string_view caller, TimePoint now) -> Account &;
    auto removeIdle(std::int64_t period) -> void;

    const RouterLimits &m_limits;
    std::unordered_map<std::string, Account> m_accounts;
    Account m_shared; ///< shared by the callers beyond RouterLimits::m_retryCallers
    std::int64_t m_lastCleaned = 0;
};
}

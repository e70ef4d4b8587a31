#pragma once

#include "burdockspur/fleet/refusals/storecondition.hpp"

#include <cstdint>
#include <string_view>

namespace Burdockspur
{
/// @brief Decides when a refused caller should try again.
///
/// Callers have a few tries, so they must not spend them inside an outage, and they must not all return at its end. The outage is expected
/// to last as long as the one before; when it has outlasted that, or is the first one, to go on for a part of the time that it has lasted. So
/// the pauses of a caller grow with the outage, and nobody returns much later than the store.
///
/// Pure state: time comes in as an argument.
class RetryAdvice
{
public:
    /// Longest advice: after it, a caller had better ask again than rely on an estimate.
    static constexpr int maxSeconds = 10;

    /// @brief Records how the store answers this host.
    auto observe(const StoreReport &report) -> void;

    /// @brief Decides the advice for a caller that is refused now.
    /// @param key stable name of the request, e.g. the id of its job, which spreads the callers
    /// @param now current time
    /// @returns whole seconds from 1 to maxSeconds
    [[nodiscard]] auto adviseRefused(std::string_view key, TimePoint now) -> int;

    /// @brief Calls that were refused since the store has ceased to answer.
    [[nodiscard]] auto refused() const noexcept -> std::uint64_t
    {
        return m_refused;
    }

private:
    [[nodiscard]] auto expectedRemainder(TimePoint now) const -> Duration;

    StoreReport m_report;
    std::uint64_t m_refused = 0;
};
}

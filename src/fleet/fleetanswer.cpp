#include "burdockspur/fleet/fleetanswer.hpp"

#include <array>

namespace Burdockspur
{
auto outcomeName(OrderOutcome outcome) noexcept -> std::string_view
{
    constexpr std::array<std::string_view, 10> names{
        "accepted", "fenced", "superseded", "expired", "no_room", "not_advised", "unhealthy", "other_incarnation", "malformed", "no_answer"};
    return names[static_cast<std::size_t>(outcome)];
}
}

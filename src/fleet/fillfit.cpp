#include "burdockspur/fleet/fillfit.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
/// Slack above usefulSlack is ignored, so that only the cost decides between workers beyond it. costWeight makes a worker with
/// little slack but a low cost rank above one with much slack and a high cost.
constexpr double usefulSlack = 0.6;
constexpr double costWeight = 2.0;
}

auto FillFit::rank() const noexcept -> double
{
    return std::min(usefulSlack, m_slack) - costWeight * m_cost;
}
}

#include "burdockspur/fleet/stragglers/durationkey.hpp"

#include "burdockspur/contract/taskjob.hpp"

#include <algorithm>
#include <bit>

namespace Burdockspur
{
namespace
{
[[nodiscard]] auto binaryClass(std::int64_t amount) noexcept -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::bit_width(static_cast<std::uint64_t>(std::max<std::int64_t>(amount, 0))));
}
}

auto DurationKey::of(const TaskJob &job, std::uint32_t step) -> DurationKey
{
    const auto &contract = job.m_steps[step];
    return {job.m_policy.m_name, contract.m_image, step, binaryClass(contract.m_demand.m_cpuMillis), binaryClass(contract.m_estimate.count())};
}
}

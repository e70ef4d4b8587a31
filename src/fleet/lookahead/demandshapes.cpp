#include "burdockspur/fleet/lookahead/demandshapes.hpp"

#include <algorithm>
#include <cmath>

namespace Burdockspur
{
namespace
{
/// Weight of a task in the running mean.
constexpr double smoothingFactor = 0.02;
constexpr std::size_t maxShapes = 4;
/// Two demands have one shape if each of their resources differs by less than this factor.
constexpr double shapeWidth = 1.3;
constexpr Milliseconds halfLife{10'000};
/// Shapes are decayed this often.
constexpr Milliseconds decayInterval{500};
constexpr double minWeight = 0.05;

[[nodiscard]] auto isNear(std::int64_t left, std::int64_t right) noexcept -> bool
{
    const auto [low, high] = std::minmax(static_cast<double>(left), static_cast<double>(right));
    return high <= std::max(1.0, low) * shapeWidth;
}

[[nodiscard]] auto larger(const Resources &left, const Resources &right) noexcept -> Resources
{
    return {std::max(left.m_cpuMillis, right.m_cpuMillis), std::max(left.m_memoryMb, right.m_memoryMb), std::max(left.m_accelerators, right.m_accelerators)};
}

[[nodiscard]] auto ratio(std::int64_t part, std::int64_t whole) noexcept -> double
{
    return whole <= 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}
}

DemandShapes::DemandShapes(double largeFactor) noexcept
    : m_largeFactor(largeFactor)
{
}

auto DemandShapes::setMeanWorker(const Resources &meanWorker) noexcept -> void
{
    m_meanWorker = meanWorker;
}

auto DemandShapes::shareOf(const Resources &demand) const noexcept -> double
{
    return std::max(ratio(demand.m_cpuMillis, m_meanWorker.m_cpuMillis), ratio(demand.m_memoryMb, m_meanWorker.m_memoryMb));
}

auto DemandShapes::record(const Resources &demand, double tasks, TimePoint now) -> void
{
    const auto share = shareOf(demand);
    m_meanShare = m_meanShare == 0 ? share : m_meanShare + (share - m_meanShare) * (1 - std::pow(1 - smoothingFactor, tasks));
    if (!isLarge(demand)) {
        return;
    }
    if (now - m_decayedAt >= decayInterval) {
        const auto halves = std::chrono::duration<double>(now - m_decayedAt) / std::chrono::duration<double>(halfLife);
        const auto factor = m_decayedAt == TimePoint{} ? 1.0 : std::exp2(-halves);
        m_decayedAt = now;
        for (auto &shape : m_shapes) {
            shape.m_weight *= factor;
        }
        std::erase_if(m_shapes, [](const Shape &shape) {
            return shape.m_weight < minWeight;
        });
    }
    const auto known = std::ranges::find_if(m_shapes, [&demand](const Shape &shape) {
        return isNear(shape.m_demand.m_cpuMillis, demand.m_cpuMillis) && isNear(shape.m_demand.m_memoryMb, demand.m_memoryMb)
            && shape.m_demand.m_accelerators == demand.m_accelerators;
    });
    if (known != m_shapes.end()) {
        known->m_demand = larger(known->m_demand, demand);
        known->m_weight += tasks;
    } else if (m_shapes.size() < maxShapes) {
        m_shapes.push_back({demand, tasks});
    } else if (const auto lightest = std::ranges::min_element(m_shapes, {}, &Shape::m_weight); lightest->m_weight < tasks) {
        *lightest = {demand, tasks};
    }
    m_totalWeight = 0;
    for (const auto &shape : m_shapes) {
        m_totalWeight += shape.m_weight;
    }
}

auto DemandShapes::isLarge(const Resources &demand) const noexcept -> bool
{
    return demand.m_accelerators > 0 || shareOf(demand) > m_largeFactor * m_meanShare;
}

auto DemandShapes::lossOf(const Resources &free, const Resources &demand) const noexcept -> double
{
    if (m_totalWeight <= 0) {
        return 0;
    }
    Resources rest = free;
    rest -= demand;
    double lost = 0;
    for (const auto &shape : m_shapes) {
        if (shape.m_demand.fitsInto(free) && !shape.m_demand.fitsInto(rest)) {
            lost += shape.m_weight;
        }
    }
    return lost / m_totalWeight;
}

auto DemandShapes::restOf(const Resources &free, const Resources &demand) const noexcept -> double
{
    return ratio(free.m_cpuMillis - demand.m_cpuMillis, m_meanWorker.m_cpuMillis) + ratio(free.m_memoryMb - demand.m_memoryMb, m_meanWorker.m_memoryMb);
}
}

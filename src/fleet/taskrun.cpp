#include "burdockspur/fleet/taskrun.hpp"

#include "burdockspur/contract/taskjob.hpp"

namespace Burdockspur
{
namespace
{
/// Assumed headroom of a serving task before its first sample: its tail latency is less than half of the target.
constexpr double initialHeadroom = 2.5;
}

auto TaskRun::initFromStep(const TaskStep &step, FillInterferenceModel &images) -> void
{
    m_reserved = step.m_demand;
    m_cpuMillis = step.m_demand.m_cpuMillis;
    m_isServing = step.m_isServing;
    m_isFilling = step.m_isFilling;
    m_image = images.imageId(step.m_image);
    m_headroomWithoutFills = initialHeadroom;
    m_tailTarget = step.m_tailTarget;
    if (m_isFilling) {
        m_reserved.m_cpuMillis = 0;
    }
}
}

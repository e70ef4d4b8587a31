#include "burdockspur/fleet/failureattribution.hpp"

namespace Burdockspur
{
namespace
{
/// From this number of workers on, faults are attributed to the job. So each job counts against at most two workers, and a worker is avoided only
/// after faults of several jobs, see WorkerHealth.
constexpr std::size_t minFaultyWorkers = 3;
/// Longer than the longest pause of WorkerHealth, so that a task that fails at each trial does not begin anew with every pause.
constexpr Milliseconds faultWindow{30'000};
}

auto FailureAttribution::recordFault(std::string_view worker, Kind kind, TimePoint now) -> bool
{
    std::erase_if(m_latestFaults, [now](const auto &fault) {
        return now - fault.second > faultWindow;
    });
    const auto [fault, isNew] = m_latestFaults.insert_or_assign(std::string(worker), now);
    const bool isRepeated = !isNew && kind == Kind::Serving;
    return !isRepeated && m_latestFaults.size() < minFaultyWorkers;
}
}

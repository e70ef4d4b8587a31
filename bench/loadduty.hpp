#pragma once

#include "burdockspur/core/boundedring.hpp"
#include "burdockspur/core/eventloopduty.hpp"
#include "burdockspur/core/randomsource.hpp"
#include "loadplan.hpp"
#include "loadresult.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

class QTimer;

namespace Burdockspur::Bench
{
/// @brief Sends the requests of a plan from an event loop and gives the result to a ring.
///
/// Each caller has its own client, so that callers share no connections. Intervals are exponential, as of
/// independent callers.
class LoadDuty : public EventLoopDuty
{
public:
    /// @param plan what to send
    /// @param results receives one result at the end of the phase
    LoadDuty(const LoadPlan &plan, BoundedRing<LoadResult> &results);
    ~LoadDuty() override;

protected:
    auto setUp() -> void override;
    auto tearDown() -> void override;

private:
    struct Caller;

    auto sendDue() -> void;
    auto sendFrom(Caller &caller) -> void;
    auto take(std::string_view expected, TimePoint sentAt, const HttpReply &reply) -> void;
    auto finishIfDone() -> void;
    [[nodiscard]] auto interval() -> Duration;

    LoadPlan m_plan;
    BoundedRing<LoadResult> &m_results;
    RandomSource m_random;
    LoadResult m_result;
    std::vector<std::unique_ptr<Caller>> m_callers;
    std::unique_ptr<QTimer> m_timer;
    TimePoint m_end;
    std::size_t m_open = 0;
    bool m_reported = false;
};
}

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
/// @brief Sends the requests of a load plan from an event loop and pushes the result to a ring.
///
/// Each caller has its own client, so that callers share no connections. Intervals between requests are exponentially
/// distributed, which models independent callers.
class LoadDuty : public EventLoopDuty
{
public:
    /// @param plan servers, rate and duration of the load
    /// @param results receives one result at the end of the phase
    LoadDuty(const LoadPlan &plan, BoundedRing<LoadResult> &results);
    ~LoadDuty() override;

protected:
    auto setUp() -> void override;
    auto tearDown() -> void override;

private:
    struct Caller;

    auto sendDueRequests() -> void;
    auto sendRequest(Caller &caller) -> void;
    auto handleReply(std::string_view expected, TimePoint sentAt, const HttpReply &reply) -> void;
    auto reportWhenDone() -> void;
    [[nodiscard]] auto nextInterval() -> Duration;

    LoadPlan m_plan;
    BoundedRing<LoadResult> &m_results;
    RandomSource m_random;
    LoadResult m_result;
    std::vector<std::unique_ptr<Caller>> m_callers;
    std::unique_ptr<QTimer> m_timer;
    TimePoint m_end;
    std::size_t m_inFlight = 0;
    bool m_isReported = false;
};
}

#pragma once

#include "burdockspur/core/duty.hpp"
#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/host/entryrings.hpp"
#include "burdockspur/host/requestrouter.hpp"

#include <atomic>
#include <deque>
#include <string_view>
#include <vector>

namespace Burdockspur
{
class EntryMetrics;
class EntryStatus;

/// @brief Thread of the RequestRouter.
class RouterDuty final : public Duty
{
public:
    /// @param limits of the router
    /// @param ownZone zone of this entry host
    /// @param self this entry daemon in the key map
    /// @param seed of random choices
    /// @param rings outlive the duty
    /// @param metrics outlive the duty
    /// @param status outlives the duty
    RouterDuty(const RouterLimits &limits,
               std::string_view ownZone,
               KeyMapIdentity self,
               std::uint64_t seed,
               EntryRings &rings,
               EntryMetrics &metrics,
               EntryStatus &status);
    ~RouterDuty() override;

protected:
    auto run() -> void override;
    auto requestStop() -> void override;

private:
    [[nodiscard]] auto wakeTime() const -> TimePoint;
    auto handle(RouterEvent &&event) -> void;
    auto carryOut(ForwardOrder &&order) -> void;
    auto carryOut(SettleOrder &&order) -> void;
    auto carryOut(AnswerCaller &&command) -> void;
    auto carryOut(PeerQuery &&question) -> void;
    auto carryOut(AnswerPeer &&command) -> void;
    auto carryOut(ProposeKeyMap &&command) -> void;
    auto carryOut(ReadKeyMap &&command) -> void;
    auto deliverAnswers() -> void;
    auto publish(TimePoint now) -> void;

    RequestRouter m_router;
    RandomSource m_random;
    EntryRings &m_rings;
    EntryMetrics &m_metrics;
    EntryStatus &m_status;
    std::vector<RouterEvent> m_events;
    std::vector<RouterCommand> m_commands;
    std::deque<RouterEvent> m_refused; ///< replies to orders that the target ring had no place for
    std::deque<CallerMessage> m_answers; ///< wait for a place in the callers' ring
    TimePoint m_published = TimePoint::min();
    bool m_isPublished = false;
};
}

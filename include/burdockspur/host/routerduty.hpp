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

/// @brief Thread that runs the RequestRouter and passes its commands to the other duties.
class RouterDuty final : public Duty
{
public:
    /// @param limits limits of the router
    /// @param ownZone zone of this entry host
    /// @param self this entry daemon in the key map
    /// @param seed seed of random choices
    /// @param rings must outlive the duty
    /// @param metrics must outlive the duty
    /// @param status must outlive the duty
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
    auto execute(ForwardOrder &&order) -> void;
    auto execute(SettleOrder &&order) -> void;
    auto execute(AnswerCaller &&command) -> void;
    auto execute(PeerQuery &&query) -> void;
    auto execute(AnswerPeer &&command) -> void;
    auto execute(ProposeKeyMap &&command) -> void;
    auto execute(ReadKeyMap &&command) -> void;
    auto deliverAnswers() -> void;
    auto publish(TimePoint now) -> void;

    RequestRouter m_router;
    RandomSource m_random;
    EntryRings &m_rings;
    EntryMetrics &m_metrics;
    EntryStatus &m_status;
    std::vector<RouterEvent> m_events;
    std::vector<RouterCommand> m_commands;
    std::deque<RouterEvent> m_failureReplies; ///< failed replies to orders that did not fit into a ring
    std::deque<CallerMessage> m_answers; ///< answers that are not yet in the callers' ring
    TimePoint m_published = TimePoint::min();
    bool m_isPublished = false;
};
}

#pragma once

#include "burdockspur/core/eventloopduty.hpp"
#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/host/entryrings.hpp"
#include "burdockspur/host/jobrouter.hpp"
#include "burdockspur/link/framelimits.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

class QTimer;

namespace Burdockspur
{
class EntryMetrics;
class EntryStatus;
class FrameClient;
template<typename T>
class RingOutbox;

/// @brief Thread that runs the JobRouter and keeps a framed link to the scheduler of every entry host.
class SchedulerLinkDuty final : public EventLoopDuty
{
public:
    /// @param ownName name of this entry host
    /// @param seed seed of the backoff jitter
    /// @param rings must outlive the duty
    /// @param metrics must outlive the duty
    /// @param status must outlive the duty
    SchedulerLinkDuty(std::string_view ownName, std::uint64_t seed, EntryRings &rings, EntryMetrics &metrics, EntryStatus &status);
    ~SchedulerLinkDuty() override;

protected:
    auto setUp() -> void override;
    auto tearDown() -> void override;

private:
    struct Link {
        std::string m_address;
        std::uint16_t m_port = 0;
        std::unique_ptr<FrameClient> m_client;
    };

    auto drainMessages() -> void;
    auto on(JobCommand &&message) -> void;
    auto on(HostsChanged &&message) -> void;
    auto on(ConfigurationChanged &&message) -> void;
    auto openLink(const HostRecord &host) -> void;
    auto updateLinkState(std::string_view host, bool isOpen) -> void;
    auto handlePeerMessage(std::string_view host, PeerMessage &&message) -> void;

    auto handle(JobEvent &&event) -> void;
    auto execute(SendToPeer &&order) -> void;
    auto execute(AnswerJob &&order) -> void;
    auto execute(AnswerJobList &&order) -> void;
    auto armTimer() -> void;
    auto publish() -> void;

    std::string m_ownName;
    EntryRings &m_rings;
    EntryMetrics &m_metrics;
    EntryStatus &m_status;
    RandomSource m_random;
    JobRouter m_router;
    ConfigVersion m_configVersion = 0;
    std::vector<LinkMessage> m_messages;
    std::map<std::string, Link, std::less<>> m_links;
    std::unique_ptr<RingOutbox<CallerMessage>> m_answers;
    std::unique_ptr<QTimer> m_timer;
};
}

#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/core/eventloopduty.hpp"
#include "burdockspur/link/frameserver.hpp"
#include "burdockspur/link/peermessage.hpp"
#include "burdockspur/shard/schedulerrings.hpp"
#include "burdockspur/shard/schedulersettings.hpp"

#include <cstdint>
#include <future>
#include <memory>
#include <vector>

namespace Burdockspur
{
/// @brief Thread `entries`: serves the links of entry daemons.
///
/// When the ring of the `shards` thread is full, a request is answered with RingFull at once.
class EntryLinkDuty : public EventLoopDuty
{
public:
    EntryLinkDuty(const SchedulerSettings &settings, SchedulerRings &rings);
    ~EntryLinkDuty() override;
    EntryLinkDuty(const EntryLinkDuty &) = delete;
    EntryLinkDuty(EntryLinkDuty &&) = delete;
    auto operator=(const EntryLinkDuty &) -> EntryLinkDuty & = delete;
    auto operator=(EntryLinkDuty &&) -> EntryLinkDuty & = delete;

    /// @brief Future port of the frame server, available once it listens; call once.
    [[nodiscard]] auto port() -> std::future<Result<std::uint16_t>>;

protected:
    auto setUp() -> void override;
    auto tearDown() -> void override;

private:
    auto receive(LinkId link, PeerMessage &&message) -> void;
    auto sendAnswers() -> void;
    auto send(LinkId link, const PeerMessage &message) -> void;

    const SchedulerSettings &m_settings;
    SchedulerRings &m_rings;
    std::promise<Result<std::uint16_t>> m_port;
    std::unique_ptr<FrameServer> m_server;
    OwnershipReport m_ownership; ///< last report, sent to each new link
    std::vector<LinkId> m_links; ///< links on which a Hello was received
    std::vector<EntryAnswer> m_answerBuffer;
    ConfigVersion m_configVersion = 0;
};
}

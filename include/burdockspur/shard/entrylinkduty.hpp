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
/// A request that finds the ring of the `shards` thread full is answered with RingFull at once.
class EntryLinkDuty : public EventLoopDuty
{
public:
    EntryLinkDuty(const SchedulerSettings &settings, SchedulerRings &rings);
    ~EntryLinkDuty() override;
    EntryLinkDuty(const EntryLinkDuty &) = delete;
    EntryLinkDuty(EntryLinkDuty &&) = delete;
    auto operator=(const EntryLinkDuty &) -> EntryLinkDuty & = delete;
    auto operator=(EntryLinkDuty &&) -> EntryLinkDuty & = delete;

    /// @brief Port of the frame server, once it listens; call once.
    [[nodiscard]] auto port() -> std::future<Result<std::uint16_t>>;

protected:
    auto setUp() -> void override;
    auto tearDown() -> void override;

private:
    auto receive(LinkId link, PeerMessage &&message) -> void;
    auto takeAnswers() -> void;
    auto send(LinkId link, const PeerMessage &message) -> void;

    const SchedulerSettings &m_settings;
    SchedulerRings &m_rings;
    std::promise<Result<std::uint16_t>> m_port;
    std::unique_ptr<FrameServer> m_server;
    OwnershipReport m_ownership; ///< the last report, for new links
    std::vector<LinkId> m_links; ///< links that said Hello
    std::vector<EntryAnswer> m_taken;
    ConfigVersion m_configVersion = 0;
};
}

#include "burdockspur/host/schedulerlinkduty.hpp"

#include "burdockspur/host/entrymetrics.hpp"
#include "burdockspur/host/entrystatus.hpp"
#include "burdockspur/host/ringoutbox.hpp"
#include "burdockspur/link/frameclient.hpp"
#include "burdockspur/link/peermessage.hpp"
#include "burdockspur/operations/log.hpp"

#include <QTimer>

#include <algorithm>

namespace Burdockspur
{
SchedulerLinkDuty::SchedulerLinkDuty(std::string_view ownName, std::uint64_t seed, EntryRings &rings, EntryMetrics &metrics, EntryStatus &status)
    : EventLoopDuty("schedulers")
    , m_ownName(ownName)
    , m_rings(rings)
    , m_metrics(metrics)
    , m_status(status)
    , m_random(seed)
{
}

SchedulerLinkDuty::~SchedulerLinkDuty()
{
    stop();
}

auto SchedulerLinkDuty::setUp() -> void
{
    m_answers = std::make_unique<RingOutbox<CallerMessage>>(m_rings.m_callers, [this] {
        m_metrics.countRingFull(RingName::Callers);
    });
    m_timer = std::make_unique<QTimer>();
    m_timer->setSingleShot(true);
    QObject::connect(m_timer.get(), &QTimer::timeout, m_timer.get(), [this] {
        handle(TimerExpired{});
    });
    watch(m_rings.m_links.wakeDescriptor(), [this] {
        drainMessages();
    });
}

auto SchedulerLinkDuty::tearDown() -> void
{
    m_timer.reset();
    m_links.clear();
    m_answers.reset();
}

auto SchedulerLinkDuty::drainMessages() -> void
{
    m_messages.clear();
    m_rings.m_links.drain(m_messages);
    for (auto &message : m_messages) {
        std::visit(
            [this](auto &content) {
                on(std::move(content));
            },
            message);
    }
}

auto SchedulerLinkDuty::on(JobCommand &&message) -> void
{
    handle(std::move(message));
}

auto SchedulerLinkDuty::on(HostsChanged &&message) -> void
{
    const auto &hosts = message.m_listing.m_hosts;
    for (auto link = m_links.begin(); link != m_links.end();) {
        const bool isUnchanged = std::ranges::any_of(hosts, [&link](const HostRecord &host) {
            return host.m_role == HostRole::Entry && host.m_name == link->first && host.m_address == link->second.m_address
                && host.m_framePort == link->second.m_port;
        });
        if (isUnchanged) {
            ++link;
            continue;
        }
        const std::string name = link->first;
        link = m_links.erase(link);
        updateLinkState(name, false);
    }
    for (const auto &host : hosts) {
        if (host.m_role == HostRole::Entry && host.m_framePort != 0 && !m_links.contains(host.m_name)) {
            openLink(host);
        }
    }
}

auto SchedulerLinkDuty::on(ConfigurationChanged &&message) -> void
{
    m_configVersion = std::max(m_configVersion, message.m_configuration.m_version);
    for (const auto &[name, link] : m_links) {
        link.m_client->setConfigVersion(m_configVersion);
    }
    handle(std::move(message));
}

auto SchedulerLinkDuty::openLink(const HostRecord &host) -> void
{
    auto onMessage = [this, name = host.m_name](PeerMessage &&message) {
        handlePeerMessage(name, std::move(message));
    };
    auto onLinkState = [this, name = host.m_name](bool isOpen) {
        updateLinkState(name, isOpen);
    };
    auto client = std::make_unique<FrameClient>(FrameLimits{}, host.m_address, host.m_framePort, std::move(onMessage), std::move(onLinkState));
    client->setConfigVersion(m_configVersion);
    m_links.emplace(host.m_name, Link{host.m_address, host.m_framePort, std::move(client)});
}

auto SchedulerLinkDuty::updateLinkState(std::string_view host, bool isOpen) -> void
{
    logEvent(LogLevel::Info, isOpen ? "link_opened" : "link_closed", {{"peer", host}});
    const auto found = m_links.find(host);
    if (isOpen && found != m_links.end()) {
        PeerMessage hello;
        hello.m_configVersion = m_configVersion;
        hello.m_body = Hello{m_ownName, "entry"};
        found->second.m_client->send(hello);
    }
    handle(LinkStateChanged{std::string(host), isOpen});
    publish();
}

auto SchedulerLinkDuty::handlePeerMessage(std::string_view host, PeerMessage &&message) -> void
{
    if (message.m_configVersion > m_configVersion) {
        // m_configVersion increases only with the configuration that is read, so if the ring is full, the next message
        // triggers the read.
        if (!m_rings.m_platform.tryPush(ConfigVersionReported{message.m_configVersion})) {
            m_metrics.countRingFull(RingName::Platform);
        }
    }
    const bool isReport = std::holds_alternative<OwnershipReport>(message.m_body);
    handle(PeerMessageReceived{std::string(host), std::move(message)});
    if (isReport) {
        publish();
    }
}

auto SchedulerLinkDuty::handle(JobEvent &&event) -> void
{
    std::vector<JobOrder> orders;
    m_router.handle(std::move(event), Clock::now(), m_random, orders);
    for (auto &order : orders) {
        std::visit(
            [this](auto &content) {
                execute(std::move(content));
            },
            order);
    }
    armTimer();
}

auto SchedulerLinkDuty::execute(SendToPeer &&order) -> void
{
    const auto found = m_links.find(order.m_host);
    order.m_message.m_configVersion = m_configVersion;
    if (found == m_links.end() || !found->second.m_client->send(order.m_message)) {
        handle(SendFailed{order.m_message.m_correlation});
    }
}

auto SchedulerLinkDuty::execute(AnswerJob &&order) -> void
{
    m_answers->push(std::move(order));
}

auto SchedulerLinkDuty::execute(AnswerJobList &&order) -> void
{
    m_answers->push(std::move(order));
}

auto SchedulerLinkDuty::armTimer() -> void
{
    const TimePoint next = m_router.nextDeadline();
    if (next == TimePoint::max()) {
        m_timer->stop();
        return;
    }
    const auto wait = std::chrono::ceil<Milliseconds>(next - Clock::now());
    m_timer->start(std::max(wait, Milliseconds(0)));
}

auto SchedulerLinkDuty::publish() -> void
{
    auto links = m_router.openLinks();
    m_metrics.setOpenLinks(links.size());
    m_status.update([&](EntryReport &report) {
        report.m_shards = m_router.owners();
        report.m_openLinks = std::move(links);
    });
}
}

#include "burdockspur/shard/entrylinkduty.hpp"

#include "burdockspur/link/framelimits.hpp"
#include "burdockspur/operations/log.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace Burdockspur
{
EntryLinkDuty::EntryLinkDuty(const SchedulerSettings &settings, SchedulerRings &rings)
    : EventLoopDuty("entries")
    , m_settings(settings)
    , m_rings(rings)
{
}

EntryLinkDuty::~EntryLinkDuty()
{
    stop();
}

auto EntryLinkDuty::port() -> std::future<Result<std::uint16_t>>
{
    return m_port.get_future();
}

auto EntryLinkDuty::setUp() -> void
{
    m_server = std::make_unique<FrameServer>(
        linkLimitsOf(m_settings),
        [this](LinkId link, PeerMessage &&message) {
            receive(link, std::move(message));
        },
        [this](LinkId link, bool open) {
            if (!open) {
                std::erase(m_links, link);
            }
        });
    watch(m_rings.m_entries.wakeDescriptor(), [this] {
        sendAnswers();
    });
    m_port.set_value(m_server->listen(m_settings.m_frameAddress, m_settings.m_framePort));
}

auto EntryLinkDuty::tearDown() -> void
{
    m_server.reset();
}

auto EntryLinkDuty::receive(LinkId link, PeerMessage &&message) -> void
{
    if (message.m_configVersion > m_configVersion) {
        // With a full ring the version is dropped: the watcher polls the configuration every second anyway.
        static_cast<void>(m_rings.m_versions.tryPush(std::exchange(message.m_configVersion, 0)));
    }
    if (std::holds_alternative<Hello>(message.m_body)) {
        if (std::ranges::find(m_links, link) == m_links.end()) {
            m_links.push_back(link);
        }
        send(link, {.m_configVersion = m_configVersion, .m_correlation = 0, .m_body = Hello{.m_host = m_settings.m_host, .m_program = "scheduler"}});
        send(link, {.m_configVersion = m_configVersion, .m_correlation = 0, .m_body = m_ownership});
        return;
    }
    if (std::holds_alternative<Heartbeat>(message.m_body)) {
        return;
    }
    const EntryTicket ticket{.m_link = link, .m_correlation = message.m_correlation};
    if (!m_rings.m_shards.tryPush(EntryRequest{.m_ticket = ticket, .m_body = std::move(message.m_body)})) {
        logEvent(LogLevel::Warning, "ring_full", {{"ring", "shards"}, {"from", "entries"}});
        const Error error{.m_code = ErrorCode::RingFull, .m_message = "the scheduler has too many requests waiting"};
        send(link, {.m_configVersion = m_configVersion, .m_correlation = message.m_correlation, .m_body = ErrorReply{.m_error = error}});
    }
}

auto EntryLinkDuty::sendAnswers() -> void
{
    m_answerBuffer.clear();
    m_rings.m_entries.drain(m_answerBuffer);
    for (auto &answer : m_answerBuffer) {
        if (answer.m_message.m_configVersion > m_configVersion) {
            m_configVersion = answer.m_message.m_configVersion;
            m_server->setConfigVersion(m_configVersion);
        }
        if (answer.m_link != 0) {
            send(answer.m_link, answer.m_message);
            continue;
        }
        if (const auto *const report = std::get_if<OwnershipReport>(&answer.m_message.m_body)) {
            m_ownership = *report;
        }
        for (const LinkId link : std::vector<LinkId>(m_links)) {
            send(link, answer.m_message);
        }
    }
}

auto EntryLinkDuty::send(LinkId link, const PeerMessage &message) -> void
{
    if (!m_server->send(link, message)) {
        // The answer is lost with its link; the entry daemon repeats its requests over a new link.
        logEvent(LogLevel::Info, "answer_not_sent", {{"link", link}, {"correlation", message.m_correlation}});
    }
}
}

#include "faultmatrix/entryhost.hpp"

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/host/keymapstore.hpp"
#include "burdockspur/host/requestrouter.hpp"
#include "faultmatrix/storelinks.hpp"

#include <algorithm>
#include <utility>

namespace Burdockspur::FaultMatrix
{
namespace
{
constexpr Milliseconds pollPeriod{1'000};

[[nodiscard]] auto limitsWith(const Guards &guards) -> RouterLimits
{
    RouterLimits limits;
    limits.m_guards = guards;
    return limits;
}
}

struct EntryHost::Private {
    Private(EntryHost &host, std::uint64_t seed)
        : m_host(host)
        , m_table(host.m_platform, host)
        , m_random(seed)
        , m_router(limitsWith(host.m_platform.m_guards), "a", {host.m_name, hexOf(seed)})
        , m_keyMap(m_table,
                   hexOf(seed),
                   {.m_read =
                        [this](const KeyMap &map) {
                            handleEvent(KeyMapRead{map});
                        },
                    .m_notWritten =
                        [this] {
                            handleEvent(KeyMapNotWritten{});
                        }})
        , m_pollAt(host.m_simulation.m_now)
    {
    }

    auto handleEvent(RouterEvent &&event) -> void
    {
        std::vector<RouterCommand> commands;
        ++m_host.m_simulation.m_steps;
        m_router.handle(std::move(event), m_host.m_simulation.m_now, m_random, commands);
        for (auto &command : commands) {
            if (m_host.isRunning(m_host.m_simulation.m_now)) {
                executeCommand(command);
            } else if (m_host.m_alive) {
                // A fault paused or killed the process while it was sending; a paused process continues later, a killed one does not.
                m_host.m_simulation.after(m_host, Milliseconds(0), [this, command]() mutable {
                    executeCommand(command);
                });
            }
        }
    }

    auto executeCommand(RouterCommand &command) -> void
    {
        std::visit(
            [this](auto &content) {
                execute(content);
            },
            command);
    }

    auto execute(AnswerCaller &command) -> void
    {
        m_host.m_onAnswer(command.m_ticket, command.m_answer);
    }

    auto execute(ForwardOrder &order) -> void
    {
        SimulatedWorker &worker = workerNamed(order.m_target.m_worker);
        const auto reply = [this, dispatch = order.m_dispatch](TargetReply taken) {
            taken.m_dispatch = dispatch;
            handleEvent(TargetReplied{std::move(taken)});
        };
        m_host.m_simulation.call(
            {{Step::Request}, &m_host, &worker},
            order.m_timeout,
            [&worker, order, reply](const Simulation::Respond &respond) {
                worker.request(order, [respond, reply](const TargetReply &answer) {
                    respond([reply, answer] {
                        reply(answer);
                    });
                });
            },
            [reply](bool refused) {
                TargetReply lost;
                lost.m_status = refused ? TargetReply::Status::NotSent : TargetReply::Status::Lost;
                lost.m_error = {refused ? ErrorCode::ConnectionClosed : ErrorCode::Timeout, "no answer"};
                reply(lost);
            });
    }

    auto execute(SettleOrder &order) -> void
    {
        SimulatedWorker &worker = workerNamed(order.m_target.m_worker);
        const auto reply = [this](const SettleReply &taken) {
            handleEvent(SettleReplied{taken});
        };
        m_host.m_simulation.call(
            {{Step::Settle}, &m_host, &worker},
            order.m_timeout,
            [&worker, order, reply](const Simulation::Respond &respond) {
                respond([reply, answer = worker.settle(order)] {
                    reply(answer);
                });
            },
            [reply, dispatch = order.m_dispatch](bool /*refused*/) {
                SettleReply lost;
                lost.m_dispatch = dispatch;
                lost.m_error = {ErrorCode::Timeout, "no answer"};
                reply(lost);
            });
    }

    auto execute(ProposeKeyMap &command) -> void
    {
        m_keyMap.propose(KeyMap(command.m_next));
    }

    auto execute(ReadKeyMap & /*command*/) -> void
    {
        m_keyMap.readNow();
    }

    auto execute(AnswerPeer &command) -> void
    {
        if (const auto pending = m_peerQuestions.extract(command.m_ticket)) {
            pending.mapped()(command.m_reply);
        }
    }

    auto execute(PeerQuery &question) -> void
    {
        const auto found = std::ranges::find_if(m_host.m_entries, [&question](const auto &entry) {
            return entry->m_name == question.m_peer;
        });
        EntryHost *const peer = found->get();
        const auto onReply = [this, dispatch = question.m_dispatch, name = question.m_peer](PeerReply reply) {
            reply.m_dispatch = dispatch;
            reply.m_peer = name;
            handleEvent(PeerReplied{std::move(reply)});
        };
        m_host.m_simulation.call(
            {{}, &m_host, peer},
            question.m_timeout,
            [peer, question, onReply](const Simulation::Respond &respond) {
                peer->m_private->handlePeerQuestion(question, [respond, onReply](const PeerReply &reply) {
                    respond([onReply, reply] {
                        onReply(reply);
                    });
                });
            },
            [onReply](bool /*refused*/) {
                onReply({});
            });
    }

    auto handlePeerQuestion(const PeerQuery &question, std::function<void(const PeerReply &)> onReply) -> void
    {
        m_peerQuestions.emplace(++m_lastPeerQuestion, std::move(onReply));
        handleEvent(PeerQueryReceived{m_lastPeerQuestion, question.m_requestId, question.m_generation});
    }

    auto poll() -> void
    {
        m_keyMap.poll();
        m_pollAt = m_host.m_simulation.m_now + pollPeriod;
        if (m_host.m_platform.hosts().m_generation != m_generation) {
            const HostListing &listing = m_host.m_platform.hosts();
            m_generation = listing.m_generation;
            handleEvent(HostsChanged{listing});
        }
        m_table.read("config", [this](Result<std::vector<TableRow>> &&rows) {
            if (rows && !rows->empty() && rows->front().m_version > m_configVersion) {
                m_configVersion = rows->front().m_version;
                Configuration configuration;
                configuration.m_version = m_configVersion;
                handleEvent(ConfigurationChanged{configuration});
            }
        });
    }

    [[nodiscard]] auto workerNamed(std::string_view name) const -> SimulatedWorker &
    {
        return **std::ranges::find(m_host.m_workers, name, [](const auto &worker) -> std::string_view {
            return worker->m_name;
        });
    }

    EntryHost &m_host;
    TableLink m_table;
    RandomSource m_random;
    RequestRouter m_router;
    KeyMapStore m_keyMap;
    std::map<CallerTicket, std::function<void(const PeerReply &)>> m_peerQuestions;
    CallerTicket m_lastPeerQuestion = 0;
    TimePoint m_pollAt;
    std::uint64_t m_generation = 0;
    std::uint64_t m_configVersion = 0;
};

EntryHost::EntryHost(std::string name, Simulation &simulation, SimulatedPlatform &platform, Workers &workers, AnswerHandler onAnswer, const Entries &entries)
    : Process(std::move(name))
    , m_simulation(simulation)
    , m_platform(platform)
    , m_workers(workers)
    , m_onAnswer(std::move(onAnswer))
    , m_entries(entries)
{
    EntryHost::restart();
}

EntryHost::~EntryHost() = default;

auto EntryHost::restart() -> void
{
    m_private = std::make_unique<Private>(*this, m_simulation.m_random.next64());
    Process::restart();
}

auto EntryHost::request(std::uint64_t ticket, ServiceRequest request) -> void
{
    m_private->handleEvent(RequestArrived{ticket, std::move(request)});
}

auto EntryHost::drain() -> void
{
    m_private->handleEvent(DrainRequested{});
}

auto EntryHost::pump() -> void
{
    if (!isRunning(m_simulation.m_now)) {
        return;
    }
    if (m_simulation.m_now >= m_private->m_pollAt) {
        m_private->poll();
    }
    if (m_simulation.m_now >= m_private->m_router.nextDeadline()) {
        m_private->handleEvent(TimerExpired{});
    }
}

auto EntryHost::deadline() const -> TimePoint
{
    if (!m_alive) {
        return TimePoint::max();
    }
    return std::max(std::min(m_private->m_pollAt, m_private->m_router.nextDeadline()), m_pausedUntil);
}

auto EntryHost::configVersion() const -> std::uint64_t
{
    return m_private->m_configVersion;
}

auto EntryHost::isIdle() const -> bool
{
    return m_private->m_router.inFlight() == 0 && m_private->m_router.queued() == 0;
}
}

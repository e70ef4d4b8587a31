#pragma once

#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/host/requestrouter.hpp"

#include <rapidcheck.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace Burdockspur::Testing
{
struct RequestPlan {
    int m_arrivesMs = 0;
    int m_host = 0;
    int m_key = 0; ///< 0 for a request without an idempotency key
    bool m_idempotent = false;
    int m_deadlineMs = 0;
    bool m_otherBody = false; ///< uses the key with another body
    bool m_leaves = false; ///< the caller disconnects 20 ms after the request
};

enum class FaultKind : std::uint8_t {
    Leave, ///< rejects new requests; the host list shows this later
    Return, ///< accepts new requests again
    Die, ///< never replies again
    Fill, ///< all its slots are used by others for 100 ms
    Restart, ///< crashes, loses its records of requests and restarts
};

struct FaultPlan {
    int m_atMs = 0;
    int m_worker = 0;
    FaultKind m_kind = FaultKind::Leave;
};

struct Scenario {
    int m_hosts = 1;
    int m_workers = 1;
    int m_slots = 1;
    int m_lossPercent = 0;
    std::uint64_t m_seed = 0;
    std::vector<RequestPlan> m_requests;
    std::vector<FaultPlan> m_faults;
};

inline auto operator<<(std::ostream &stream, const Scenario &scenario) -> std::ostream &
{
    stream << "hosts " << scenario.m_hosts << " workers " << scenario.m_workers << " slots " << scenario.m_slots << " loss " << scenario.m_lossPercent
           << " seed " << scenario.m_seed << '\n';
    for (const auto &request : scenario.m_requests) {
        stream << "  request at " << request.m_arrivesMs << " host " << request.m_host << " key " << request.m_key << " idempotent " << request.m_idempotent
               << " deadline " << request.m_deadlineMs << " other body " << request.m_otherBody << " leaves " << request.m_leaves << '\n';
    }
    for (const auto &fault : scenario.m_faults) {
        stream << "  fault at " << fault.m_atMs << " worker " << fault.m_worker << " kind " << static_cast<int>(fault.m_kind) << '\n';
    }
    return stream;
}

/// @brief Simulated worker: between two of its starts, it runs each request id at most once, and never after it has stored
/// a tombstone for the id (design section 6.2).
struct ModelWorker {
    struct Run {
        bool m_ended = false;
        bool m_failed = false;
        std::string m_answer;
    };

    std::string m_name;
    bool m_dead = false;
    bool m_leaving = false;
    bool m_listedLeaving = false;
    int m_slotsUsedByOthers = 0;
    int m_running = 0;
    std::map<std::string, Run> m_runs;
    std::set<std::string> m_tombstones;
    int m_starts = 1;

    [[nodiscard]] auto incarnation() const -> std::string
    {
        return m_name + "-" + std::to_string(m_starts);
    }
};

/// @brief Simulates entry hosts and workers on a network that delays, loses, duplicates and reorders messages.
///
/// A violated guarantee throws std::runtime_error, which fails the test.
class RequestWorld
{
public:
    explicit RequestWorld(const Scenario &scenario, const Guards &guards = {})
        : m_scenario(scenario)
        , m_random(scenario.m_seed)
    {
        m_limits.m_guards = guards;
        for (int i = 0; i < scenario.m_workers; ++i) {
            m_workers.push_back(std::make_unique<ModelWorker>());
            m_workers.back()->m_name = "w" + std::to_string(i);
        }
        for (int i = 0; i < scenario.m_hosts; ++i) {
            const std::string name = hostName(i);
            m_routers.push_back(std::make_unique<RequestRouter>(m_limits, "zone-0", KeyMapIdentity{name, name + "-1"}));
            sendHosts(i);
        }
        planFaults();
        planRequests();
        planPolls();
    }

    auto run() -> void
    {
        constexpr int eventLimit = 200'000;
        for (int count = 0; count < eventLimit; ++count) {
            const TimePoint next = nextTime();
            if (next == TimePoint::max()) {
                return;
            }
            m_now = next;
            for (int host = 0; host < m_scenario.m_hosts; ++host) {
                if (m_routers[static_cast<std::size_t>(host)]->nextDeadline() <= m_now) {
                    deliverEvent(host, TimerExpired{});
                }
            }
            runDueActions();
        }
        require(false, "the simulation does not come to an end");
    }

    auto check() const -> void
    {
        for (std::size_t ticket = 0; ticket < m_scenario.m_requests.size(); ++ticket) {
            checkRequest(ticket);
        }
        for (const auto &router : m_routers) {
            require(router->inFlight() == 0U && router->queued() == 0U, "an exchange was not answered");
        }
    }

    std::size_t m_steps = 0; ///< events handled by the routers
    std::size_t m_injectedFaults = 0; ///< injected faults, including lost messages

private:
    static auto require(bool holds, const char *what) -> void
    {
        if (!holds) {
            throw std::runtime_error(what);
        }
    }

    [[nodiscard]] auto bodyOf(std::size_t ticket) const -> std::string
    {
        const auto &plan = m_scenario.m_requests[ticket];
        const std::string body = plan.m_key == 0 ? "request " + std::to_string(ticket) : "key " + std::to_string(plan.m_key);
        return plan.m_otherBody ? body + " changed" : body;
    }

    /// @brief Returns whether a request is idempotent; the key decides, because requests with the same key must agree.
    [[nodiscard]] auto isIdempotent(const RequestPlan &plan) const -> bool
    {
        return plan.m_key == 0 ? plan.m_idempotent : plan.m_key % 2 == 0;
    }

    auto checkRequest(std::size_t ticket) const -> void
    {
        const auto &plan = m_scenario.m_requests[ticket];
        const auto found = m_answers.find(ticket);
        require(found != m_answers.end() || plan.m_leaves, "a caller got no answer");
        const auto body = bodyOf(ticket);
        const auto runs = m_runsOfBody.contains(body) ? m_runsOfBody.at(body) : 0;
        require(isIdempotent(plan) || runs <= 1, "a non-idempotent request ran twice");
        if (found == m_answers.end()) {
            return;
        }
        const auto &answer = found->second;
        if (answer.m_outcome == Outcome::Answered) {
            require(answer.m_body == "answer to " + body, "a caller got a foreign answer");
        }
        if (answer.m_outcome == Outcome::Answered || answer.m_outcome == Outcome::Failed) {
            require(runs >= 1, "a request was answered without a run");
        }
        if (answer.m_outcome == Outcome::Refused && plan.m_key == 0) {
            require(runs == 0, "a refused request ran");
        }
        if (answer.m_outcome == Outcome::Refused && plan.m_key != 0 && runs > 0) {
            require(mayHaveRunForAnother(ticket, body), "a refused request with a key ran");
        }
    }

    /// @brief Returns true if another request with the same key and body was not `refused`, so that the run may be its own.
    [[nodiscard]] auto mayHaveRunForAnother(std::size_t ticket, std::string_view body) const -> bool
    {
        for (std::size_t other = 0; other < m_scenario.m_requests.size(); ++other) {
            const auto found = m_answers.find(other);
            if (other != ticket && bodyOf(other) == body && (found == m_answers.end() || found->second.m_outcome != Outcome::Refused)) {
                return true;
            }
        }
        return false;
    }

    auto schedule(int delayMs, std::function<void()> action) -> void
    {
        m_actions.emplace(m_now + Milliseconds(delayMs), std::move(action));
    }

    [[nodiscard]] auto nextTime() const -> TimePoint
    {
        TimePoint next = m_actions.empty() ? TimePoint::max() : m_actions.begin()->first;
        for (const auto &router : m_routers) {
            next = std::min(next, router->nextDeadline());
        }
        return std::max(next, m_now);
    }

    auto runDueActions() -> void
    {
        while (!m_actions.empty() && m_actions.begin()->first <= m_now) {
            const auto action = std::move(m_actions.begin()->second);
            m_actions.erase(m_actions.begin());
            action();
        }
    }

    auto deliverEvent(int host, RouterEvent &&event) -> void
    {
        std::vector<RouterCommand> commands;
        ++m_steps;
        m_routers[static_cast<std::size_t>(host)]->handle(std::move(event), m_now, m_random, commands);
        for (auto &command : commands) {
            std::visit(
                [this, host](auto &content) {
                    handleCommand(host, content);
                },
                command);
        }
    }

    auto sendHosts(int host) -> void
    {
        HostListing listing;
        listing.m_generation = ++m_hostsGeneration;
        for (int i = 0; i < m_scenario.m_hosts; ++i) {
            HostRecord record;
            record.m_name = hostName(i);
            record.m_role = HostRole::Entry;
            listing.m_hosts.push_back(record);
        }
        for (const auto &worker : m_workers) {
            HostRecord record;
            record.m_name = worker->m_name;
            record.m_slots = static_cast<std::uint32_t>(m_scenario.m_slots);
            record.m_state = worker->m_listedLeaving ? HostState::Leaving : HostState::Live;
            record.m_place.m_zone = "zone-" + worker->m_name.substr(1);
            listing.m_hosts.push_back(record);
        }
        deliverEvent(host, HostsChanged{std::move(listing)});
    }

    auto planFaults() -> void
    {
        for (const auto &fault : m_scenario.m_faults) {
            ModelWorker &worker = *m_workers[static_cast<std::size_t>(fault.m_worker % m_scenario.m_workers)];
            schedule(fault.m_atMs, [this, &worker, kind = fault.m_kind] {
                injectFault(worker, kind);
            });
        }
    }

    auto injectFault(ModelWorker &worker, FaultKind kind) -> void
    {
        constexpr int fillMs = 100;
        ++m_injectedFaults;
        worker.m_dead = worker.m_dead || kind == FaultKind::Die;
        if (kind == FaultKind::Restart) {
            restart(worker);
        }
        if (kind == FaultKind::Leave || kind == FaultKind::Return) {
            worker.m_leaving = kind == FaultKind::Leave;
            scheduleHostUpdates(worker);
        }
        if (kind == FaultKind::Fill) {
            worker.m_slotsUsedByOthers += m_scenario.m_slots;
            schedule(fillMs, [this, &worker] {
                worker.m_slotsUsedByOthers -= m_scenario.m_slots;
            });
        }
    }

    auto restart(ModelWorker &worker) -> void
    {
        worker.m_runs.clear();
        worker.m_tombstones.clear();
        worker.m_running = 0;
        ++worker.m_starts;
    }

    /// @brief Updates the host list of each entry host with the state of a worker, each after another random delay.
    auto scheduleHostUpdates(ModelWorker &worker) -> void
    {
        for (int host = 0; host < m_scenario.m_hosts; ++host) {
            schedule(randomDelayMs(500), [this, &worker, host] {
                worker.m_listedLeaving = worker.m_leaving;
                sendHosts(host);
            });
        }
    }

    auto planRequests() -> void
    {
        for (std::size_t ticket = 0; ticket < m_scenario.m_requests.size(); ++ticket) {
            const auto &plan = m_scenario.m_requests[ticket];
            const int host = plan.m_host % m_scenario.m_hosts;
            schedule(plan.m_arrivesMs, [this, ticket, host, &plan] {
                const std::string key = plan.m_key == 0 ? std::string() : std::to_string(plan.m_key);
                const std::string id = "r" + std::to_string(host) + "-" + std::to_string(ticket);
                const TimePoint deadline = m_now + Milliseconds(plan.m_deadlineMs);
                deliverEvent(host, RequestArrived{ticket, {id, "seats", "caller", key, isIdempotent(plan), deadline, bodyOf(ticket)}});
            });
            if (plan.m_leaves) {
                schedule(plan.m_arrivesMs + 20, [this, ticket, host] {
                    deliverEvent(host, CallerDisconnected{ticket});
                });
            }
        }
    }

    [[nodiscard]] auto randomDelayMs(int longestMs) -> int
    {
        return static_cast<int>(m_random.below(static_cast<std::uint32_t>(longestMs)));
    }

    [[nodiscard]] auto isLost() -> bool
    {
        const bool lost = static_cast<int>(m_random.below(100)) < m_scenario.m_lossPercent;
        m_injectedFaults += lost ? 1 : 0;
        return lost;
    }

    [[nodiscard]] auto workerNamed(std::string_view name) -> ModelWorker &
    {
        for (const auto &worker : m_workers) {
            if (worker->m_name == name) {
                return *worker;
            }
        }
        require(false, "order to an unknown worker");
        return *m_workers.front();
    }

    auto handleCommand(int /*host*/, AnswerCaller &command) -> void
    {
        const bool first = m_answers.emplace(command.m_ticket, std::move(command.m_answer)).second;
        require(first, "a caller was answered twice");
    }

    [[nodiscard]] static auto hostName(int host) -> std::string
    {
        return "h" + std::to_string(host);
    }

    /// @brief Schedules reads of the key map by every entry host, until after the end of the last request.
    auto planPolls() -> void
    {
        constexpr int lastPollMs = 5'000;
        for (int host = 0; host < m_scenario.m_hosts; ++host) {
            for (int time = randomDelayMs(200); time < lastPollMs; time += 300) {
                schedule(time, [this, host] {
                    readKeyMap(host);
                });
            }
        }
    }

    auto readKeyMap(int host) -> void
    {
        if (!isLost()) {
            // The answer contains the map as of the start of the read.
            schedule(randomDelayMs(50), [this, host, map = m_keyMap]() mutable {
                deliverEvent(host, KeyMapRead{std::move(map)});
            });
        }
    }

    auto handleCommand(int host, ReadKeyMap & /*order*/) -> void
    {
        readKeyMap(host);
    }

    auto handleCommand(int host, ProposeKeyMap &order) -> void
    {
        schedule(randomDelayMs(30), [this, host, next = order.m_next] {
            const bool isWritten = next.m_generation == m_keyMap.m_generation + 1 && !isLost();
            if (isWritten) {
                m_keyMap = next;
            }
            schedule(randomDelayMs(30), [this, host, next, isKnown = isWritten && !isLost()]() mutable {
                if (isKnown) {
                    deliverEvent(host, KeyMapRead{std::move(next)});
                } else {
                    deliverEvent(host, KeyMapNotWritten{});
                }
            });
        });
    }

    auto handleCommand(int host, PeerQuery &question) -> void
    {
        auto replied = std::make_shared<bool>(false);
        const auto replyOnceTo = [this, host, replied](PeerReply &&reply) {
            if (!std::exchange(*replied, true)) {
                deliverEvent(host, PeerReplied{std::move(reply)});
            }
        };
        PeerReply none;
        none.m_dispatch = question.m_dispatch;
        none.m_peer = question.m_peer;
        schedule(static_cast<int>(std::chrono::ceil<Milliseconds>(question.m_timeout).count()), [replyOnceTo, none]() mutable {
            replyOnceTo(std::move(none));
        });
        if (isLost()) {
            return;
        }
        schedule(randomDelayMs(30), [this, question, replyOnceTo] {
            const CallerTicket ticket = ++m_lastQuestion;
            m_openPeerQuestions[ticket] = [this, replyOnceTo, dispatch = question.m_dispatch](PeerReply &&reply) {
                reply.m_dispatch = dispatch;
                if (!isLost()) {
                    schedule(randomDelayMs(200), [replyOnceTo, reply = std::move(reply)]() mutable {
                        replyOnceTo(std::move(reply));
                    });
                }
            };
            deliverEvent(std::stoi(question.m_peer.substr(1)), PeerQueryReceived{ticket, question.m_requestId, question.m_generation});
        });
    }

    auto handleCommand(int /*host*/, AnswerPeer &command) -> void
    {
        m_openPeerQuestions.extract(command.m_ticket).mapped()(std::move(command.m_reply));
    }

    auto handleCommand(int host, ForwardOrder &order) -> void
    {
        if (isLost() && isLost()) {
            schedule(randomDelayMs(20), [this, host, dispatch = order.m_dispatch] {
                deliverEvent(host, TargetReplied{{dispatch, TargetReply::Status::NotSent, {}, {ErrorCode::ConnectionClosed, {}}, {}}});
            });
            return;
        }
        const auto timeoutMs = static_cast<int>(std::chrono::ceil<Milliseconds>(order.m_timeout).count());
        auto replied = std::make_shared<bool>(false);
        schedule(timeoutMs, [this, host, replied, dispatch = order.m_dispatch] {
            replyOnce(host, *replied, {dispatch, TargetReply::Status::Lost, {}, {ErrorCode::Timeout, {}}, {}});
        });
        // A message that counts as lost may still be delivered after its sender has timed out.
        const int travelMs = isLost() ? timeoutMs + randomDelayMs(300) : randomDelayMs(30);
        // A connection ends with the process that accepted it; a request reaches a restarted worker only over a connection
        // that was not open before.
        const bool isOpen = travelMs >= timeoutMs || m_random.below(2) == 0;
        schedule(travelMs, [this, host, replied, order, isOpen, starts = workerNamed(order.m_target.m_worker).m_starts] {
            if (!isOpen || workerNamed(order.m_target.m_worker).m_starts == starts) {
                deliver(host, replied, order);
            }
        });
    }

    auto replyOnce(int host, bool &replied, TargetReply &&reply) -> void
    {
        if (!std::exchange(replied, true)) {
            deliverEvent(host, TargetReplied{std::move(reply)});
        }
    }

    auto sendReply(int host, const std::shared_ptr<bool> &replied, TargetReply &&reply) -> void
    {
        if (m_random.below(10) == 0) {
            // Duplicate reply, which may arrive while a later message is in progress.
            schedule(randomDelayMs(200), [this, host, reply]() mutable {
                deliverEvent(host, TargetReplied{std::move(reply)});
            });
        }
        if (!isLost()) {
            schedule(randomDelayMs(30), [this, host, replied, reply = std::move(reply)]() mutable {
                replyOnce(host, *replied, std::move(reply));
            });
        }
    }

    auto deliver(int host, const std::shared_ptr<bool> &replied, const ForwardOrder &order) -> void
    {
        ModelWorker &worker = workerNamed(order.m_target.m_worker);
        if (worker.m_dead) {
            return;
        }
        const auto refuse = [&](TargetReply::Status status) {
            sendReply(host, replied, {order.m_dispatch, status, {}, {}, worker.incarnation()});
        };
        if (!order.m_expectedIncarnation.empty() && order.m_expectedIncarnation != worker.incarnation()) {
            refuse(TargetReply::Status::OtherIncarnation);
        } else if (worker.m_tombstones.contains(order.m_requestId)) {
            refuse(TargetReply::Status::Tombstoned);
        } else if (worker.m_runs.contains(order.m_requestId)) {
            replyWhenEnded(host, replied, order, worker.m_starts);
        } else if (worker.m_leaving) {
            refuse(TargetReply::Status::Leaving);
        } else if (worker.m_running + worker.m_slotsUsedByOthers >= m_scenario.m_slots) {
            refuse(TargetReply::Status::SlotsExhausted);
        } else {
            execute(host, replied, order);
        }
    }

    auto execute(int host, const std::shared_ptr<bool> &replied, const ForwardOrder &order) -> void
    {
        ModelWorker &worker = workerNamed(order.m_target.m_worker);
        ++m_runsOfBody[order.m_body];
        ++worker.m_running;
        worker.m_runs[order.m_requestId].m_answer = "answer to " + order.m_body;
        schedule(randomDelayMs(80), [this, host, replied, order, &worker, starts = worker.m_starts] {
            if (worker.m_starts != starts) {
                return;
            }
            auto &run = worker.m_runs[order.m_requestId];
            run.m_ended = true;
            run.m_failed = m_random.below(20) == 0;
            --worker.m_running;
            replyWhenEnded(host, replied, order, starts);
        });
    }

    auto replyWhenEnded(int host, const std::shared_ptr<bool> &replied, const ForwardOrder &order, int starts) -> void
    {
        ModelWorker &worker = workerNamed(order.m_target.m_worker);
        const auto found = worker.m_runs.find(order.m_requestId);
        if (worker.m_dead || worker.m_starts != starts) {
            return;
        }
        const auto &run = found->second;
        if (!run.m_ended) {
            schedule(5, [this, host, replied, order, starts] {
                replyWhenEnded(host, replied, order, starts);
            });
            return;
        }
        const auto status = run.m_failed ? TargetReply::Status::Failed : TargetReply::Status::Answered;
        sendReply(host, replied, {order.m_dispatch, status, run.m_answer, {}, worker.incarnation()});
    }

    auto handleCommand(int host, SettleOrder &order) -> void
    {
        auto replied = std::make_shared<bool>(false);
        const auto onTimeout = [this, host, replied, dispatch = order.m_dispatch] {
            settleOnce(host, *replied, {dispatch, SettleReply::Status::NoReply, {}, {}, {}});
        };
        schedule(static_cast<int>(std::chrono::ceil<Milliseconds>(order.m_timeout).count()), onTimeout);
        if (isLost()) {
            return;
        }
        schedule(randomDelayMs(30), [this, host, replied, order] {
            ModelWorker &worker = workerNamed(order.m_target.m_worker);
            if (!worker.m_dead) {
                answerSettle(host, replied, order, worker);
            }
        });
    }

    auto settleOnce(int host, bool &replied, SettleReply &&reply) -> void
    {
        if (!std::exchange(replied, true)) {
            deliverEvent(host, SettleReplied{std::move(reply)});
        }
    }

    auto answerSettle(int host, const std::shared_ptr<bool> &replied, const SettleOrder &order, ModelWorker &worker) -> void
    {
        SettleReply reply{order.m_dispatch, SettleReply::Status::NeverStarted, {}, {}, worker.incarnation()};
        const auto run = worker.m_runs.find(order.m_requestId);
        if (run == worker.m_runs.end()) {
            worker.m_tombstones.insert(order.m_requestId);
        } else if (!run->second.m_ended) {
            reply.m_status = SettleReply::Status::Running;
        } else {
            reply.m_status = run->second.m_failed ? SettleReply::Status::Failed : SettleReply::Status::Answered;
            reply.m_body = run->second.m_answer;
        }
        if (!isLost()) {
            schedule(randomDelayMs(30), [this, host, replied, reply = std::move(reply)]() mutable {
                settleOnce(host, *replied, std::move(reply));
            });
        }
    }

    const Scenario &m_scenario;
    RouterLimits m_limits;
    RandomSource m_random;
    TimePoint m_now{std::chrono::hours(1)};
    std::multimap<TimePoint, std::function<void()>> m_actions;
    std::vector<std::unique_ptr<ModelWorker>> m_workers;
    std::vector<std::unique_ptr<RequestRouter>> m_routers;
    std::map<std::string, int, std::less<>> m_runsOfBody;
    KeyMap m_keyMap; ///< as stored in the table
    std::map<CallerTicket, std::function<void(PeerReply &&)>> m_openPeerQuestions; ///< reply handlers of questions between entry hosts
    CallerTicket m_lastQuestion = 0;
    std::uint64_t m_hostsGeneration = 0;
    std::map<CallerTicket, RequestAnswer> m_answers;
};

[[nodiscard]] inline auto anyRequest() -> rc::Gen<RequestPlan>
{
    return rc::gen::build<RequestPlan>(rc::gen::set(&RequestPlan::m_arrivesMs, rc::gen::inRange(0, 2'000)),
                                       rc::gen::set(&RequestPlan::m_host, rc::gen::inRange(0, 2)),
                                       rc::gen::set(&RequestPlan::m_key, rc::gen::weightedElement<int>({{4, 0}, {2, 1}, {2, 2}, {1, 3}, {1, 4}})),
                                       rc::gen::set(&RequestPlan::m_idempotent),
                                       rc::gen::set(&RequestPlan::m_deadlineMs, rc::gen::inRange(0, 1'500)),
                                       rc::gen::set(&RequestPlan::m_otherBody, rc::gen::weightedElement<bool>({{9, false}, {1, true}})),
                                       rc::gen::set(&RequestPlan::m_leaves, rc::gen::weightedElement<bool>({{9, false}, {1, true}})));
}

[[nodiscard]] inline auto anyFault() -> rc::Gen<FaultPlan>
{
    return rc::gen::build<FaultPlan>(
        rc::gen::set(&FaultPlan::m_atMs, rc::gen::inRange(0, 2'000)),
        rc::gen::set(&FaultPlan::m_worker, rc::gen::inRange(0, 5)),
        rc::gen::set(&FaultPlan::m_kind, rc::gen::element(FaultKind::Leave, FaultKind::Return, FaultKind::Die, FaultKind::Fill, FaultKind::Restart)));
}

[[nodiscard]] inline auto anyScenario() -> rc::Gen<Scenario>
{
    return rc::gen::build<Scenario>(rc::gen::set(&Scenario::m_hosts, rc::gen::inRange(1, 3)),
                                    rc::gen::set(&Scenario::m_workers, rc::gen::inRange(1, 5)),
                                    rc::gen::set(&Scenario::m_slots, rc::gen::inRange(1, 4)),
                                    rc::gen::set(&Scenario::m_lossPercent, rc::gen::inRange(0, 50)),
                                    rc::gen::set(&Scenario::m_seed),
                                    rc::gen::set(&Scenario::m_requests, rc::gen::scale(3.0, rc::gen::container<std::vector<RequestPlan>>(anyRequest()))),
                                    rc::gen::set(&Scenario::m_faults, rc::gen::scale(0.15, rc::gen::container<std::vector<FaultPlan>>(anyFault()))));
}
}

#pragma once

#include "burdockspur/shard/shardclaim.hpp"

#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace Burdockspur::Testing
{
/// @brief Simulates three schedulers that claim one shard through a table that delays, loses and refuses messages.
///
/// A violated guarantee throws std::runtime_error, which fails the test.
class ClaimWorld
{
public:
    explicit ClaimWorld(std::uint64_t seed, const Guards &guards = {})
        : m_random(seed)
        , m_lossPercent(m_random.below(20))
    {
        m_settings.m_guards = guards;
        for (const auto *const name : {"h0", "h1", "h2"}) {
            m_nodes.push_back(std::make_unique<Node>());
            m_nodes.back()->m_name = name;
            restart(*m_nodes.back());
        }
    }

    /// @brief Injects faults for a minute, then requires a single owner after another minute without faults.
    auto run() -> void
    {
        for (std::uint32_t i = m_random.below(8); i > 0; --i) {
            at(Milliseconds(m_random.below(60'000)), [this] {
                injectRandomFault();
            });
        }
        runUntil(m_now + Milliseconds(60'000));
        m_faultsEnded = true;
        runUntil(m_now + Milliseconds(60'000));
        int owners = 0;
        for (const auto &node : m_nodes) {
            if (node->m_claim->isOwner()) {
                ++owners;
                require(m_row.m_ownership.m_owner == node->m_name, "an owner differs from the owner row");
                require(m_row.m_ownership.m_epoch == node->m_claim->ownership().m_epoch, "an owner has another epoch than the owner row");
            }
        }
        require(owners == 1, "the shard does not have exactly one owner");
    }

    std::size_t m_steps = 0; ///< events that the claims handled
    std::size_t m_injectedFaults = 0; ///< injected faults, including lost and late messages
    std::size_t m_takeovers = 0;

private:
    struct Node {
        std::string m_name;
        std::uint64_t m_incarnation = 0;
        bool m_alive = true;
        TimePoint m_pausedUntil;
        std::unique_ptr<ShardClaim> m_claim;
    };

    struct Row {
        RowStamp m_stamp;
        ShardOwnership m_ownership;
    };

    using Action = std::function<void()>;

    static auto require(bool holds, const std::string &what) -> void
    {
        if (!holds) {
            throw std::runtime_error(what);
        }
    }

    auto at(Duration delay, Action action) -> void
    {
        m_actions.emplace(m_now + delay, std::move(action));
    }

    [[nodiscard]] auto shouldFail(std::uint32_t percent) -> bool
    {
        const bool hit = !m_faultsEnded && m_random.below(100) < percent;
        m_injectedFaults += hit ? 1 : 0;
        return hit;
    }

    [[nodiscard]] auto randomLatency() -> Duration
    {
        constexpr std::uint32_t latestMs = 6'000; // beyond the time limit of a store call and the takeover time
        return Milliseconds(1 + m_random.below(shouldFail(m_lossPercent / 2) ? latestMs : 20));
    }

    auto restart(Node &node) -> void
    {
        node.m_alive = true;
        node.m_claim = std::make_unique<ShardClaim>(0, node.m_name, m_settings);
    }

    auto injectRandomFault() -> void
    {
        ++m_injectedFaults;
        const Duration length = Milliseconds(100 + m_random.below(15'000));
        Node &node = *m_nodes[m_random.below(static_cast<std::uint32_t>(m_nodes.size()))];
        const std::uint32_t kind = m_random.below(4);
        if (kind == 0) {
            node.m_alive = false;
            ++node.m_incarnation;
            at(length, [this, &node] {
                restart(node);
            });
        } else if (kind == 1) {
            node.m_pausedUntil = m_now + length;
        } else if (kind == 2) {
            m_storeDownUntil = m_now + length;
        } else {
            node.m_claim->release();
        }
    }

    auto runUntil(TimePoint end) -> void
    {
        while (m_now < end) {
            TimePoint next = m_actions.empty() ? end : m_actions.begin()->first;
            for (const auto &node : m_nodes) {
                next = node->m_alive ? std::min(next, std::max(node->m_claim->deadline(), node->m_pausedUntil)) : next;
            }
            m_now = std::min(end, std::max(next, m_now + Milliseconds(1)));
            while (!m_actions.empty() && m_actions.begin()->first <= m_now) {
                const Action action = std::move(m_actions.begin()->second);
                m_actions.erase(m_actions.begin());
                action();
            }
            for (const auto &node : m_nodes) {
                tickIfDue(*node);
            }
        }
    }

    auto tickIfDue(Node &node) -> void
    {
        if (!node.m_alive || m_now < node.m_pausedUntil || m_now < node.m_claim->deadline()) {
            return;
        }
        ShardCommands commands;
        ++m_steps;
        node.m_claim->tick({}, m_now, m_random, commands);
        for (const auto &command : commands) {
            if (const auto *const read = std::get_if<ReadRow>(&command)) {
                send(node, *read);
            } else if (const auto *const write = std::get_if<WriteOwnerRow>(&command)) {
                send(node, *write);
            }
        }
    }

    auto send(Node &node, const ReadRow &order) -> void
    {
        RowRead answer;
        answer.m_operation = order.m_operation;
        call<RowRead>(node, answer, [this](RowRead &reply) {
            reply.m_succeeded = true;
            reply.m_stamp = m_row.m_stamp;
            reply.m_ownership = m_row.m_ownership;
        });
    }

    auto send(Node &node, const WriteOwnerRow &order) -> void
    {
        RowWritten answer;
        answer.m_operation = order.m_operation;
        call<RowWritten>(node, answer, [this, order](RowWritten &reply) {
            commit(order, reply);
        });
    }

    auto commit(const WriteOwnerRow &order, RowWritten &answer) -> void
    {
        const bool versionMatches = m_row.m_stamp.m_version == order.m_version;
        const bool epochMatches = !order.m_takeover || m_epochVersion == order.m_epochVersion;
        if (versionMatches && epochMatches) {
            m_row = {.m_stamp = {.m_version = order.m_version + 1, .m_operation = order.m_operation}, .m_ownership = order.m_ownership};
            m_epochVersion += order.m_takeover ? 1 : 0;
            answer.m_status = CommitResult::Status::Committed;
            answer.m_stamp = m_row.m_stamp;
            answer.m_epochVersion = order.m_takeover ? m_epochVersion : 0;
            return;
        }
        answer.m_status = CommitResult::Status::Conflict;
        if (!versionMatches) {
            answer.m_stamp = m_row.m_stamp;
        }
        if (!epochMatches) {
            answer.m_epochVersion = m_epochVersion;
        }
    }

    /// @brief Sends a call to the table; its answer or its loss arrives once.
    template<typename Answer>
    auto call(Node &node, const Answer &lost, const std::function<void(Answer &)> &effect) -> void
    {
        constexpr Milliseconds timeout{3'500};
        const auto settled = std::make_shared<bool>(false);
        const auto complete = [this, &node, incarnation = node.m_incarnation, settled](const Answer &answer) {
            if (!std::exchange(*settled, true)) {
                deliver(node, incarnation, answer);
            }
        };
        at(timeout, [complete, lost] {
            complete(lost);
        });
        if (shouldFail(m_lossPercent)) {
            return;
        }
        at(randomLatency(), [this, complete, effect, answer = lost]() mutable {
            if (m_now < m_storeDownUntil) {
                return;
            }
            effect(answer);
            if (!shouldFail(m_lossPercent)) {
                at(randomLatency(), [complete, answer] {
                    complete(answer);
                });
            }
        });
    }

    template<typename Answer>
    auto deliver(Node &node, std::uint64_t incarnation, const Answer &answer) -> void
    {
        if (!node.m_alive || node.m_incarnation != incarnation) {
            return;
        }
        if (m_now < node.m_pausedUntil) {
            at(node.m_pausedUntil - m_now, [this, &node, incarnation, answer] {
                deliver(node, incarnation, answer);
            });
            return;
        }
        ++m_steps;
        if constexpr (std::is_same_v<Answer, RowRead>) {
            observe(node, node.m_claim->onRead(answer, m_now, m_random));
        } else {
            observe(node, node.m_claim->onWritten(answer, m_now, m_random));
        }
    }

    auto observe(const Node &node, ShardClaim::Change change) -> void
    {
        if (change != ShardClaim::Change::Acquired) {
            return;
        }
        ++m_takeovers;
        const Epoch epoch = node.m_claim->ownership().m_epoch;
        const std::string acquirer = node.m_name + " incarnation " + std::to_string(node.m_incarnation);
        const auto [known, added] = m_acquirers.emplace(epoch, acquirer);
        require(added, "epoch " + std::to_string(epoch) + " was acquired by " + known->second + " and by " + acquirer);
        // Epochs and versions of the epoch row grow together, so a takeover fences journal writes with this condition.
        require(node.m_claim->epochVersion() == epoch, "the condition of journal writes is not the acquired epoch");
    }

    RandomSource m_random;
    std::uint32_t m_lossPercent;
    ShardSettings m_settings;
    TimePoint m_now{std::chrono::hours(1)};
    std::multimap<TimePoint, Action> m_actions;
    std::vector<std::unique_ptr<Node>> m_nodes;
    Row m_row;
    std::uint64_t m_epochVersion = 0; ///< of the epoch row
    TimePoint m_storeDownUntil;
    std::map<Epoch, std::string> m_acquirers;
    bool m_faultsEnded = false;
};
}

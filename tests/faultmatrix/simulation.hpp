#pragma once

#include "burdockspur/core/randomsource.hpp"
#include "faultmatrix/process.hpp"
#include "faultmatrix/step.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace Burdockspur::FaultMatrix
{
/// @brief Sender, receiver and protocol steps of a message that is about to be sent.
struct Message {
    std::vector<Step> m_steps; ///< protocol steps that the message belongs to
    Process *m_sender = nullptr;
    Process *m_receiver = nullptr; ///< nullptr for the platform
};

/// @brief How the network treats a message and its answer.
struct Delivery {
    bool m_delivered = true;
    bool m_answered = true;
    bool m_repeated = false; ///< a second copy arrives later
    Duration m_delay{0};
};

/// @brief Virtual clock and network: runs timers and delivers messages in the order of their times.
class Simulation
{
public:
    using Action = std::function<void()>;
    /// @brief Sends an answer, which is an action that the sender of the request runs.
    using Respond = std::function<void(Action)>;
    /// @brief Executes a request at its receiver.
    using Effect = std::function<void(const Respond &)>;
    /// @brief Handles the failure of a call; the argument is true when the connection was refused.
    using LossHandler = std::function<void(bool)>;
    /// @brief Decides how a message is delivered.
    using Inspect = std::function<Delivery(const Message &)>;

    explicit Simulation(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// @brief Runs an action that belongs to no process after a delay.
    auto after(Duration delay, Action action) -> void
    {
        m_actions.emplace(m_now + delay, std::move(action));
    }

    /// @brief Runs an action of a process after a delay; a pause defers it, a kill cancels it.
    auto after(Process &process, Duration delay, Action action) -> void
    {
        after(delay, [this, &process, generation = process.m_processGeneration, action = std::move(action)] {
            runIn(process, generation, action);
        });
    }

    /// @brief Sends a request; the sender gets either its answer or a failure, or neither when it is killed before.
    auto call(const Message &message, Duration timeout, const Effect &effect, const LossHandler &onLost) -> void
    {
        const Delivery delivery = m_inspect ? m_inspect(message) : Delivery{};
        Process &sender = *message.m_sender;
        if (!sender.m_alive) {
            // The message was sent before its sender was killed, so it still arrives.
            deliver(message, delivery, effect, [](const Action &) {});
            return;
        }
        const auto settled = std::make_shared<bool>(false);
        const auto settle = [settled](const Action &action) {
            if (!std::exchange(*settled, true)) {
                action();
            }
        };
        if (message.m_receiver != nullptr && !message.m_receiver->m_alive) {
            after(sender, randomLatency(), [settle, onLost] {
                settle([onLost] {
                    onLost(true);
                });
            });
            return;
        }
        after(sender, timeout, [settle, onLost] {
            settle([onLost] {
                onLost(false);
            });
        });
        deliver(message,
                delivery,
                effect,
                [this, &sender, generation = sender.m_processGeneration, settle, message, answered = delivery.m_answered](const Action &answer) {
                    if (!answered || isDisconnected(message) || sender.m_processGeneration != generation) {
                        return;
                    }
                    after(sender, randomLatency(), [settle, answer] {
                        settle(answer);
                    });
                });
    }

    auto disconnect(Process *one, Process *other) -> void
    {
        m_disconnected.insert(std::minmax(one, other));
    }

    auto reconnect(Process *one, Process *other) -> void
    {
        m_disconnected.erase(std::minmax(one, other));
    }

    /// @brief Runs all actions that are due now.
    auto runDue() -> void
    {
        while (!m_actions.empty() && m_actions.begin()->first <= m_now) {
            const Action action = std::move(m_actions.begin()->second);
            m_actions.erase(m_actions.begin());
            action();
        }
    }

    [[nodiscard]] auto nextAction() const -> TimePoint
    {
        return m_actions.empty() ? TimePoint::max() : m_actions.begin()->first;
    }

    [[nodiscard]] auto isDisconnected(const Message &message) const -> bool
    {
        return m_disconnected.contains(std::minmax(message.m_sender, message.m_receiver));
    }

    [[nodiscard]] auto randomLatency() -> Duration
    {
        return Milliseconds(1 + m_random.below(20));
    }

    TimePoint m_now{std::chrono::hours(1)};
    std::size_t m_steps = 0; ///< events that the decision code handled
    RandomSource m_random;
    Inspect m_inspect;

private:
    auto runIn(Process &process, std::uint64_t generation, const Action &action) -> void
    {
        if (process.m_processGeneration != generation || !process.m_alive) {
            return;
        }
        if (m_now < process.m_pausedUntil) {
            m_actions.emplace(process.m_pausedUntil, [this, &process, generation, action] {
                runIn(process, generation, action);
            });
            return;
        }
        action();
    }

    auto deliver(const Message &message, const Delivery &delivery, const Effect &effect, const Respond &respond) -> void
    {
        if (!delivery.m_delivered || isDisconnected(message)) {
            return;
        }
        const auto arrive = [effect, respond] {
            effect(respond);
        };
        for (const bool copy : {false, true}) {
            if (copy && !delivery.m_repeated) {
                break;
            }
            const Duration delay = randomLatency() + delivery.m_delay + (copy ? Milliseconds(m_random.below(2'500)) : Milliseconds(0));
            if (message.m_receiver == nullptr) {
                after(delay, arrive);
            } else {
                after(*message.m_receiver, delay, arrive);
            }
        }
    }

    std::multimap<TimePoint, Action> m_actions;
    std::set<std::pair<Process *, Process *>> m_disconnected;
};
}

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
/// @brief A message that is about to be sent.
struct Message {
    std::vector<Step> m_steps; ///< protocol steps that it belongs to
    Process *m_sender = nullptr;
    Process *m_receiver = nullptr; ///< nullptr for the platform
};

/// @brief What the network does with a message.
struct Passage {
    bool m_delivered = true;
    bool m_answered = true;
    bool m_repeated = false; ///< a second copy arrives later
    Duration m_delay{0};
};

/// @brief Virtual clock and messages in flight.
class Simulation
{
public:
    using Action = std::function<void()>;
    using Respond = std::function<void(Action)>;
    using Effect = std::function<void(const Respond &)>;
    /// @brief Takes the failure of a call; the argument is true when the connection was refused.
    using Lost = std::function<void(bool)>;
    using Inspect = std::function<Passage(const Message &)>;

    explicit Simulation(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// @brief Runs an action of the world after a delay.
    auto after(Duration delay, Action action) -> void
    {
        m_actions.emplace(m_now + delay, std::move(action));
    }

    /// @brief Runs an action of a process after a delay; a pause defers it, a kill voids it.
    auto after(Process &process, Duration delay, Action action) -> void
    {
        after(delay, [this, &process, life = process.m_life, action = std::move(action)] {
            runIn(process, life, action);
        });
    }

    /// @brief Sends a request and delivers at most one of its answer and its loss to the sender.
    auto call(const Message &message, Duration timeout, const Effect &effect, const Lost &lost) -> void
    {
        const Passage passage = m_inspect ? m_inspect(message) : Passage{};
        Process &sender = *message.m_sender;
        if (!sender.m_alive) {
            // The message left before its sender was killed.
            deliver(message, passage, effect, [](const Action &) {});
            return;
        }
        const auto settled = std::make_shared<bool>(false);
        const auto settle = [settled](const Action &action) {
            if (!std::exchange(*settled, true)) {
                action();
            }
        };
        if (message.m_receiver != nullptr && !message.m_receiver->m_alive) {
            after(sender, travel(), [settle, lost] {
                settle([lost] {
                    lost(true);
                });
            });
            return;
        }
        after(sender, timeout, [settle, lost] {
            settle([lost] {
                lost(false);
            });
        });
        deliver(message, passage, effect, [this, &sender, life = sender.m_life, settle, message, answered = passage.m_answered](const Action &answer) {
            if (!answered || isCut(message) || sender.m_life != life) {
                return;
            }
            after(sender, travel(), [settle, answer] {
                settle(answer);
            });
        });
    }

    auto cut(Process *one, Process *other) -> void
    {
        m_cuts.insert(std::minmax(one, other));
    }

    auto join(Process *one, Process *other) -> void
    {
        m_cuts.erase(std::minmax(one, other));
    }

    /// @brief Runs everything that is due now.
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

    [[nodiscard]] auto isCut(const Message &message) const -> bool
    {
        return m_cuts.contains(std::minmax(message.m_sender, message.m_receiver));
    }

    [[nodiscard]] auto travel() -> Duration
    {
        return Milliseconds(1 + m_random.below(20));
    }

    TimePoint m_now{std::chrono::hours(1)};
    std::size_t m_steps = 0; ///< events that the decision code handled
    RandomSource m_random;
    Inspect m_inspect;

private:
    auto runIn(Process &process, std::uint64_t life, const Action &action) -> void
    {
        if (process.m_life != life || !process.m_alive) {
            return;
        }
        if (m_now < process.m_pausedUntil) {
            m_actions.emplace(process.m_pausedUntil, [this, &process, life, action] {
                runIn(process, life, action);
            });
            return;
        }
        action();
    }

    auto deliver(const Message &message, const Passage &passage, const Effect &effect, const Respond &respond) -> void
    {
        if (!passage.m_delivered || isCut(message)) {
            return;
        }
        const auto arrive = [effect, respond] {
            effect(respond);
        };
        for (const bool copy : {false, true}) {
            if (copy && !passage.m_repeated) {
                break;
            }
            const Duration delay = travel() + passage.m_delay + (copy ? Milliseconds(m_random.below(2'500)) : Milliseconds(0));
            if (message.m_receiver == nullptr) {
                after(delay, arrive);
            } else {
                after(*message.m_receiver, delay, arrive);
            }
        }
    }

    std::multimap<TimePoint, Action> m_actions;
    std::set<std::pair<Process *, Process *>> m_cuts;
};
}

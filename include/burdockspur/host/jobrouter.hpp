#pragma once

#include "burdockspur/contract/shardownership.hpp"
#include "burdockspur/core/clock.hpp"
#include "burdockspur/host/callermessage.hpp"
#include "burdockspur/host/jobcommand.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace Burdockspur
{
class RandomSource;

/// @brief The link to a host's scheduler opened or closed.
struct LinkStateChanged {
    std::string m_host;
    bool m_isOpen = false;
};

/// @brief A scheduler sent a message.
struct PeerSpoke {
    std::string m_host;
    PeerMessage m_message;
};

/// @brief A message could not be sent, because the link is closed or its buffer full.
struct SendFailed {
    std::uint64_t m_correlation = 0;
};

/// @brief Everything that JobRouter reacts to.
using JobEvent = std::variant<JobCommand, LinkStateChanged, PeerSpoke, SendFailed, ConfigurationChanged, TimePassed>;

/// @brief Sends a message to a host's scheduler.
struct SendToPeer {
    std::string m_host;
    PeerMessage m_message;
};

/// @brief Everything that JobRouter orders.
using JobOrder = std::variant<SendToPeer, AnswerJob, AnswerJobList>;

/// @brief Brings commands about jobs to the owners of their shards, and the answers back.
///
/// Knows the owner of each shard from the reports of the schedulers; the highest epoch counts. A command is
/// repeated until its deadline while there is no owner or the owner cannot be reached: all commands are
/// idempotent. Decision code: no socket, thread, codec or clock.
class JobRouter
{
public:
    JobRouter() = default;

    /// @brief Handles one event.
    /// @param event what happened
    /// @param now current time
    /// @param random source of the jitter of pauses
    /// @param orders appended to
    auto handle(JobEvent &&event, TimePoint now, RandomSource &random, std::vector<JobOrder> &orders) -> void;

    /// @brief When TimePassed is due, or TimePoint::max().
    [[nodiscard]] auto nextDeadline() const noexcept -> TimePoint;

    /// @brief The known owners, by shard.
    [[nodiscard]] auto owners() const -> std::vector<ShardOwnership>;

    /// @brief Hosts whose links are open.
    [[nodiscard]] auto openLinks() const -> std::vector<std::string>;

private:
    struct Turn {
        TimePoint m_now;
        RandomSource &m_random;
        std::vector<JobOrder> &m_orders;
    };

    struct Pending {
        JobCommand m_command;
        TimePoint m_timer; ///< next try, or the deadline
        std::uint32_t m_tries = 0;
        std::set<std::uint64_t> m_open; ///< correlations without a reply
        std::map<std::string, Job> m_jobs; ///< of the schedulers that replied to ListJobs
        std::optional<std::string> m_listedUpTo; ///< a scheduler has jobs beyond this id that its reply does not name
        bool m_wasSent = false;
    };

    struct Sent {
        CallerTicket m_ticket = 0;
        std::string m_host;
    };

    template<typename Event>
    auto dispatch(JobEvent &&event, Turn &turn) -> void
    {
        if (auto *const content = std::get_if<Event>(&event); content != nullptr) {
            on(std::move(*content), turn);
        }
    }

    auto on(JobCommand &&event, Turn &turn) -> void;
    auto on(LinkStateChanged &&event, Turn &turn) -> void;
    auto on(PeerSpoke &&event, Turn &turn) -> void;
    auto on(SendFailed &&event, Turn &turn) -> void;
    auto on(ConfigurationChanged &&event, Turn &turn) -> void;
    auto on(TimePassed &&event, Turn &turn) -> void;

    auto learn(std::string_view host, const OwnershipReport &report, Turn &turn) -> void;
    auto take(CallerTicket ticket, JobReply &&reply, Turn &turn) -> void;
    auto take(CallerTicket ticket, JobListReply &&reply, Turn &turn) -> void;
    auto take(CallerTicket ticket, ErrorReply &&reply, Turn &turn) -> void;

    auto tryNow(Pending &pending, Turn &turn) -> void;
    [[nodiscard]] auto sendToOwner(Pending &pending, std::string_view job, Turn &turn) -> bool;
    [[nodiscard]] auto sendToAll(Pending &pending, Turn &turn) -> bool;
    auto send(Pending &pending, std::string_view host, Turn &turn) -> void;
    auto retryLater(Pending &pending, Turn &turn) -> void;
    auto retryWaiting(Turn &turn) -> void;
    auto giveUp(Pending &pending, const Error &error, Turn &turn) -> void;
    auto finishList(Pending &pending, Turn &turn) -> void;
    auto forget(Pending &pending) -> void;
    auto setTimer(Pending &pending, TimePoint time) -> void;

    std::uint32_t m_shards = 0; ///< 0: the configuration is not known yet
    std::map<ShardId, ShardOwnership> m_owners;
    std::set<std::string, std::less<>> m_openLinks;
    std::unordered_map<CallerTicket, Pending> m_pending;
    std::unordered_map<std::uint64_t, Sent> m_sent;
    std::set<std::pair<TimePoint, CallerTicket>> m_timers;
    std::uint64_t m_lastCorrelation = 0;
};
}

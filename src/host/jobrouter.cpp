#include "burdockspur/host/jobrouter.hpp"

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/core/randomsource.hpp"

#include <algorithm>
#include <array>

namespace Burdockspur
{
namespace
{
constexpr Milliseconds firstPause{20};
constexpr Milliseconds longestPause{500};

/// Codes of a scheduler that cannot serve the command now but may later, or that another one serves.
constexpr std::array<ErrorCode, 5> passingCodes{ErrorCode::NotOwner, ErrorCode::Unavailable, ErrorCode::RingFull, ErrorCode::StaleEpoch, ErrorCode::Draining};

template<typename... Handlers>
struct Overloaded : Handlers... {
    using Handlers::operator()...;
};

/// @brief Id of the job that a command concerns; empty for ListJobs.
[[nodiscard]] auto jobOf(const JobCommand::Body &body) -> std::string_view
{
    return std::visit(Overloaded{
                          [](const ListJobs &) {
                              return std::string_view();
                          },
                          [](const auto &command) {
                              return std::string_view(command.m_job);
                          },
                      },
                      body);
}
}

auto JobRouter::handle(JobEvent &&event, TimePoint now, RandomSource &random, std::vector<JobOrder> &orders) -> void
{
    using Handler = auto (JobRouter::*)(JobEvent &&, Turn &)->void;
    // In the order of the alternatives of JobEvent.
    static constexpr std::array<Handler, std::variant_size_v<JobEvent>> handlers{
        &JobRouter::dispatch<JobCommand>,
        &JobRouter::dispatch<LinkStateChanged>,
        &JobRouter::dispatch<PeerSpoke>,
        &JobRouter::dispatch<SendFailed>,
        &JobRouter::dispatch<ConfigurationChanged>,
        &JobRouter::dispatch<TimePassed>,
    };
    Turn turn{now, random, orders};
    (this->*handlers[event.index()])(std::move(event), turn);
}

auto JobRouter::nextDeadline() const noexcept -> TimePoint
{
    return m_timers.empty() ? TimePoint::max() : m_timers.begin()->first;
}

auto JobRouter::owners() const -> std::vector<ShardOwnership>
{
    std::vector<ShardOwnership> list;
    list.reserve(m_owners.size());
    for (const auto &[shard, owner] : m_owners) {
        list.push_back(owner);
    }
    return list;
}

auto JobRouter::openLinks() const -> std::vector<std::string>
{
    return {m_openLinks.begin(), m_openLinks.end()};
}

auto JobRouter::on(JobCommand &&event, Turn &turn) -> void
{
    const CallerTicket ticket = event.m_ticket;
    auto &pending = m_pending[ticket];
    pending.m_command = std::move(event);
    pending.m_timer = pending.m_command.m_deadline;
    m_timers.emplace(pending.m_timer, ticket);
    tryNow(pending, turn);
}

auto JobRouter::on(LinkStateChanged &&event, Turn &turn) -> void
{
    if (event.m_isOpen) {
        m_openLinks.insert(std::move(event.m_host));
        return;
    }
    m_openLinks.erase(event.m_host);
    std::set<CallerTicket> interrupted;
    for (const auto &[correlation, sent] : m_sent) {
        if (sent.m_host == event.m_host) {
            interrupted.insert(sent.m_ticket);
        }
    }
    for (const CallerTicket ticket : interrupted) {
        retryLater(m_pending.at(ticket), turn);
    }
}

auto JobRouter::on(PeerSpoke &&event, Turn &turn) -> void
{
    if (const auto *const report = std::get_if<OwnershipReport>(&event.m_message.m_body); report != nullptr) {
        learn(event.m_host, *report, turn);
        return;
    }
    const auto found = m_sent.find(event.m_message.m_correlation);
    if (found == m_sent.end()) {
        return;
    }
    const CallerTicket ticket = found->second.m_ticket;
    m_pending.at(ticket).m_open.erase(found->first);
    m_sent.erase(found);
    std::visit(Overloaded{
                   [&](JobReply &reply) {
                       take(ticket, std::move(reply), turn);
                   },
                   [&](JobListReply &reply) {
                       take(ticket, std::move(reply), turn);
                   },
                   [&](ErrorReply &reply) {
                       take(ticket, std::move(reply), turn);
                   },
                   [&](auto &) {
                       retryLater(m_pending.at(ticket), turn);
                   },
               },
               event.m_message.m_body);
}

auto JobRouter::on(SendFailed &&event, Turn &turn) -> void
{
    if (const auto found = m_sent.find(event.m_correlation); found != m_sent.end()) {
        retryLater(m_pending.at(found->second.m_ticket), turn);
    }
}

auto JobRouter::on(ConfigurationChanged &&event, Turn &turn) -> void
{
    m_shards = event.m_configuration.m_shards;
    retryWaiting(turn);
}

auto JobRouter::on(TimePassed && /*event*/, Turn &turn) -> void
{
    while (nextDeadline() <= turn.m_now) {
        auto &pending = m_pending.at(m_timers.begin()->second);
        if (pending.m_command.m_deadline <= turn.m_now) {
            giveUp(pending, {ErrorCode::Unavailable, "no scheduler that owns the shard answered in time"}, turn);
        } else {
            tryNow(pending, turn);
        }
    }
}

auto JobRouter::learn(std::string_view host, const OwnershipReport &report, Turn &turn) -> void
{
    std::set<ShardId> reported;
    for (const auto &shard : report.m_shards) {
        reported.insert(shard.m_shard);
        auto &known = m_owners[shard.m_shard];
        if (shard.m_epoch >= known.m_epoch) {
            known = shard;
            known.m_owner = host;
        }
    }
    std::erase_if(m_owners, [&](const auto &entry) {
        return entry.second.m_owner == host && !reported.contains(entry.first);
    });
    retryWaiting(turn);
}

auto JobRouter::take(CallerTicket ticket, JobReply &&reply, Turn &turn) -> void
{
    forget(m_pending.at(ticket));
    turn.m_orders.emplace_back(AnswerJob{ticket, std::move(reply.m_job), true});
}

auto JobRouter::take(CallerTicket ticket, JobListReply &&reply, Turn &turn) -> void
{
    auto &pending = m_pending.at(ticket);
    auto &page = reply.m_page;
    if (page.m_hasMore && !page.m_jobs.empty()) {
        const auto &last = page.m_jobs.back().m_id;
        pending.m_listedUpTo = std::min(pending.m_listedUpTo.value_or(last), last);
    }
    for (auto &job : page.m_jobs) {
        // A shard that changes its owner between two replies appears in both.
        const std::string id = job.m_id;
        pending.m_jobs.insert_or_assign(id, std::move(job));
    }
    if (pending.m_open.empty()) {
        finishList(pending, turn);
    }
}

auto JobRouter::take(CallerTicket ticket, ErrorReply &&reply, Turn &turn) -> void
{
    auto &pending = m_pending.at(ticket);
    if (reply.m_error.m_code == ErrorCode::Overloaded) {
        // The owner does not know the job and did not accept it, so no earlier send took effect either.
        pending.m_wasSent = false;
        retryLater(pending, turn);
    } else if (std::ranges::find(passingCodes, reply.m_error.m_code) != passingCodes.end()) {
        retryLater(pending, turn);
    } else {
        // The scheduler refused the command, so no earlier send of it took effect either.
        pending.m_wasSent = false;
        giveUp(pending, reply.m_error, turn);
    }
}

auto JobRouter::tryNow(Pending &pending, Turn &turn) -> void
{
    const auto job = jobOf(pending.m_command.m_body);
    const bool sent = m_shards > 0 && (job.empty() ? sendToAll(pending, turn) : sendToOwner(pending, job, turn));
    if (sent) {
        setTimer(pending, pending.m_command.m_deadline);
    } else {
        retryLater(pending, turn);
    }
}

auto JobRouter::sendToOwner(Pending &pending, std::string_view job, Turn &turn) -> bool
{
    const auto found = m_owners.find(shardOf(job, m_shards));
    if (found == m_owners.end() || !m_openLinks.contains(found->second.m_owner)) {
        return false;
    }
    send(pending, found->second.m_owner, turn);
    return true;
}

auto JobRouter::sendToAll(Pending &pending, Turn &turn) -> bool
{
    std::set<std::string, std::less<>> hosts;
    for (const auto &[shard, owner] : m_owners) {
        hosts.insert(owner.m_owner);
    }
    // A list without the jobs of a shard would look like jobs that are lost.
    if (m_owners.size() < m_shards || !std::ranges::includes(m_openLinks, hosts)) {
        return false;
    }
    pending.m_jobs.clear();
    pending.m_listedUpTo.reset();
    for (const auto &host : hosts) {
        send(pending, host, turn);
    }
    return true;
}

auto JobRouter::send(Pending &pending, std::string_view host, Turn &turn) -> void
{
    PeerMessage message;
    message.m_correlation = ++m_lastCorrelation;
    std::visit(
        [&message](const auto &command) {
            message.m_body = command;
        },
        pending.m_command.m_body);
    pending.m_wasSent = true;
    pending.m_open.insert(message.m_correlation);
    m_sent.emplace(message.m_correlation, Sent{pending.m_command.m_ticket, std::string(host)});
    turn.m_orders.emplace_back(SendToPeer{std::string(host), std::move(message)});
}

auto JobRouter::retryLater(Pending &pending, Turn &turn) -> void
{
    constexpr std::uint32_t maxDoublings = 8;
    for (const auto correlation : pending.m_open) {
        m_sent.erase(correlation);
    }
    pending.m_open.clear();
    const auto full = std::min(longestPause, firstPause * (1U << std::min(pending.m_tries, maxDoublings)));
    ++pending.m_tries;
    const Duration half = full / 2;
    const Duration pause = half + Duration(static_cast<Duration::rep>(static_cast<double>(half.count()) * turn.m_random.unit()));
    setTimer(pending, std::min(pending.m_command.m_deadline, turn.m_now + pause));
}

auto JobRouter::retryWaiting(Turn &turn) -> void
{
    for (auto &[ticket, pending] : m_pending) {
        if (pending.m_open.empty()) {
            tryNow(pending, turn);
        }
    }
}

auto JobRouter::giveUp(Pending &pending, const Error &error, Turn &turn) -> void
{
    const CallerTicket ticket = pending.m_command.m_ticket;
    const bool isList = std::holds_alternative<ListJobs>(pending.m_command.m_body);
    const bool changes = !isList && !std::holds_alternative<QueryJob>(pending.m_command.m_body);
    const bool mayHaveTakenEffect = changes && pending.m_wasSent;
    forget(pending);
    if (isList) {
        turn.m_orders.emplace_back(AnswerJobList{ticket, std::unexpected(error)});
    } else {
        turn.m_orders.emplace_back(AnswerJob{ticket, std::unexpected(error), mayHaveTakenEffect});
    }
}

auto JobRouter::finishList(Pending &pending, Turn &turn) -> void
{
    const CallerTicket ticket = pending.m_command.m_ticket;
    const auto limit = std::get<ListJobs>(pending.m_command.m_body).m_limit;
    JobPage page;
    for (auto &[id, job] : pending.m_jobs) {
        // Beyond the last id of a cut reply, the jobs of that scheduler would be missing from the list.
        if (page.m_jobs.size() == limit || (pending.m_listedUpTo && id > *pending.m_listedUpTo)) {
            break;
        }
        page.m_jobs.push_back(std::move(job));
    }
    page.m_hasMore = pending.m_listedUpTo.has_value() || page.m_jobs.size() < pending.m_jobs.size();
    forget(pending);
    turn.m_orders.emplace_back(AnswerJobList{ticket, std::move(page)});
}

auto JobRouter::forget(Pending &pending) -> void
{
    for (const auto correlation : pending.m_open) {
        m_sent.erase(correlation);
    }
    m_timers.erase({pending.m_timer, pending.m_command.m_ticket});
    m_pending.erase(pending.m_command.m_ticket);
}

auto JobRouter::setTimer(Pending &pending, TimePoint time) -> void
{
    m_timers.erase({pending.m_timer, pending.m_command.m_ticket});
    pending.m_timer = time;
    m_timers.emplace(time, pending.m_command.m_ticket);
}
}

#include "burdockspur/host/jobrouter.hpp"

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/core/randomsource.hpp"

#include <algorithm>
#include <array>

namespace Burdockspur
{
namespace
{
constexpr Milliseconds firstPause{20}; // doubles with each attempt
constexpr Milliseconds longestPause{500};

/// Codes after which the command is repeated: this scheduler may accept it later, or another one owns the shard.
constexpr std::array<ErrorCode, 5> retryableCodes{ErrorCode::NotOwner, ErrorCode::Unavailable, ErrorCode::RingFull, ErrorCode::StaleEpoch, ErrorCode::Draining};

template<typename... Handlers>
struct Overloaded : Handlers... {
    using Handlers::operator()...;
};

/// @brief Returns the id of the job that a command concerns; empty for ListJobs.
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
    using Handler = auto (JobRouter::*)(JobEvent &&, EventContext &)->void;
    // In the order of the alternatives of JobEvent.
    static constexpr std::array<Handler, std::variant_size_v<JobEvent>> handlers{
        &JobRouter::dispatch<JobCommand>,
        &JobRouter::dispatch<LinkStateChanged>,
        &JobRouter::dispatch<PeerMessageReceived>,
        &JobRouter::dispatch<SendFailed>,
        &JobRouter::dispatch<ConfigurationChanged>,
        &JobRouter::dispatch<TimerExpired>,
    };
    EventContext context{now, random, orders};
    (this->*handlers[event.index()])(std::move(event), context);
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

auto JobRouter::on(JobCommand &&event, EventContext &context) -> void
{
    const CallerTicket ticket = event.m_ticket;
    auto &pending = m_pending[ticket];
    pending.m_command = std::move(event);
    pending.m_timer = pending.m_command.m_deadline;
    m_timers.emplace(pending.m_timer, ticket);
    trySend(pending, context);
}

auto JobRouter::on(LinkStateChanged &&event, EventContext &context) -> void
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
        retryLater(m_pending.at(ticket), context);
    }
}

auto JobRouter::on(PeerMessageReceived &&event, EventContext &context) -> void
{
    if (const auto *const report = std::get_if<OwnershipReport>(&event.m_message.m_body); report != nullptr) {
        updateOwners(event.m_host, *report, context);
        return;
    }
    const auto found = m_sent.find(event.m_message.m_correlation);
    if (found == m_sent.end()) {
        return;
    }
    const CallerTicket ticket = found->second.m_ticket;
    m_pending.at(ticket).m_awaitedReplies.erase(found->first);
    m_sent.erase(found);
    std::visit(Overloaded{
                   [&](JobReply &reply) {
                       handleReply(ticket, std::move(reply), context);
                   },
                   [&](JobListReply &reply) {
                       handleReply(ticket, std::move(reply), context);
                   },
                   [&](ErrorReply &reply) {
                       handleReply(ticket, std::move(reply), context);
                   },
                   [&](auto &) {
                       retryLater(m_pending.at(ticket), context);
                   },
               },
               event.m_message.m_body);
}

auto JobRouter::on(SendFailed &&event, EventContext &context) -> void
{
    if (const auto found = m_sent.find(event.m_correlation); found != m_sent.end()) {
        retryLater(m_pending.at(found->second.m_ticket), context);
    }
}

auto JobRouter::on(ConfigurationChanged &&event, EventContext &context) -> void
{
    m_shards = event.m_configuration.m_shards;
    retryWaiting(context);
}

auto JobRouter::on(TimerExpired && /*event*/, EventContext &context) -> void
{
    while (nextDeadline() <= context.m_now) {
        auto &pending = m_pending.at(m_timers.begin()->second);
        if (pending.m_command.m_deadline <= context.m_now) {
            finishWithError(pending, {ErrorCode::Unavailable, "no scheduler that owns the shard answered in time"}, context);
        } else {
            trySend(pending, context);
        }
    }
}

auto JobRouter::updateOwners(std::string_view host, const OwnershipReport &report, EventContext &context) -> void
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
    retryWaiting(context);
}

auto JobRouter::handleReply(CallerTicket ticket, JobReply &&reply, EventContext &context) -> void
{
    removePending(m_pending.at(ticket));
    context.m_orders.emplace_back(AnswerJob{ticket, std::move(reply.m_job), true});
}

auto JobRouter::handleReply(CallerTicket ticket, JobListReply &&reply, EventContext &context) -> void
{
    auto &pending = m_pending.at(ticket);
    auto &page = reply.m_page;
    if (page.m_hasMore && !page.m_jobs.empty()) {
        const auto &last = page.m_jobs.back().m_id;
        pending.m_listedUpTo = std::min(pending.m_listedUpTo.value_or(last), last);
    }
    for (auto &job : page.m_jobs) {
        // The jobs of a shard whose owner changes between two replies are in both.
        const std::string id = job.m_id;
        pending.m_jobs.insert_or_assign(id, std::move(job));
    }
    if (pending.m_awaitedReplies.empty()) {
        finishList(pending, context);
    }
}

auto JobRouter::handleReply(CallerTicket ticket, ErrorReply &&reply, EventContext &context) -> void
{
    auto &pending = m_pending.at(ticket);
    if (reply.m_error.m_code == ErrorCode::Overloaded) {
        // The owner has no such job and did not accept it, so no earlier send took effect either.
        pending.m_wasSent = false;
        retryLater(pending, context);
    } else if (std::ranges::find(retryableCodes, reply.m_error.m_code) != retryableCodes.end()) {
        retryLater(pending, context);
    } else {
        // The scheduler rejected the command, so no earlier send of it took effect either.
        pending.m_wasSent = false;
        finishWithError(pending, reply.m_error, context);
    }
}

auto JobRouter::trySend(Pending &pending, EventContext &context) -> void
{
    const auto job = jobOf(pending.m_command.m_body);
    const bool sent = m_shards > 0 && (job.empty() ? sendToAll(pending, context) : sendToOwner(pending, job, context));
    if (sent) {
        setTimer(pending, pending.m_command.m_deadline);
    } else {
        retryLater(pending, context);
    }
}

auto JobRouter::sendToOwner(Pending &pending, std::string_view job, EventContext &context) -> bool
{
    const auto found = m_owners.find(shardOf(job, m_shards));
    if (found == m_owners.end() || !m_openLinks.contains(found->second.m_owner)) {
        return false;
    }
    send(pending, found->second.m_owner, context);
    return true;
}

auto JobRouter::sendToAll(Pending &pending, EventContext &context) -> bool
{
    std::set<std::string, std::less<>> hosts;
    for (const auto &[shard, owner] : m_owners) {
        hosts.insert(owner.m_owner);
    }
    // A list without the jobs of one shard would suggest that those jobs are lost.
    if (m_owners.size() < m_shards || !std::ranges::includes(m_openLinks, hosts)) {
        return false;
    }
    pending.m_jobs.clear();
    pending.m_listedUpTo.reset();
    for (const auto &host : hosts) {
        send(pending, host, context);
    }
    return true;
}

auto JobRouter::send(Pending &pending, std::string_view host, EventContext &context) -> void
{
    PeerMessage message;
    message.m_correlation = ++m_lastCorrelation;
    std::visit(
        [&message](const auto &command) {
            message.m_body = command;
        },
        pending.m_command.m_body);
    pending.m_wasSent = true;
    pending.m_awaitedReplies.insert(message.m_correlation);
    m_sent.emplace(message.m_correlation, Sent{pending.m_command.m_ticket, std::string(host)});
    context.m_orders.emplace_back(SendToPeer{std::string(host), std::move(message)});
}

auto JobRouter::retryLater(Pending &pending, EventContext &context) -> void
{
    constexpr std::uint32_t maxDoublings = 8;
    for (const auto correlation : pending.m_awaitedReplies) {
        m_sent.erase(correlation);
    }
    pending.m_awaitedReplies.clear();
    const auto full = std::min(longestPause, firstPause * (1U << std::min(pending.m_attempts, maxDoublings)));
    ++pending.m_attempts;
    const Duration half = full / 2;
    const Duration pause = half + Duration(static_cast<Duration::rep>(static_cast<double>(half.count()) * context.m_random.unit()));
    setTimer(pending, std::min(pending.m_command.m_deadline, context.m_now + pause));
}

auto JobRouter::retryWaiting(EventContext &context) -> void
{
    for (auto &[ticket, pending] : m_pending) {
        if (pending.m_awaitedReplies.empty()) {
            trySend(pending, context);
        }
    }
}

auto JobRouter::finishWithError(Pending &pending, const Error &error, EventContext &context) -> void
{
    const CallerTicket ticket = pending.m_command.m_ticket;
    const bool isList = std::holds_alternative<ListJobs>(pending.m_command.m_body);
    const bool changes = !isList && !std::holds_alternative<QueryJob>(pending.m_command.m_body);
    const bool mayHaveTakenEffect = changes && pending.m_wasSent;
    removePending(pending);
    if (isList) {
        context.m_orders.emplace_back(AnswerJobList{ticket, std::unexpected(error)});
    } else {
        context.m_orders.emplace_back(AnswerJob{ticket, std::unexpected(error), mayHaveTakenEffect});
    }
}

auto JobRouter::finishList(Pending &pending, EventContext &context) -> void
{
    const CallerTicket ticket = pending.m_command.m_ticket;
    const auto limit = std::get<ListJobs>(pending.m_command.m_body).m_limit;
    JobPage page;
    for (auto &[id, job] : pending.m_jobs) {
        // Beyond the last id of a truncated reply, the jobs of that scheduler are unknown.
        if (page.m_jobs.size() == limit || (pending.m_listedUpTo && id > *pending.m_listedUpTo)) {
            break;
        }
        page.m_jobs.push_back(std::move(job));
    }
    page.m_hasMore = pending.m_listedUpTo.has_value() || page.m_jobs.size() < pending.m_jobs.size();
    removePending(pending);
    context.m_orders.emplace_back(AnswerJobList{ticket, std::move(page)});
}

auto JobRouter::removePending(Pending &pending) -> void
{
    for (const auto correlation : pending.m_awaitedReplies) {
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

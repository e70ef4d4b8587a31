#include "burdockspur/operations/log.hpp"
#include "burdockspur/shard/shardduty.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <utility>

namespace Burdockspur
{
namespace
{
constexpr Milliseconds metricsPeriod{1'000};
constexpr std::size_t maxListBytes = 700'000; // an encoded page must fit into a frame of at most 1 MiB

[[nodiscard]] auto pageOf(std::vector<Job> &&jobs, std::size_t limit) -> JobPage
{
    std::ranges::sort(jobs, {}, &Job::m_id);
    std::size_t bytes = 0;
    std::size_t count = 0;
    for (; count < std::min(jobs.size(), limit); ++count) {
        const Job &job = jobs[count];
        bytes += sizeof(Job) + job.m_spec.m_payload.size() + job.m_result.size() + job.m_reason.size();
        if (bytes > maxListBytes && count > 0) {
            break;
        }
    }
    JobPage page{.m_jobs = std::move(jobs), .m_hasMore = false};
    page.m_hasMore = count < page.m_jobs.size();
    page.m_jobs.resize(count);
    return page;
}
}

auto ShardDuty::schedulerOf(std::string_view job, const EntryTicket &ticket) -> OwnedShard *
{
    OwnedShard *const shard = m_configuration ? find(shardOf(job, m_configuration->m_shards)) : nullptr;
    if (shard == nullptr || !shard->m_scheduler) {
        answerError(ticket, ErrorCode::NotOwner, "this scheduler does not own the job's shard");
        return nullptr;
    }
    return shard;
}

auto ShardDuty::serve(const EntryTicket &ticket, const SubmitJob &request) -> void
{
    OwnedShard *const shard = schedulerOf(request.m_job, ticket);
    if (shard == nullptr) {
        return;
    }
    if (m_draining || m_balancer.shardInHandover() == shard->m_claim.ownership().m_shard) {
        answerError(ticket, ErrorCode::Draining, m_draining ? "this scheduler is shutting down" : "the shard is being handed over");
        return;
    }
    dispatch(*shard, JobSubmitted{.m_ticket = ticket, .m_job = request.m_job, .m_spec = request.m_spec});
}

auto ShardDuty::serve(const EntryTicket &ticket, const CancelJob &request) -> void
{
    if (OwnedShard *const shard = schedulerOf(request.m_job, ticket)) {
        dispatch(*shard, CancelRequested{.m_ticket = ticket, .m_job = request.m_job});
    }
}

auto ShardDuty::serve(const EntryTicket &ticket, const QueryJob &request) -> void
{
    if (OwnedShard *const shard = schedulerOf(request.m_job, ticket)) {
        dispatch(*shard, JobQueried{.m_ticket = ticket, .m_job = request.m_job});
    }
}

auto ShardDuty::serve(const EntryTicket &ticket, const ListJobs &request) -> void
{
    const auto state = jobStateFromName(request.m_state);
    if (!request.m_state.empty() && !state) {
        answerError(ticket, ErrorCode::BadRequest, "unknown job state '" + request.m_state + "'");
        return;
    }
    const std::size_t limit = std::clamp<std::uint32_t>(request.m_limit, 1, ListJobs::maxLimit);
    std::vector<Job> jobs;
    for (const auto &[id, shard] : m_shards) {
        if (shard.m_scheduler) {
            // One job more than fits into the page shows whether another page follows.
            shard.m_scheduler->jobs().list(state ? &*state : nullptr, request.m_after, jobs.size() + limit + 1, jobs);
        }
    }
    answer(ticket, JobListReply{.m_page = pageOf(std::move(jobs), limit)});
}

auto ShardDuty::answer(const EntryTicket &ticket, PeerMessage::Body body) -> void
{
    EntryAnswer entry;
    entry.m_link = ticket.m_link;
    entry.m_message.m_configVersion = m_configuration ? m_configuration->m_version : 0;
    entry.m_message.m_correlation = ticket.m_correlation;
    entry.m_message.m_body = std::move(body);
    if (!m_rings.m_entries.tryPush(std::move(entry))) {
        // The entry daemon repeats the request after a timeout; all requests are idempotent.
        m_metrics.countRingFull();
        logEvent(LogLevel::Warning, "ring_full", {{"ring", "entries"}, {"from", "shards"}});
    }
}

auto ShardDuty::answerError(const EntryTicket &ticket, ErrorCode code, std::string message) -> void
{
    answer(ticket, ErrorReply{.m_error = {.m_code = code, .m_message = std::move(message)}});
}

auto ShardDuty::publishOwnership() -> void
{
    if (!std::exchange(m_ownershipChanged, false)) {
        return;
    }
    // Publishes the status at once, so that it shows a new owner before the end of metricsPeriod.
    m_nextMetricsAt = m_now;
    OwnershipReport report;
    report.m_draining = m_draining;
    for (const auto &[id, shard] : m_shards) {
        if (shard.m_scheduler) {
            report.m_shards.push_back(shard.m_claim.ownership());
        }
    }
    EntryAnswer entry;
    entry.m_message.m_configVersion = m_configuration ? m_configuration->m_version : 0;
    entry.m_message.m_body = std::move(report);
    // A report that did not fit into the ring is pushed again in the next iteration.
    m_ownershipChanged = !m_rings.m_entries.tryPush(std::move(entry));
}

auto ShardDuty::publishMetrics() -> void
{
    if (m_now < m_nextMetricsAt) {
        return;
    }
    m_nextMetricsAt = m_now + metricsPeriod;
    std::array<std::size_t, JobTable::stateCount> states{};
    std::size_t owned = 0;
    std::size_t queued = 0;
    QJsonArray rows;
    for (auto &[id, shard] : m_shards) {
        const ShardOwnership &ownership = shard.m_claim.ownership();
        QJsonObject row{{"shard", static_cast<qint64>(id)},
                        {"owner", QString::fromStdString(ownership.m_owner)},
                        {"epoch", static_cast<qint64>(ownership.m_epoch)},
                        {"owned", shard.m_scheduler != nullptr}};
        if (shard.m_scheduler) {
            ++owned;
            queued += shard.m_scheduler->queued();
            const auto &counts = shard.m_scheduler->jobs().countByState();
            std::ranges::transform(states, counts, states.begin(), std::plus<>());
            m_metrics.add(shard.m_exportedCounters, shard.m_scheduler->counters());
            shard.m_exportedCounters = shard.m_scheduler->counters();
            row.insert("workers", static_cast<qint64>(shard.m_scheduler->workers().workers().size()));
            row.insert("queued", static_cast<qint64>(shard.m_scheduler->queued()));
        }
        rows.append(row);
    }
    m_metrics.setJobs(states);
    m_metrics.setShards(owned, queued);
    const QJsonObject status{{"host", QString::fromStdString(m_settings.m_host)},
                             {"program", "scheduler"},
                             {"draining", m_draining},
                             {"config_version", static_cast<qint64>(m_configuration ? m_configuration->m_version : 0)},
                             {"shards", rows}};
    m_status.set(QJsonDocument(status).toJson(QJsonDocument::Compact).toStdString());
}
}

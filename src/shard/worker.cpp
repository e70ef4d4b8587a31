#include "burdockspur/shard/worker.hpp"

#include "burdockspur/contract/job.hpp"
#include "burdockspur/core/invariant.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
constexpr std::int64_t driftPercent = 105; // the clocks of two hosts run at rates that differ by at most 5%
constexpr Milliseconds leaseMargin{500};
// With the default times, the lease lasts longer than two lost renewals.
constexpr std::uint32_t maxLostRenewals = 2;

[[nodiscard]] auto longestLease(const ShardSettings &settings) noexcept -> Duration
{
    constexpr std::int64_t hundredPercent = 100;
    return settings.m_workerLease * driftPercent / hundredPercent;
}
}

Worker::Worker(std::string_view name, TimePoint ownedSince, const ShardSettings &settings)
    : m_name(name)
    , m_lastSent(ownedSince)
    , m_nextRenewal(ownedSince)
    , m_settings(&settings)
    // The previous owner may have received a report just before and answered it, which renews the lease.
    , m_leaseBound(ownedSince + longestLease(settings))
{
}

auto Worker::setHost(const HostRecord &host, TimePoint now) -> void
{
    m_nextRenewal = m_listed ? m_nextRenewal : std::min(m_nextRenewal, now);
    m_host = host;
    m_listed = true;
    m_unlistedSince = TimePoint::max();
}

auto Worker::setUnlisted(TimePoint now) noexcept -> void
{
    m_listed = false;
    m_unlistedSince = std::min(m_unlistedSince, now);
}

auto Worker::reserve(std::string_view job, std::string_view jobClass, const Resources &amount, const Resources &serviceReservation) -> void
{
    requireInvariant(amount.fitsInto(freeFor(serviceReservation)), "worker_capacity", m_name);
    reserveUnchecked(job, jobClass, amount);
}

auto Worker::reserveUnchecked(std::string_view job, std::string_view jobClass, const Resources &amount) -> void
{
    requireInvariant(m_jobs.emplace(job).second, "one_attempt_of_a_job", job);
    m_reserved += amount;
    ++m_jobsByClass[std::string(jobClass)];
}

auto Worker::release(std::string_view job, std::string_view jobClass, const Resources &amount) -> void
{
    const auto found = m_jobs.find(job);
    requireInvariant(found != m_jobs.end(), "release_of_a_reservation", job);
    m_jobs.erase(found);
    m_reserved -= amount;
    requireInvariant(m_reserved.isValid(), "reserved_not_negative", m_name);
    const auto count = m_jobsByClass.find(jobClass);
    if (--count->second == 0) {
        m_jobsByClass.erase(count);
    }
}

auto Worker::freeFor(const Resources &serviceReservation) const noexcept -> Resources
{
    Resources free = m_host.m_capacity;
    free -= serviceReservation;
    free -= m_reserved;
    return free;
}

auto Worker::isUsable(TimePoint now) const noexcept -> bool
{
    return m_listed && m_leased && !isLeaving() && !m_suspect && m_failedRenewals == 0 && now >= m_quarantinedUntil && now >= m_fullUntil;
}

auto Worker::jobsOfClass(std::string_view jobClass) const -> std::uint32_t
{
    const auto found = m_jobsByClass.find(jobClass);
    return found == m_jobsByClass.end() ? 0 : found->second;
}

auto Worker::leaseEnd() const noexcept -> TimePoint
{
    return m_fenced ? m_leaseBound + leaseMargin : unfencedLeaseEnd();
}

auto Worker::unfencedLeaseEnd() const noexcept -> TimePoint
{
    // Until the worker has answered this epoch, it accepts renewals of a former owner. A former owner that is cut off only
    // from the table service continues to renew until its own host list no longer contains the worker, hence the extra
    // wait.
    if (m_unlistedSince == TimePoint::max()) {
        return TimePoint::max();
    }
    return std::max(m_leaseBound, m_unlistedSince + longestLease(*m_settings) + m_settings->m_unfencedWait) + leaseMargin;
}

auto Worker::recordRenewalSent(TimePoint now) noexcept -> void
{
    m_awaitsAnswer = true;
    m_lastSent = now;
    m_sentAcknowledgements = m_toAcknowledge;
    // The worker's lease starts when it sends the report, which is before the report is received here. A second renewal
    // that answers the same report does not extend the lease, so lost renewals do not lengthen it.
    if (m_report) {
        m_leaseBound = std::max(m_leaseBound, m_reportReceived + longestLease(*m_settings));
    }
}

auto Worker::recordRenewalAnswer(const LeaseReport &report, TimePoint now) -> void
{
    // Until this answer, a former owner may have renewed the lease.
    m_leaseBound = m_fenced ? m_leaseBound : now + longestLease(*m_settings);
    m_awaitsAnswer = false;
    m_fenced = true;
    m_suspect = false;
    m_failedRenewals = 0;
    m_leased = report.m_granted;
    m_ungrantedAnswers = report.m_granted ? 0 : m_ungrantedAnswers + 1;
    m_report = report.m_report;
    m_reportReceived = now;
    std::erase_if(m_toAcknowledge, [this](const AttemptId &ended) {
        return std::ranges::find(m_sentAcknowledgements, ended) != m_sentAcknowledgements.end();
    });
    m_sentAcknowledgements.clear();
}

auto Worker::recordRenewalLoss() noexcept -> void
{
    m_awaitsAnswer = false;
    ++m_failedRenewals;
    m_suspect = m_suspect || isUnresponsive();
}

auto Worker::isUnresponsive() const noexcept -> bool
{
    return m_failedRenewals >= maxLostRenewals;
}

auto Worker::deadline() const noexcept -> TimePoint
{
    if (!hasAddress()) {
        return m_jobs.empty() ? TimePoint::max() : leaseEnd();
    }
    const TimePoint next = m_awaitsAnswer ? m_answerDeadline : m_nextRenewal;
    return awaitsExpiry() ? std::min(next, leaseEnd()) : next;
}
}

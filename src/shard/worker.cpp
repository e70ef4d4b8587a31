#include "burdockspur/shard/worker.hpp"

#include "burdockspur/contract/job.hpp"
#include "burdockspur/core/invariant.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
constexpr std::int64_t driftPercent = 105; // clocks of two hosts differ by at most 5%
constexpr Milliseconds leaseMargin{500};
// With the default times the lease outlasts two lost renewals.
constexpr std::uint32_t renewalsUntilSilent = 2;

[[nodiscard]] auto leaseTime(const ShardSettings &settings) noexcept -> Duration
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
    // The previous owner may have received a report just before and answered it.
    , m_leaseBound(ownedSince + leaseTime(settings))
{
}

auto Worker::setHost(const HostRecord &host, TimePoint now) -> void
{
    m_nextRenewal = m_listed ? m_nextRenewal : std::min(m_nextRenewal, now);
    m_host = host;
    m_listed = true;
    m_missingSince = TimePoint::max();
}

auto Worker::setUnlisted(TimePoint now) noexcept -> void
{
    m_listed = false;
    m_missingSince = std::min(m_missingSince, now);
}

auto Worker::reserve(std::string_view job, std::string_view jobClass, const Resources &amount, const Resources &serviceReservation) -> void
{
    requireInvariant(amount.fitsInto(freeFor(serviceReservation)), "worker_capacity", m_name);
    adopt(job, jobClass, amount);
}

auto Worker::adopt(std::string_view job, std::string_view jobClass, const Resources &amount) -> void
{
    requireInvariant(m_jobs.emplace(job).second, "one_attempt_of_a_job", job);
    m_reserved += amount;
    ++m_classes[std::string(jobClass)];
}

auto Worker::release(std::string_view job, std::string_view jobClass, const Resources &amount) -> void
{
    const auto found = m_jobs.find(job);
    requireInvariant(found != m_jobs.end(), "release_of_a_reservation", job);
    m_jobs.erase(found);
    m_reserved -= amount;
    requireInvariant(m_reserved.isValid(), "reserved_not_negative", m_name);
    const auto count = m_classes.find(jobClass);
    if (--count->second == 0) {
        m_classes.erase(count);
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
    const auto found = m_classes.find(jobClass);
    return found == m_classes.end() ? 0 : found->second;
}

auto Worker::leaseEnd() const noexcept -> TimePoint
{
    return m_fenced ? m_leaseBound + leaseMargin : unfencedEnd();
}

auto Worker::unfencedEnd() const noexcept -> TimePoint
{
    // Without an answer to this epoch the worker accepts renewals of a former owner that has lost only the table.
    // Such an owner uses a host list too, so it stops some time after the worker is missing there.
    if (m_missingSince == TimePoint::max()) {
        return TimePoint::max();
    }
    return std::max(m_leaseBound, m_missingSince + leaseTime(*m_settings) + m_settings->m_unfencedWait) + leaseMargin;
}

auto Worker::renewalSent(TimePoint now) noexcept -> void
{
    m_awaiting = true;
    m_lastSent = now;
    m_sentEnded = m_ended;
    // The worker counts from when it sent the report, which was earlier. A renewal that answers the same report
    // again grants no more, so lost renewals do not lengthen the lease.
    if (m_report) {
        m_leaseBound = std::max(m_leaseBound, m_reportReceived + leaseTime(*m_settings));
    }
}

auto Worker::renewalAnswered(const LeaseReport &report, TimePoint now) -> void
{
    // Until this answer a former owner may have received reports and answered them.
    m_leaseBound = m_fenced ? m_leaseBound : now + leaseTime(*m_settings);
    m_awaiting = false;
    m_fenced = true;
    m_suspect = false;
    m_failedRenewals = 0;
    m_leased = report.m_granted;
    m_ungranted = report.m_granted ? 0 : m_ungranted + 1;
    m_report = report.m_report;
    m_reportReceived = now;
    std::erase_if(m_ended, [this](const AttemptId &ended) {
        return std::ranges::find(m_sentEnded, ended) != m_sentEnded.end();
    });
    m_sentEnded.clear();
}

auto Worker::renewalLost() noexcept -> void
{
    m_awaiting = false;
    ++m_failedRenewals;
    m_suspect = m_suspect || isSilent();
}

auto Worker::isSilent() const noexcept -> bool
{
    return m_failedRenewals >= renewalsUntilSilent;
}

auto Worker::deadline() const noexcept -> TimePoint
{
    if (!hasAddress()) {
        return m_jobs.empty() ? TimePoint::max() : leaseEnd();
    }
    const TimePoint next = m_awaiting ? m_answerDue : m_nextRenewal;
    return awaitsExpiry() ? std::min(next, leaseEnd()) : next;
}
}

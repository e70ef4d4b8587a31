#pragma once

#include "burdockspur/contract/attempt.hpp"
#include "burdockspur/contract/workerlease.hpp"
#include "burdockspur/core/clock.hpp"
#include "burdockspur/link/httpclient.hpp"
#include "burdockspur/machine/hostrecord.hpp"
#include "burdockspur/shard/shardsettings.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
struct JobSpec;

/// @brief The shard owner's state of one worker: reservations, lease and health.
class Worker
{
public:
    /// @param name unique name of the worker
    /// @param ownedSince begin of the ownership; a previous owner may have renewed the lease until then
    /// @param settings kept by reference
    Worker(std::string_view name, TimePoint ownedSince, const ShardSettings &settings);

    /// @brief Stores the worker's record of the host list.
    auto setHost(const HostRecord &host, TimePoint now) -> void;

    /// @brief Marks the worker as missing in the host list.
    auto setUnlisted(TimePoint now) noexcept -> void;

    /// @brief Reserves an amount for a new attempt; the amount must fit into the free capacity.
    auto reserve(std::string_view job, std::string_view jobClass, const Resources &amount, const Resources &serviceReservation) -> void;

    /// @brief Reserves an amount for an attempt of a previous owner, without a check of the capacity.
    auto reserveUnchecked(std::string_view job, std::string_view jobClass, const Resources &amount) -> void;

    /// @brief Frees the reservation of an attempt that has ended.
    auto release(std::string_view job, std::string_view jobClass, const Resources &amount) -> void;

    /// @brief Capacity that is left for new attempts.
    [[nodiscard]] auto freeFor(const Resources &serviceReservation) const noexcept -> Resources;

    /// @brief True when new attempts may be assigned to the worker.
    [[nodiscard]] auto isUsable(TimePoint now) const noexcept -> bool;

    /// @brief True when the host list or the worker's own report shows it as leaving.
    [[nodiscard]] auto isLeaving() const noexcept -> bool
    {
        return m_reportedLeaving || (m_listed && m_host.m_state == HostState::Leaving);
    }

    /// @brief True when the worker's address is known, so that orders can be sent to it.
    [[nodiscard]] auto hasAddress() const noexcept -> bool
    {
        return m_host.m_port != 0;
    }

    /// @brief True when attempts are reserved here and end with the lease, because the worker cannot be reached.
    [[nodiscard]] auto awaitsExpiry() const noexcept -> bool
    {
        return !m_jobs.empty() && (m_suspect || !hasAddress());
    }

    /// @brief Time of the next renewal, the loss of an awaited answer, or the end of the lease.
    [[nodiscard]] auto deadline() const noexcept -> TimePoint;

    /// @brief Number of jobs of a class that have a reservation on this worker.
    [[nodiscard]] auto jobsOfClass(std::string_view jobClass) const -> std::uint32_t;

    /// @brief Time by which the worker has stopped every task of the shard, if its lease is not renewed.
    /// @returns TimePoint::max() while a former owner may still renew the lease
    [[nodiscard]] auto leaseEnd() const noexcept -> TimePoint;

    /// @brief Id of the last report received; the next renewal refers to it.
    [[nodiscard]] auto lastReport() const noexcept -> const std::optional<ReportId> &
    {
        return m_report;
    }

    /// @brief Records that a renewal is sent now; it answers the last report.
    auto recordRenewalSent(TimePoint now) noexcept -> void;

    /// @brief Records the worker's answer to the renewal.
    auto recordRenewalAnswer(const LeaseReport &report, TimePoint now) -> void;

    /// @brief True when the next renewal is sent without delay, because the worker has no lease in force.
    [[nodiscard]] auto shouldRenewImmediately() const noexcept -> bool
    {
        // Only after the first answer without a lease; immediate renewals after each one would form a busy loop.
        return m_ungrantedAnswers == 1;
    }

    /// @brief Records that the renewal got no answer.
    auto recordRenewalLoss() noexcept -> void;

    /// @brief True when so many renewals in a row were lost that the worker counts as suspect.
    [[nodiscard]] auto isUnresponsive() const noexcept -> bool;

    std::string m_name; ///< name in the host list
    HostRecord m_host;
    bool m_listed = false;
    bool m_reportedLeaving = false; ///< the worker's own report shows it as leaving
    bool m_fenced = false; ///< the worker has answered a renewal of this epoch, so it refuses lower epochs
    bool m_leased = false; ///< the last answer granted a lease of this epoch
    bool m_suspect = false; ///< the worker does not answer; its lease is left to expire
    bool m_awaitsAnswer = false; ///< a renewal was sent and is not answered yet
    bool m_wasUsable = false; ///< value of isUsable() at the last tick
    std::uint32_t m_failedRenewals = 0; ///< renewals lost since the last answer
    std::uint32_t m_ungrantedAnswers = 0; ///< consecutive answers that granted no lease
    std::uint32_t m_failures = 0; ///< consecutive failures of starts or tasks
    TimePoint m_lastSent; ///< when the last renewal was sent
    TimePoint m_nextRenewal; ///< when the next renewal or the next tombstones are sent
    TimePoint m_answerDeadline; ///< when an awaited answer counts as lost
    TimePoint m_quarantinedUntil;
    TimePoint m_fullUntil; ///< no assignment before, because the worker refused a start for lack of capacity
    std::set<std::string, std::less<>> m_jobs; ///< ids of the jobs with a reservation
    std::vector<AttemptId> m_toAcknowledge; ///< attempts whose end is durable; acknowledged with each renewal until it is answered
    std::vector<AttemptId> m_sentAcknowledgements; ///< the acknowledgements in the renewal that is not answered yet
    std::vector<AttemptId> m_expiredAttempts; ///< attempts that ended with the lease; each needs a tombstone on the worker before the next renewal

private:
    [[nodiscard]] auto unfencedLeaseEnd() const noexcept -> TimePoint;

    const ShardSettings *m_settings;
    std::optional<ReportId> m_report; ///< last report received
    TimePoint m_reportReceived;
    TimePoint m_leaseBound; ///< latest end of the lease by the owner's clock, without leaseMargin
    TimePoint m_unlistedSince = TimePoint::max(); ///< time of the first host list without the worker
    Resources m_reserved;
    std::map<std::string, std::uint32_t, std::less<>> m_jobsByClass;
};
}

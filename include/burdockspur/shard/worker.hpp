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

/// @brief One worker as the owner of its shard knows it: reservations, lease and health.
class Worker
{
public:
    /// @param name unique name of the worker
    /// @param ownedSince a previous owner may have renewed the lease just before
    /// @param settings kept by reference
    Worker(std::string_view name, TimePoint ownedSince, const ShardSettings &settings);

    /// @brief Takes the record of the host list.
    auto setHost(const HostRecord &host, TimePoint now) -> void;

    /// @brief The host list does not have the worker.
    auto setUnlisted(TimePoint now) noexcept -> void;

    /// @brief Reserves an amount for an attempt; it must fit.
    auto reserve(std::string_view job, std::string_view jobClass, const Resources &amount, const Resources &serviceReservation) -> void;

    /// @brief Reserves for an attempt that a previous owner assigned.
    auto adopt(std::string_view job, std::string_view jobClass, const Resources &amount) -> void;

    /// @brief Frees the reservation of an attempt that is known to have ended.
    auto release(std::string_view job, std::string_view jobClass, const Resources &amount) -> void;

    /// @brief Capacity that a new attempt may use.
    [[nodiscard]] auto freeFor(const Resources &serviceReservation) const noexcept -> Resources;

    /// @brief True when the worker takes new attempts at this time.
    [[nodiscard]] auto isUsable(TimePoint now) const noexcept -> bool;

    /// @brief True when the worker is listed as leaving or says so itself.
    [[nodiscard]] auto isLeaving() const noexcept -> bool
    {
        return m_reportedLeaving || (m_listed && m_host.m_state == HostState::Leaving);
    }

    /// @brief True when orders can be sent to the worker.
    [[nodiscard]] auto hasAddress() const noexcept -> bool
    {
        return m_host.m_port != 0;
    }

    /// @brief True when the lease is left to expire because the worker does not answer.
    [[nodiscard]] auto awaitsExpiry() const noexcept -> bool
    {
        return !m_jobs.empty() && (m_suspect || !hasAddress());
    }

    /// @brief Time of the next renewal, loss of an answer, or expiry.
    [[nodiscard]] auto deadline() const noexcept -> TimePoint;

    /// @brief Jobs of a class that have a reservation here.
    [[nodiscard]] auto jobsOfClass(std::string_view jobClass) const -> std::uint32_t;

    /// @brief Time at which every task of the shard has stopped on the worker, by the lease rule.
    /// @returns TimePoint::max() while a former owner may still renew the lease there
    [[nodiscard]] auto leaseEnd() const noexcept -> TimePoint;

    /// @brief Last report that was received; a renewal answers it.
    [[nodiscard]] auto answers() const noexcept -> const std::optional<ReportId> &
    {
        return m_report;
    }

    /// @brief A renewal that answers the last report is sent now.
    auto renewalSent(TimePoint now) noexcept -> void;

    /// @brief The worker answered the renewal in progress.
    auto renewalAnswered(const LeaseReport &report, TimePoint now) -> void;

    /// @brief True when a renewal that answers the report just taken is sent without delay, because none is in force.
    [[nodiscard]] auto renewsAtOnce() const noexcept -> bool
    {
        // A worker that grants nothing for its latest report either is not asked in a loop.
        return m_ungranted == 1;
    }

    /// @brief The renewal in progress has no answer.
    auto renewalLost() noexcept -> void;

    /// @brief True when so many renewals were lost that the lease is left to expire.
    [[nodiscard]] auto isSilent() const noexcept -> bool;

    /// @brief Name in the host list.
    std::string m_name;
    HostRecord m_host;
    bool m_listed = false;
    bool m_reportedLeaving = false; ///< the worker itself says that it leaves
    bool m_fenced = false; ///< has answered a renewal of this epoch, so it refuses lower epochs
    bool m_leased = false; ///< its last answer granted a lease of this epoch
    bool m_suspect = false; ///< does not answer; its lease is left to expire
    bool m_awaiting = false; ///< a renewal has no answer yet
    bool m_wasUsable = false; ///< at the last tick
    std::uint32_t m_failedRenewals = 0; ///< since the last answer
    std::uint32_t m_ungranted = 0; ///< consecutive answers that granted no lease
    std::uint32_t m_failures = 0; ///< consecutive start or task failures
    TimePoint m_lastSent; ///< last renewal
    TimePoint m_nextRenewal;
    TimePoint m_answerDue; ///< an awaited answer counts as lost then
    TimePoint m_quarantinedUntil;
    TimePoint m_fullUntil; ///< the worker refused a start for lack of capacity
    std::set<std::string, std::less<>> m_jobs; ///< jobs with a reservation
    std::vector<AttemptId> m_ended; ///< ends that are durable, to be acknowledged
    std::vector<AttemptId> m_sentEnded; ///< the part of them in the renewal without an answer
    std::vector<AttemptId> m_expired; ///< ended by expiry; each gets a tombstone before the lease is renewed

private:
    [[nodiscard]] auto unfencedEnd() const noexcept -> TimePoint;

    const ShardSettings *m_settings;
    std::optional<ReportId> m_report; ///< last report that was received
    TimePoint m_reportReceived;
    TimePoint m_leaseBound; ///< the lease ends on the worker by this time of the owner's clock, but for a margin
    TimePoint m_missingSince = TimePoint::max(); ///< first listing without the worker
    Resources m_reserved;
    std::map<std::string, std::uint32_t, std::less<>> m_classes;
};
}

#include "burdockspur/host/targettable.hpp"

#include "burdockspur/core/invariant.hpp"
#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/host/routerlimits.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
/// Connections to each worker that an entry host uses besides those for requests: one of its scheduler and one for
/// settles.
constexpr std::uint32_t controlConnections = 2;

/// @brief Returns the number of requests that each of several entry hosts may have in progress on a worker.
///
/// Each request uses a connection, and all hosts together must not exceed the connections that the worker accepts:
/// 64 connections over 9 hosts leave 5 for the requests of each.
[[nodiscard]] auto slotLimitOf(const HostRecord &worker, std::uint32_t entryHosts) noexcept -> std::uint32_t
{
    if (worker.m_connections == 0 || entryHosts == 0) {
        return worker.m_slots;
    }
    const std::uint32_t share = worker.m_connections / entryHosts;
    return std::min(worker.m_slots, share > controlConnections ? share - controlConnections : 1);
}
}

TargetTable::TargetTable(const RouterLimits &limits, std::string_view ownZone)
    : m_limits(limits)
    , m_ownZone(ownZone)
{
}

auto TargetTable::update(std::span<const HostRecord> hosts) -> void
{
    for (auto &[name, target] : m_targets) {
        target->m_listed = false;
    }
    const auto entryHosts = static_cast<std::uint32_t>(std::ranges::count(hosts, HostRole::Entry, &HostRecord::m_role));
    for (const auto &host : hosts) {
        if (host.m_role != HostRole::Worker) {
            continue;
        }
        auto &target = m_targets[host.m_name];
        if (!target) {
            target = std::make_unique<Target>();
        }
        target->m_record = host;
        target->m_slotLimit = slotLimitOf(host, entryHosts);
        target->m_isBounded = m_limits.m_guards.m_slotBound;
        target->m_listed = true;
    }
    std::erase_if(m_targets, [](const auto &entry) {
        return !entry.second->m_listed && entry.second->m_references == 0;
    });
    rebuildGroups();
}

auto TargetTable::rebuildGroups() -> void
{
    m_local.clear();
    m_remote.clear();
    for (const auto &[name, target] : m_targets) {
        if (target->m_listed) {
            (target->m_record.m_place.m_zone == m_ownZone ? m_local : m_remote).push_back(target.get());
        }
    }
    // The order of the hash map differs between processes and library versions, but the same seed must reproduce the
    // same choices.
    const auto byName = [](const Target *target) -> const std::string & {
        return target->m_record.m_name;
    };
    std::ranges::sort(m_local, {}, byName);
    std::ranges::sort(m_remote, {}, byName);
}

auto TargetTable::find(std::string_view name) noexcept -> Target *
{
    const auto found = m_targets.find(name);
    return found == m_targets.end() ? nullptr : found->second.get();
}

auto TargetTable::local() const noexcept -> std::span<Target *const>
{
    return m_local;
}

auto TargetTable::remote() const noexcept -> std::span<Target *const>
{
    return m_remote;
}

auto TargetTable::anyAccepts(TimePoint now) const noexcept -> bool
{
    const auto accepts = [now](const Target *target) {
        return target->accepts(now);
    };
    return std::ranges::any_of(m_local, accepts) || std::ranges::any_of(m_remote, accepts);
}

auto TargetTable::takeSlot(Target &target) noexcept -> void
{
    requireInvariant(target.m_inFlight < target.m_slotLimit, "target_slots", target.m_record.m_name);
    ++target.m_inFlight;
}

auto TargetTable::freeSlot(Target &target) noexcept -> void
{
    requireInvariant(target.m_inFlight > 0, "target_slots_freed_once", target.m_record.m_name);
    --target.m_inFlight;
}

auto TargetTable::markLeaving(Target &target, TimePoint now) const noexcept -> void
{
    target.m_leavingUntil = now + m_limits.m_leavingMark;
}

auto TargetTable::recordFailure(Target &target, TimePoint now, RandomSource &random) const noexcept -> void
{
    constexpr std::uint32_t maxDoublings = 16;
    const Duration longest = m_limits.m_avoidMax;
    const Duration full = std::min(longest, Duration(m_limits.m_avoidMin) * (1U << std::min(target.m_failures, maxDoublings)));
    ++target.m_failures;
    // Without jitter, entry hosts that noticed the same failure would resume sending at the same time.
    const auto half = full / 2;
    target.m_avoidUntil = now + half + Duration(static_cast<Duration::rep>(static_cast<double>(half.count()) * random.unit()));
}

auto TargetTable::markFull(Target &target, TimePoint now) const noexcept -> void
{
    target.m_avoidUntil = std::max(target.m_avoidUntil, now + m_limits.m_pauseMin);
}

auto TargetTable::recordIncarnation(Target &target, std::string_view incarnation) -> void
{
    if (!incarnation.empty() && target.m_incarnation != incarnation) {
        target.m_incarnation = incarnation;
    }
}

auto TargetTable::recordResponse(Target &target) noexcept -> void
{
    target.m_failures = 0;
    target.m_avoidUntil = TimePoint::min();
}
}

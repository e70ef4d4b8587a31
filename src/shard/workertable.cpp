#include "burdockspur/shard/workertable.hpp"

#include "burdockspur/core/randomsource.hpp"

#include <algorithm>
#include <set>

namespace Burdockspur
{
WorkerTable::WorkerTable(const ShardSettings &settings, TimePoint ownedSince) noexcept
    : m_settings(settings)
    , m_ownedSince(ownedSince)
{
}

auto WorkerTable::update(std::span<const HostRecord> hosts, TimePoint now) -> void
{
    std::set<std::string_view> listed;
    for (const auto &host : hosts) {
        listed.insert(host.m_name);
        findOrAdd(host.m_name).setHost(host, now);
    }
    std::vector<std::string> missing;
    for (auto &[name, worker] : m_workers) {
        if (!listed.contains(name)) {
            worker.setUnlisted(now);
            missing.push_back(name);
        }
    }
    for (const auto &name : missing) {
        removeIfGone(name);
    }
}

auto WorkerTable::findOrAdd(std::string_view name) -> Worker &
{
    const auto found = m_workers.find(name);
    if (found != m_workers.end()) {
        return found->second;
    }
    m_sampleOrder.clear();
    return m_workers.emplace(std::string(name), Worker(name, m_ownedSince, m_settings)).first->second;
}

auto WorkerTable::find(std::string_view name) -> Worker *
{
    const auto found = m_workers.find(name);
    return found == m_workers.end() ? nullptr : &found->second;
}

auto WorkerTable::removeIfGone(std::string_view name) -> void
{
    const auto found = m_workers.find(name);
    if (found == m_workers.end() || found->second.m_listed || !found->second.m_jobs.empty()) {
        return;
    }
    // If the worker is listed again, a delayed start of an expired attempt may still reach it.
    if (!found->second.m_expiredAttempts.empty()) {
        return;
    }
    const bool silent = found->second.m_suspect || found->second.m_host.m_port == 0;
    if (silent || found->second.m_toAcknowledge.empty()) {
        m_sampleOrder.clear();
        m_workers.erase(found);
    }
}

auto WorkerTable::findCandidates(const Resources &demand, TimePoint now, std::vector<PlacementCandidate> &candidates) const -> void
{
    candidates.clear();
    for (const auto &[name, worker] : m_workers) {
        if (!worker.isUsable(now)) {
            continue;
        }
        const Resources free = worker.freeFor(m_reservation);
        if (demand.fitsInto(free)) {
            candidates.push_back({.m_worker = &worker, .m_free = free});
        }
    }
}

auto WorkerTable::sampleCandidates(
    const Resources &demand, std::size_t limit, RandomSource &random, TimePoint now, std::vector<PlacementCandidate> &candidates) const -> void
{
    candidates.clear();
    if (m_sampleOrder.empty()) {
        for (const auto &[name, worker] : m_workers) {
            m_sampleOrder.push_back(&worker);
        }
    }
    const std::size_t first = random.below(static_cast<std::uint32_t>(m_sampleOrder.size()));
    for (std::size_t i = 0; i < m_sampleOrder.size() && candidates.size() < limit; ++i) {
        const Worker &worker = *m_sampleOrder[(first + i) % m_sampleOrder.size()];
        const Resources free = worker.freeFor(m_reservation);
        if (demand.fitsInto(free) && worker.isUsable(now)) {
            candidates.push_back({.m_worker = &worker, .m_free = free});
        }
    }
}

auto WorkerTable::canEverHold(const Resources &demand) const noexcept -> bool
{
    return std::ranges::any_of(m_workers, [&](const auto &entry) {
        Resources most = entry.second.m_host.m_capacity;
        most -= m_reservation;
        return entry.second.m_listed && demand.fitsInto(most);
    });
}

auto WorkerTable::largestCapacity() const noexcept -> Resources
{
    Resources largest = m_reservation;
    for (const auto &[name, worker] : m_workers) {
        if (worker.m_listed) {
            const Resources &capacity = worker.m_host.m_capacity;
            largest.m_cpuMillis = std::max(largest.m_cpuMillis, capacity.m_cpuMillis);
            largest.m_memoryMb = std::max(largest.m_memoryMb, capacity.m_memoryMb);
            largest.m_accelerators = std::max(largest.m_accelerators, capacity.m_accelerators);
        }
    }
    largest -= m_reservation;
    return largest;
}

auto WorkerTable::hasListedWorker() const noexcept -> bool
{
    return std::ranges::any_of(m_workers, [](const auto &entry) {
        return entry.second.m_listed;
    });
}

auto WorkerTable::countFailure(Worker &worker, TimePoint now) -> bool
{
    ++worker.m_failures;
    if (worker.m_failures < m_settings.m_quarantineFailures || now < worker.m_quarantinedUntil) {
        return false;
    }
    if (!mayQuarantineInZone(worker.m_host.m_place.m_zone, now)) {
        return false;
    }
    worker.m_quarantinedUntil = now + m_settings.m_quarantine;
    return true;
}

auto WorkerTable::mayQuarantineInZone(std::string_view zone, TimePoint now) const noexcept -> bool
{
    // Jobs that fail on every worker must not put a whole zone into quarantine.
    constexpr std::size_t hundredPercent = 100;
    std::size_t total = 0;
    std::size_t quarantined = 0;
    for (const auto &[name, worker] : m_workers) {
        if (worker.m_listed && worker.m_host.m_place.m_zone == zone) {
            ++total;
            quarantined += now < worker.m_quarantinedUntil ? 1 : 0;
        }
    }
    return quarantined < std::max<std::size_t>(1, total * m_settings.m_quarantineZonePercent / hundredPercent);
}
}

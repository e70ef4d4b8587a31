#include "burdockspur/host/keymapkeeper.hpp"

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/core/randomsource.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
/// Proposals of several daemons rarely meet within this time; a key whose home restarted waits for it.
constexpr Milliseconds longestDelay{400};
constexpr Milliseconds shortestDelay{10};

/// The first map waits so long for the incarnations of all listed workers; later ones are recorded as changes.
constexpr Milliseconds firstMapWait{1'500};

using Kind = KeyMapChange::Kind;

[[nodiscard]] auto isOfWorker(Kind kind) noexcept -> bool
{
    return kind <= Kind::WorkerRestarted;
}

[[nodiscard]] auto scoreOf(std::string_view worker, std::uint64_t affinity) noexcept -> std::uint64_t
{
    return hashOf(worker, affinity);
}

[[nodiscard]] auto find(std::vector<KeyMapMember> &members, std::string_view name) -> KeyMapMember *
{
    const auto found = std::ranges::lower_bound(members, name, {}, &KeyMapMember::m_name);
    return found == members.end() || found->m_name != name ? nullptr : &*found;
}

[[nodiscard]] auto delayOf(RandomSource &random) -> Duration
{
    return shortestDelay + Milliseconds(random.below(static_cast<std::uint32_t>((longestDelay - shortestDelay).count())));
}

auto record(KeyMap &map, Kind kind, std::string_view name) -> void
{
    map.m_changes.push_back({kind, std::string(name), map.m_generation});
}

/// @brief Adds a member, or gives it another incarnation, and records which of both happened.
auto put(KeyMap &map, std::vector<KeyMapMember> KeyMap::*list, const KeyMapMember &wanted, Kind added, Kind renewed) -> void
{
    KeyMapMember *const known = find(map.*list, wanted.m_name);
    if (known == nullptr) {
        (map.*list).insert(std::ranges::lower_bound(map.*list, wanted.m_name, {}, &KeyMapMember::m_name), wanted);
        record(map, added, wanted.m_name);
    } else if (known->m_incarnation != wanted.m_incarnation) {
        *known = wanted;
        record(map, renewed, wanted.m_name);
    }
}

/// @brief Removes the members that are not in a list of names, and records it.
auto keepOnly(KeyMap &map, std::vector<KeyMapMember> KeyMap::*list, const std::set<std::string, std::less<>> &names, Kind removed) -> void
{
    for (const auto &member : map.*list) {
        if (!names.contains(member.m_name)) {
            record(map, removed, member.m_name);
        }
    }
    std::erase_if(map.*list, [&](const KeyMapMember &member) {
        return !names.contains(member.m_name);
    });
}
}

KeyMapKeeper::KeyMapKeeper(KeyMapIdentity self, Duration changeTtl)
    : m_self(std::move(self))
    , m_changeTtl(changeTtl)
{
}

auto KeyMapKeeper::isOn() const noexcept -> bool
{
    return !m_self.m_name.empty();
}

auto KeyMapKeeper::takeMap(KeyMap &&map, TimePoint now, RandomSource &random) -> void
{
    m_isProposing = false;
    m_isRead = true;
    if (map.m_generation > m_map.m_generation) {
        for (const auto &worker : map.m_workers) {
            // What was heard before may be older than the map; the worker is asked again.
            const auto known = m_incarnations.find(worker.m_name);
            if (known != m_incarnations.end() && known->second != worker.m_incarnation) {
                m_incarnations.erase(known);
            }
        }
        m_map = std::move(map);
        m_floor = std::max(m_floor, m_map.m_generation);
        std::map<KeyMapChange, TimePoint> expiries;
        for (const auto &change : m_map.m_changes) {
            const auto known = m_expiries.find(change);
            expiries.emplace(change, known == m_expiries.end() ? now + m_changeTtl : known->second);
        }
        m_expiries = std::move(expiries);
    }
    schedule(now, random);
}

auto KeyMapKeeper::proposalFailed(TimePoint now, RandomSource &random, std::vector<KeyMapCommand> &commands) -> void
{
    m_isProposing = false;
    m_isRead = false; // During an outage of the table nothing is proposed until a read succeeds.
    commands.emplace_back(ReadKeyMap{});
    schedule(now, random);
}

auto KeyMapKeeper::takeHosts(const HostListing &listing, TimePoint now, RandomSource &random) -> void
{
    m_listedWorkers.clear();
    m_listedEntries.clear();
    for (const auto &host : listing.m_hosts) {
        (host.m_role == HostRole::Worker ? m_listedWorkers : m_listedEntries).insert(host.m_name);
    }
    m_hostsGeneration = listing.m_generation;
    m_hostsSince = std::min(m_hostsSince, now);
    m_hasHosts = true;
    schedule(now, random);
}

auto KeyMapKeeper::noteWorker(std::string_view name, std::string_view incarnation, TimePoint now, RandomSource &random) -> void
{
    const auto known = m_incarnations.find(name);
    if (known != m_incarnations.end() && known->second == incarnation) {
        return;
    }
    m_incarnations.insert_or_assign(std::string(name), std::string(incarnation));
    if (isOn() && !m_isProposing && m_due > now + longestDelay) {
        // passTime() compares with the map; at a start a thousand workers tell their incarnations.
        m_due = now + delayOf(random);
    }
}

auto KeyMapKeeper::passTime(TimePoint now, RandomSource &random, std::vector<KeyMapCommand> &commands) -> void
{
    if (now < m_due) {
        return;
    }
    m_due = TimePoint::max();
    auto next = nextMap(now);
    if (next && !m_isProposing) {
        m_isProposing = true;
        commands.emplace_back(ProposeKeyMap{std::move(*next)});
    } else {
        schedule(now, random);
    }
}

auto KeyMapKeeper::nextDeadline() const noexcept -> TimePoint
{
    return m_due;
}

auto KeyMapKeeper::adopt(std::uint64_t generation, std::vector<KeyMapCommand> &commands) -> void
{
    if (generation > m_floor) {
        m_floor = generation;
        commands.emplace_back(ReadKeyMap{});
    }
}

auto KeyMapKeeper::isUsable() const noexcept -> bool
{
    return m_map.m_generation > 0 && m_map.m_generation == m_floor
        && std::ranges::find(m_map.m_entries, KeyMapMember{m_self.m_name, m_self.m_incarnation}) != m_map.m_entries.end();
}

auto KeyMapKeeper::map() const noexcept -> const KeyMap &
{
    return m_map;
}

auto KeyMapKeeper::self() const noexcept -> const KeyMapIdentity &
{
    return m_self;
}

auto KeyMapKeeper::homeOf(std::string_view key, std::span<const std::string> excluded) const noexcept -> KeyHome
{
    const auto affinity = hashOf(key);
    KeyHome home;
    std::uint64_t best = 0;
    for (const auto &worker : m_map.m_workers) {
        const auto score = scoreOf(worker.m_name, affinity);
        const bool isBetter = home.m_worker == nullptr || score > best || (score == best && worker.m_name < home.m_worker->m_name);
        if (isBetter && std::ranges::find(excluded, worker.m_name) == excluded.end()) {
            home.m_worker = &worker;
            best = score;
        }
    }
    // A changed worker below the home was not asked before the home, and has not run the key.
    home.m_isSettled = std::ranges::none_of(m_map.m_changes, [&](const KeyMapChange &change) {
        return isOfWorker(change.m_kind) && scoreOf(change.m_name, affinity) >= best;
    });
    return home;
}

auto KeyMapKeeper::lostEntry() const noexcept -> bool
{
    return std::ranges::any_of(m_map.m_changes, [](const KeyMapChange &change) {
        return change.m_kind == Kind::EntryReplaced || change.m_kind == Kind::EntryRemoved;
    });
}

auto KeyMapKeeper::nextMap(TimePoint now) const -> std::optional<KeyMap>
{
    const bool isFirst = m_map.m_generation == 0;
    if (!isOn() || !m_isRead || !m_hasHosts || m_floor != m_map.m_generation || (isFirst && !isReadyForFirstMap(now))) {
        return std::nullopt;
    }
    KeyMap next = m_map;
    ++next.m_generation;
    std::erase_if(next.m_changes, [&](const KeyMapChange &change) {
        const auto expiry = m_expiries.find(change);
        return expiry != m_expiries.end() && expiry->second <= now;
    });
    mergeWorkers(next);
    mergeEntries(next);
    if (isFirst) {
        // No key can have been sent before the first map.
        next.m_changes.clear();
    }
    KeyMap unchanged = m_map;
    unchanged.m_generation = next.m_generation;
    if (!isFirst && next == unchanged) {
        return std::nullopt;
    }
    next.m_hostsGeneration = std::max(next.m_hostsGeneration, m_hostsGeneration);
    return next;
}

auto KeyMapKeeper::mergeWorkers(KeyMap &next) const -> void
{
    // The host list of another proposer may be newer than this one.
    if (m_hostsGeneration >= next.m_hostsGeneration) {
        keepOnly(next, &KeyMap::m_workers, m_listedWorkers, Kind::WorkerRemoved);
    }
    for (const auto &[name, incarnation] : m_incarnations) {
        const bool isListed = m_listedWorkers.contains(name) && m_hostsGeneration >= next.m_hostsGeneration;
        if (isListed || find(next.m_workers, name) != nullptr) {
            put(next, &KeyMap::m_workers, {name, incarnation}, Kind::WorkerAdded, Kind::WorkerRestarted);
        }
    }
}

auto KeyMapKeeper::mergeEntries(KeyMap &next) const -> void
{
    // Another daemon would remove a daemon that is not listed, so that both would change the map again and again.
    const bool isListed = m_listedEntries.contains(m_self.m_name);
    if (isListed || m_listedEntries.empty()) {
        put(next, &KeyMap::m_entries, {m_self.m_name, m_self.m_incarnation}, Kind::EntryAdded, Kind::EntryReplaced);
    }
    if (isListed && m_hostsGeneration >= next.m_hostsGeneration) {
        keepOnly(next, &KeyMap::m_entries, m_listedEntries, Kind::EntryRemoved);
    }
}

auto KeyMapKeeper::isReadyForFirstMap(TimePoint now) const -> bool
{
    const auto isKnown = [this](const std::string &name) {
        return m_incarnations.contains(name);
    };
    return !m_listedWorkers.empty() && (std::ranges::all_of(m_listedWorkers, isKnown) || m_hostsSince + firstMapWait <= now);
}

auto KeyMapKeeper::schedule(TimePoint now, RandomSource &random) -> void
{
    if (!isOn() || m_isProposing) {
        return;
    }
    if (!nextMap(now)) {
        // A change that has expired already waits for the next read of the map.
        const TimePoint expiry = nextExpiry();
        m_due = expiry > now ? expiry : TimePoint::max();
        if (m_isRead && m_hasHosts && m_map.m_generation == 0 && m_floor == 0 && m_hostsSince + firstMapWait > now) {
            m_due = m_hostsSince + firstMapWait;
        }
    } else if (m_due <= now || m_due == TimePoint::max() || m_due > now + longestDelay) {
        m_due = now + delayOf(random);
    }
}

auto KeyMapKeeper::nextExpiry() const -> TimePoint
{
    TimePoint earliest = TimePoint::max();
    for (const auto &[change, expiry] : m_expiries) {
        earliest = std::min(earliest, expiry);
    }
    return earliest;
}
}

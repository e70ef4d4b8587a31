#include "burdockspur/host/keymapkeeper.hpp"

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/core/randomsource.hpp"

#include <algorithm>

namespace Burdockspur
{
namespace
{
/// Range of the random delay of a proposal. A longer one makes collisions between the proposals of several daemons
/// rarer, but a key whose home restarted waits for it.
constexpr Milliseconds longestDelay{400};
constexpr Milliseconds shortestDelay{10};

/// Longest wait of the first map for the incarnations of all listed workers. Incarnations that arrive later are
/// recorded as changes.
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

[[nodiscard]] auto findMember(std::vector<KeyMapMember> &members, std::string_view name) -> KeyMapMember *
{
    const auto found = std::ranges::lower_bound(members, name, {}, &KeyMapMember::m_name);
    return found == members.end() || found->m_name != name ? nullptr : &*found;
}

[[nodiscard]] auto randomDelay(RandomSource &random) -> Duration
{
    return shortestDelay + Milliseconds(random.below(static_cast<std::uint32_t>((longestDelay - shortestDelay).count())));
}

auto recordChange(KeyMap &map, Kind kind, std::string_view name) -> void
{
    map.m_changes.push_back({kind, std::string(name), map.m_generation});
}

/// @brief Adds a member or replaces its incarnation, and records the change.
auto upsertMember(KeyMap &map, std::vector<KeyMapMember> KeyMap::*list, const KeyMapMember &member, Kind added, Kind renewed) -> void
{
    KeyMapMember *const known = findMember(map.*list, member.m_name);
    if (known == nullptr) {
        (map.*list).insert(std::ranges::lower_bound(map.*list, member.m_name, {}, &KeyMapMember::m_name), member);
        recordChange(map, added, member.m_name);
    } else if (known->m_incarnation != member.m_incarnation) {
        *known = member;
        recordChange(map, renewed, member.m_name);
    }
}

/// @brief Removes the members that are not in a list of names, and records each removal.
auto removeUnlisted(KeyMap &map, std::vector<KeyMapMember> KeyMap::*list, const std::set<std::string, std::less<>> &names, Kind removed) -> void
{
    for (const auto &member : map.*list) {
        if (!names.contains(member.m_name)) {
            recordChange(map, removed, member.m_name);
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

auto KeyMapKeeper::isEnabled() const noexcept -> bool
{
    return !m_self.m_name.empty();
}

auto KeyMapKeeper::updateMap(KeyMap &&map, TimePoint now, RandomSource &random) -> void
{
    m_isProposing = false;
    m_isRead = true;
    if (map.m_generation > m_map.m_generation) {
        for (const auto &worker : map.m_workers) {
            // The tracked incarnation may be older than the map; the router probes the worker again.
            const auto known = m_incarnations.find(worker.m_name);
            if (known != m_incarnations.end() && known->second != worker.m_incarnation) {
                m_incarnations.erase(known);
            }
        }
        m_map = std::move(map);
        m_requiredGeneration = std::max(m_requiredGeneration, m_map.m_generation);
        std::map<KeyMapChange, TimePoint> expiries;
        for (const auto &change : m_map.m_changes) {
            const auto known = m_expiries.find(change);
            expiries.emplace(change, known == m_expiries.end() ? now + m_changeTtl : known->second);
        }
        m_expiries = std::move(expiries);
    }
    schedule(now, random);
}

auto KeyMapKeeper::handleFailedProposal(TimePoint now, RandomSource &random, std::vector<KeyMapCommand> &commands) -> void
{
    m_isProposing = false;
    m_isRead = false; // During an outage of the table service, nothing is proposed until a read succeeds.
    commands.emplace_back(ReadKeyMap{});
    schedule(now, random);
}

auto KeyMapKeeper::updateHosts(const HostListing &listing, TimePoint now, RandomSource &random) -> void
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

auto KeyMapKeeper::recordWorkerIncarnation(std::string_view name, std::string_view incarnation, TimePoint now, RandomSource &random) -> void
{
    const auto known = m_incarnations.find(name);
    if (known != m_incarnations.end() && known->second == incarnation) {
        return;
    }
    m_incarnations.insert_or_assign(std::string(name), std::string(incarnation));
    if (isEnabled() && !m_isProposing && m_due > now + longestDelay) {
        // proposeIfDue() makes the comparison with the map; it would be too slow here, because after a start
        // a thousand workers report their incarnations.
        m_due = now + randomDelay(random);
    }
}

auto KeyMapKeeper::proposeIfDue(TimePoint now, RandomSource &random, std::vector<KeyMapCommand> &commands) -> void
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

auto KeyMapKeeper::requireGeneration(std::uint64_t generation, std::vector<KeyMapCommand> &commands) -> void
{
    if (generation > m_requiredGeneration) {
        m_requiredGeneration = generation;
        commands.emplace_back(ReadKeyMap{});
    }
}

auto KeyMapKeeper::isUsable() const noexcept -> bool
{
    return m_map.m_generation > 0 && m_map.m_generation == m_requiredGeneration
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
    // A changed worker with a lower score than the home comes after it in the order, and has not run the key.
    home.m_isStable = std::ranges::none_of(m_map.m_changes, [&](const KeyMapChange &change) {
        return isOfWorker(change.m_kind) && scoreOf(change.m_name, affinity) >= best;
    });
    return home;
}

auto KeyMapKeeper::hasLostEntry() const noexcept -> bool
{
    return std::ranges::any_of(m_map.m_changes, [](const KeyMapChange &change) {
        return change.m_kind == Kind::EntryReplaced || change.m_kind == Kind::EntryRemoved;
    });
}

auto KeyMapKeeper::nextMap(TimePoint now) const -> std::optional<KeyMap>
{
    const bool isFirst = m_map.m_generation == 0;
    if (!isEnabled() || !m_isRead || !m_hasHosts || m_requiredGeneration != m_map.m_generation || (isFirst && !isReadyForFirstMap(now))) {
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
        // No request with a key can have been sent before the first map.
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
    // The map may be based on a newer host list of another daemon.
    if (m_hostsGeneration >= next.m_hostsGeneration) {
        removeUnlisted(next, &KeyMap::m_workers, m_listedWorkers, Kind::WorkerRemoved);
    }
    for (const auto &[name, incarnation] : m_incarnations) {
        const bool isListed = m_listedWorkers.contains(name) && m_hostsGeneration >= next.m_hostsGeneration;
        if (isListed || findMember(next.m_workers, name) != nullptr) {
            upsertMember(next, &KeyMap::m_workers, {name, incarnation}, Kind::WorkerAdded, Kind::WorkerRestarted);
        }
    }
}

auto KeyMapKeeper::mergeEntries(KeyMap &next) const -> void
{
    // A daemon that is not listed must not add itself: another one would remove it, and both would change the map forever.
    const bool isListed = m_listedEntries.contains(m_self.m_name);
    if (isListed || m_listedEntries.empty()) {
        upsertMember(next, &KeyMap::m_entries, {m_self.m_name, m_self.m_incarnation}, Kind::EntryAdded, Kind::EntryReplaced);
    }
    if (isListed && m_hostsGeneration >= next.m_hostsGeneration) {
        removeUnlisted(next, &KeyMap::m_entries, m_listedEntries, Kind::EntryRemoved);
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
    if (!isEnabled() || m_isProposing) {
        return;
    }
    if (!nextMap(now)) {
        // A change that has already expired is removed after the next read of the map.
        const TimePoint expiry = nextExpiry();
        m_due = expiry > now ? expiry : TimePoint::max();
        if (m_isRead && m_hasHosts && m_map.m_generation == 0 && m_requiredGeneration == 0 && m_hostsSince + firstMapWait > now) {
            m_due = m_hostsSince + firstMapWait;
        }
    } else if (m_due <= now || m_due == TimePoint::max() || m_due > now + longestDelay) {
        m_due = now + randomDelay(random);
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

#include "burdockspur/fleet/lookahead/roomreservations.hpp"

#include "burdockspur/fleet/fleetworker.hpp"
#include "burdockspur/fleet/lookahead/demandshapes.hpp"
#include "burdockspur/fleet/lookahead/lookaheadlimits.hpp"
#include "burdockspur/fleet/lookahead/roomclaim.hpp"
#include "burdockspur/fleet/lookahead/workerforecast.hpp"
#include "burdockspur/fleet/poolcapacities.hpp"
#include "burdockspur/operations/log.hpp"

#include <algorithm>
#include <utility>

namespace Burdockspur
{
namespace
{
/// Moves of a reservation are logged this often.
constexpr Milliseconds logInterval{1'000};
/// More than any loss of room for large work, see DemandShapes::lossOf().
constexpr std::int64_t reservedPreference = 2'000;
/// A refusal that is older does not tell that the step waits for room.
constexpr Milliseconds maxRefusalAge{1'000};

[[nodiscard]] auto multiplied(const Resources &demand, std::uint32_t tasks) noexcept -> Resources
{
    return {demand.m_cpuMillis * tasks, demand.m_memoryMb * tasks, demand.m_accelerators * tasks};
}

[[nodiscard]] auto share(const Resources &whole, double part) noexcept -> Resources
{
    const auto scaled = [part](std::int64_t amount) {
        return static_cast<std::int64_t>(static_cast<double>(amount) * part);
    };
    // Accelerators are few, and only work that needs one waits for one.
    return {scaled(whole.m_cpuMillis), scaled(whole.m_memoryMb), whole.m_accelerators};
}

[[nodiscard]] auto inMs(Duration duration) -> std::int64_t
{
    return std::chrono::duration_cast<Milliseconds>(duration).count();
}

[[nodiscard]] auto isOwn(const RoomReservation &reservation, const RoomClaim &claim) noexcept -> bool
{
    return std::tie(claim.m_occurrence, claim.m_step) == std::tie(reservation.m_occurrence, reservation.m_step) && claim.m_job == reservation.m_job;
}

[[nodiscard]] auto waitsForRoom(const PlacementRefusal &refusal, TimePoint now) noexcept -> bool
{
    using enum PlacementGuard;
    const bool isRecent = refusal.m_at != TimePoint{} && now - refusal.m_at <= maxRefusalAge;
    return isRecent && refusal.workers(Room) + refusal.workers(Reservation) + refusal.workers(LookAhead) > 0;
}
}

RoomReservations::RoomReservations(const LookAheadLimits &limits, const RunDurations &durations) noexcept
    : m_limits(limits)
    , m_durations(durations)
    , m_search(limits, durations)
{
}

auto RoomReservations::keyOf(const PlacementGroup &group) noexcept -> KeyView
{
    return {group.m_job->job().m_id, group.m_step->m_occurrence, group.m_step->m_step};
}

auto RoomReservations::markWanted(std::span<PlacementGroup> groups) -> void
{
    for (auto &[key, reservation] : m_reservations) {
        reservation.m_isWanted = false;
    }
    for (const auto &group : groups) {
        const auto entry = group.m_rank.m_turn == PlacementTurn::Ranked ? m_reservations.find(keyOf(group)) : m_reservations.end();
        if (entry != m_reservations.end()) {
            auto &reservation = entry->second;
            reservation.m_isWanted = true;
            reservation.m_priority = group.m_rank.m_priority;
            // Room that was kept in time stays kept, for a bounded time, although the job turns late while it waits for it.
            reservation.m_lateness = std::min(reservation.m_lateness, group.m_rank.m_lateness);
        }
    }
}

auto RoomReservations::refresh(std::span<PlacementGroup> groups, PoolCapacities &pools, TimePoint now) -> void
{
    if (m_reservations.empty()) {
        return;
    }
    markWanted(groups);
    for (auto entry = m_reservations.begin(); entry != m_reservations.end();) {
        auto &[key, reservation] = *entry;
        const bool isExpired = now >= reservation.m_until;
        const bool isLateTooOften = reservation.m_moves > m_limits.m_maxMoves * reservation.m_firstTasks;
        if (!reservation.m_isWanted || isExpired || isLateTooOften) {
            if (reservation.m_isWanted) {
                ++m_counters.m_expired;
                m_pausedUntil[key] = now + m_limits.m_pause;
                logRoom(reservation, isExpired ? "expired" : "late_too_often", now);
            }
            entry = m_reservations.erase(entry);
            continue;
        }
        updateSlots(reservation, pools, now);
        ++entry;
    }
    for (auto &group : groups) {
        const auto entry = group.m_rank.m_turn == PlacementTurn::Ranked ? m_reservations.find(keyOf(group)) : m_reservations.end();
        if (entry != m_reservations.end()) {
            tell(group, entry->second);
            group.m_rank.m_cost = entry->second.isThere() ? 0 : group.m_rank.m_cost;
        }
    }
}

auto RoomReservations::updateSlots(RoomReservation &reservation, PoolCapacities &pools, TimePoint now) -> void
{
    std::erase_if(reservation.m_slots, [&](RoomSlot &slot) {
        auto *const capacity = slot.m_tasks == 0 ? nullptr : pools.find(reservation.m_pool, slot.m_worker);
        if (capacity == nullptr || !capacity->m_isTrusted || !forecastSlot(slot, *capacity, now)) {
            m_counters.m_moved += slot.m_tasks > 0 ? 1 : 0;
            reservation.m_nextSearch = {};
            return true;
        }
        capacity->m_slot = &slot;
        return false;
    });
    if (reservation.m_isGang && !reservation.m_slots.empty()) {
        const auto last = std::ranges::max(reservation.m_slots, {}, &RoomSlot::m_at).m_at;
        for (auto &slot : reservation.m_slots) {
            slot.m_neededAt = last;
            static_cast<void>(forecastSlot(slot, *pools.find(reservation.m_pool, slot.m_worker), now));
        }
    }
}

auto RoomReservations::forecastSlot(RoomSlot &slot, const FreeCapacity &capacity, TimePoint now) -> bool
{
    const auto kept = multiplied(slot.m_reservation->m_demand, slot.m_tasks);
    const bool isKnown = slot.m_free == capacity.m_free && slot.m_kept == kept && now - slot.m_forecastAt < m_limits.m_searchInterval;
    if (isKnown && (!slot.m_reservation->m_isGang || slot.m_spareAt == slot.m_neededAt)) {
        return true;
    }
    slot.m_free = capacity.m_free;
    slot.m_kept = kept;
    slot.m_forecastAt = now;
    const WorkerForecast forecast(*capacity.m_worker, capacity.m_free, m_durations, m_limits.m_startDelay, now);
    ++m_counters.m_forecasts;
    const auto room = forecast.timeOf(kept);
    if (!room) {
        return false;
    }
    slot.m_at = room->m_at;
    slot.m_neededAt = slot.m_reservation->m_isGang ? std::max(slot.m_neededAt, room->m_at) : room->m_at;
    slot.m_isSure = room->m_isSure;
    slot.m_isThere = kept.fitsInto(capacity.m_free);
    slot.m_spare = forecast.freeAt(slot.m_neededAt);
    slot.m_spareAt = slot.m_neededAt;
    slot.m_spare -= kept;
    return true;
}

auto RoomReservations::mayUse(const FreeCapacity &capacity, const RoomClaim &claim) -> bool
{
    const auto *const slot = capacity.m_slot;
    if (slot == nullptr || slot->m_tasks == 0 || claim.m_isServing || claim.m_turn != PlacementTurn::Ranked) {
        return true;
    }
    const auto &reservation = *slot->m_reservation;
    if (std::pair(claim.m_priority, claim.m_lateness) < std::pair(reservation.m_priority, reservation.m_lateness)) {
        return true;
    }
    if (isOwn(reservation, claim) || claim.m_endsBy <= slot->m_neededAt) {
        return true;
    }
    // A filling task needs no processors, of which there may be too few.
    Resources spare = slot->m_spare;
    spare.m_cpuMillis = std::max(spare.m_cpuMillis, std::int64_t{0});
    spare.m_memoryMb = std::max(spare.m_memoryMb, std::int64_t{0});
    spare.m_accelerators = std::max(spare.m_accelerators, std::int64_t{0});
    const bool fits = claim.m_demand.fitsInto(spare);
    m_counters.m_heldBack += fits ? 0 : 1;
    return fits;
}

auto RoomReservations::preferenceOf(const FreeCapacity &capacity, const RoomClaim &claim) noexcept -> std::int64_t
{
    if (capacity.m_slot == nullptr || capacity.m_slot->m_tasks == 0) {
        return 0;
    }
    return isOwn(*capacity.m_slot->m_reservation, claim) ? reservedPreference : -reservedPreference;
}

auto RoomReservations::hasReservation(const RoomClaim &claim) const -> bool
{
    return !m_reservations.empty() && m_reservations.contains(KeyView(claim.m_job, claim.m_occurrence, claim.m_step));
}

auto RoomReservations::recordAssignment(const FreeCapacity &capacity, const RoomClaim &claim, TimePoint now) -> bool
{
    if (m_reservations.empty()) {
        return false;
    }
    bool hasReleased = false;
    const auto own = m_reservations.find(KeyView(claim.m_job, claim.m_occurrence, claim.m_step));
    if (own != m_reservations.end()) {
        auto &slots = own->second.m_slots;
        const auto here = std::ranges::find_if(slots, [&capacity](const RoomSlot &slot) {
            return &slot == capacity.m_slot && slot.m_tasks > 0;
        });
        if (here != slots.end()) {
            --here->m_tasks;
            own->second.m_until = std::min(now + m_limits.m_maxHold, own->second.m_madeAt + m_limits.m_maxTotalHold);
            ++m_counters.m_used;
        } else if (const auto last = std::ranges::max_element(slots,
                                                              {},
                                                              [](const RoomSlot &slot) {
                                                                  return std::pair(slot.m_tasks > 0, slot.m_at);
                                                              });
                   last != slots.end() && last->m_tasks > 0) {
            --last->m_tasks;
            hasReleased = true;
        }
    }
    if (capacity.m_slot != nullptr && capacity.m_slot->m_tasks > 0) {
        static_cast<void>(forecastSlot(*capacity.m_slot, capacity, now));
    }
    return hasReleased;
}

auto RoomReservations::dropLateSlots(RoomReservation &reservation, PoolCapacities &pools) -> void
{
    const auto isLate = [this](const RoomSlot &slot) {
        return slot.m_tasks > 0 && slot.m_at > slot.m_plannedAt + m_limits.m_slipTolerance;
    };
    if (std::ranges::none_of(reservation.m_slots, isLate)) {
        return;
    }
    std::erase_if(reservation.m_slots, [&](const RoomSlot &slot) {
        if (!isLate(slot)) {
            return false;
        }
        reservation.m_moves += slot.m_tasks;
        reservation.m_nextSearch = {};
        if (auto *const capacity = pools.find(reservation.m_pool, slot.m_worker); capacity != nullptr) {
            capacity->m_slot = nullptr;
        }
        ++m_counters.m_moved;
        return true;
    });
}

auto RoomReservations::wishOf(const PlacementGroup &group, const DemandShapes &shapes, TimePoint now) const -> Wish
{
    const auto &contract = group.m_job->job().m_steps[group.m_step->m_step];
    const bool isCandidate = group.m_rank.m_turn == PlacementTurn::Ranked && !contract.m_isServing && !contract.m_isFilling
        && (contract.m_isGang || shapes.isLarge(contract.m_demand)) && waitsForRoom(group.m_job->m_refusal, now);
    if (!isCandidate) {
        return {};
    }
    Wish wish{&group, 0, TimePoint::max(), false};
    for (const auto &task : group.m_step->m_tasks) {
        if (task.m_progress->m_phase == TaskPhase::Waiting) {
            ++wish.m_tasks;
            wish.m_since = std::min(wish.m_since, task.m_waitingSince);
        }
    }
    // A successor knows from the stored job for how long it has waited for its first run.
    wish.m_since = std::min(wish.m_since, group.m_job->backlog().m_idleSince.value_or(wish.m_since));
    wish.m_tasks = contract.m_isGang ? wish.m_tasks : std::min(wish.m_tasks, m_limits.m_maxTasksPerStep);
    const auto known = m_reservations.find(keyOf(group));
    if (known != m_reservations.end()) {
        wish.m_isMove = true;
        wish.m_tasks -= std::min(wish.m_tasks, known->second.taskCount());
        wish.m_tasks = now < known->second.m_nextSearch ? 0 : wish.m_tasks;
        return wish;
    }
    const auto paused = m_pausedUntil.find(keyOf(group));
    const bool isPaused = paused != m_pausedUntil.end() && now < paused->second;
    wish.m_tasks = isPaused || now - wish.m_since < m_limits.m_minWait ? 0 : wish.m_tasks;
    return wish;
}

auto RoomReservations::plan(std::span<const PlacementGroup> groups, PoolCapacities &pools, const DemandShapes &shapes, TimePoint now) -> void
{
    if (m_limits.m_maxReservations == 0 || now < m_nextPlan) {
        return;
    }
    m_nextPlan = now + m_limits.m_planInterval;
    for (auto &[key, reservation] : m_reservations) {
        dropLateSlots(reservation, pools);
    }
    std::erase_if(m_pausedUntil, [now](const auto &entry) {
        return entry.second <= now;
    });
    std::vector<Wish> wishes;
    for (const auto &group : groups) {
        if (const auto wish = wishOf(group, shapes, now); wish.m_tasks > 0) {
            wishes.push_back(wish);
        }
    }
    const auto count = std::min(wishes.size(), m_limits.m_searchesPerRound);
    std::ranges::partial_sort(wishes, wishes.begin() + static_cast<std::ptrdiff_t>(count), {}, &Wish::sortKey);
    for (const auto &wish : std::span(wishes).first(count)) {
        if (wish.m_isMove || m_reservations.size() < m_limits.m_maxReservations) {
            reserve(wish, pools, now);
        }
    }
}

auto RoomReservations::reserve(const Wish &wish, PoolCapacities &pools, TimePoint now) -> void
{
    const auto &group = *wish.m_group;
    const auto &job = group.m_job->job();
    const auto &step = job.m_steps[group.m_step->m_step];
    const auto &pool = group.m_job->backlog().m_policy->m_pool;
    const RoomSearch::Request request{job.m_id, group.m_step->m_occurrence, group.m_step->m_step, &step, wish.m_tasks, allowanceOf(pool, pools)};
    const Key key(keyOf(group));
    if (const auto known = m_reservations.find(key); known != m_reservations.end()) {
        known->second.m_nextSearch = now + m_limits.m_searchInterval;
    }
    const auto least = multiplied(step.m_demand, step.m_isGang ? wish.m_tasks : 1);
    std::vector<RoomSlot> slots;
    if (least.fitsInto(request.m_allowance)) {
        ++m_counters.m_searches;
        slots = m_search.find(request, pools.freeCapacitiesOf(pool), now);
    }
    if (slots.empty()) {
        if (!wish.m_isMove) {
            m_pausedUntil[key] = now + m_limits.m_pause;
        }
        return;
    }
    const auto [entry, isNew] = m_reservations.try_emplace(key);
    auto &reservation = entry->second;
    if (isNew) {
        reservation.m_job = job.m_id;
        reservation.m_occurrence = group.m_step->m_occurrence;
        reservation.m_step = group.m_step->m_step;
        reservation.m_pool = pool;
        reservation.m_priority = group.m_rank.m_priority;
        reservation.m_lateness = group.m_rank.m_lateness;
        reservation.m_demand = step.m_demand;
        reservation.m_isGang = step.m_isGang;
        reservation.m_madeAt = now;
        reservation.m_until = now + m_limits.m_maxHold;
        reservation.m_firstTasks = wish.m_tasks;
        ++m_counters.m_reserved;
    }
    for (auto &slot : slots) {
        slot.m_reservation = &reservation;
        reservation.m_slots.push_back(std::move(slot));
        auto &kept = reservation.m_slots.back();
        auto &capacity = *pools.find(pool, kept.m_worker);
        capacity.m_slot = &kept;
        static_cast<void>(forecastSlot(kept, capacity, now));
    }
    tell(group, reservation);
    if (isNew || now - reservation.m_loggedAt >= logInterval) {
        reservation.m_loggedAt = now;
        logRoom(reservation, isNew ? "reserved" : "moved", now);
    }
}

auto RoomReservations::allowanceOf(std::string_view pool, const PoolCapacities &pools) const noexcept -> Resources
{
    auto allowance = share(pools.totalOf(pool), m_limits.m_maxReservedShare);
    for (const auto &[key, reservation] : m_reservations) {
        if (reservation.m_pool == pool) {
            allowance -= multiplied(reservation.m_demand, reservation.taskCount());
        }
    }
    return allowance;
}

auto RoomReservations::tell(const PlacementGroup &group, const RoomReservation &reservation) -> void
{
    if (reservation.m_slots.empty()) {
        group.m_job->m_reservedRoom.reset();
        return;
    }
    const auto &last = std::ranges::max(reservation.m_slots, {}, &RoomSlot::m_at);
    group.m_job->m_reservedRoom = ReservedRoom{last.m_worker, reservation.m_slots.size(), last.m_at, reservation.m_until};
}

auto RoomReservations::logRoom(const RoomReservation &reservation, std::string_view outcome, TimePoint now) const -> void
{
    const RoomSlot none;
    const auto &slots = reservation.m_slots;
    const auto last = std::ranges::max_element(slots, {}, &RoomSlot::m_at);
    const auto &slot = last == slots.end() ? none : *last;
    logEvent(LogLevel::Info,
             "room_reserved",
             {{"job", reservation.m_job},
              {"step", reservation.m_step},
              {"outcome", outcome},
              {"tasks", reservation.taskCount()},
              {"workers", slots.size()},
              {"worker", slot.m_worker},
              {"in_ms", slots.empty() ? 0 : inMs(slot.m_at - now)},
              {"sure", slot.m_isSure},
              {"left_ms", inMs(reservation.m_until - now)},
              {"moves", reservation.m_moves}});
}

auto RoomReservations::reservedRoom() const noexcept -> Resources
{
    Resources room;
    for (const auto &[key, reservation] : m_reservations) {
        room += multiplied(reservation.m_demand, reservation.taskCount());
    }
    return room;
}

auto RoomReservations::workersFor(std::string_view job) const -> std::vector<std::string>
{
    std::vector<std::string> workers;
    for (const auto &[key, reservation] : m_reservations) {
        for (const auto &slot : reservation.m_slots) {
            if (reservation.m_job == job && slot.m_tasks > 0) {
                workers.push_back(slot.m_worker);
            }
        }
    }
    return workers;
}

auto RoomReservations::counters() const noexcept -> LookAheadCounters
{
    auto counters = m_counters;
    counters.m_forecasts += m_search.forecastCount();
    return counters;
}

auto RoomReservations::clear() -> void
{
    m_reservations.clear();
    m_pausedUntil.clear();
    m_nextPlan = {};
}
}

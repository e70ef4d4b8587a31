#include "burdockspur/fleet/lookahead/roomsearch.hpp"

#include "burdockspur/contract/taskjob.hpp"
#include "burdockspur/fleet/fleetworker.hpp"
#include "burdockspur/fleet/lookahead/lookaheadlimits.hpp"
#include "burdockspur/fleet/lookahead/workerforecast.hpp"
#include "burdockspur/fleet/poolcapacities.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>

namespace Burdockspur
{
namespace
{
/// Workers whose runs one search reads.
constexpr std::size_t maxForecasts = 128;
/// Tasks of a step that one worker may keep room for.
constexpr std::uint32_t maxTasksPerWorker = 4;
/// A time that is not sure counts as this much later.
constexpr Milliseconds unsurePenalty{500};

[[nodiscard]] auto multiplied(const Resources &demand, std::uint32_t tasks) noexcept -> Resources
{
    return {demand.m_cpuMillis * tasks, demand.m_memoryMb * tasks, demand.m_accelerators * tasks};
}

[[nodiscard]] auto missingShare(std::int64_t demand, std::int64_t free) noexcept -> double
{
    return demand <= free ? 0 : static_cast<double>(demand - free) / static_cast<double>(demand);
}

/// @brief Share of a demand that is not free yet, by the resource of which the most is missing.
[[nodiscard]] auto missingShare(const Resources &demand, const Resources &free) noexcept -> double
{
    return std::max({missingShare(demand.m_cpuMillis, free.m_cpuMillis),
                     missingShare(demand.m_memoryMb, free.m_memoryMb),
                     missingShare(demand.m_accelerators, free.m_accelerators)});
}
}

RoomSearch::RoomSearch(const LookAheadLimits &limits, const RunDurations &durations) noexcept
    : m_limits(limits)
    , m_durations(durations)
{
}

auto RoomSearch::shortlist(const Request &request, std::span<const FreeCapacity> capacities) const -> std::vector<const FreeCapacity *>
{
    const auto &step = *request.m_step;
    std::vector<std::pair<double, const FreeCapacity *>> missing;
    for (const auto &capacity : capacities) {
        const auto &record = capacity.m_worker->m_record;
        Resources reclaimable = capacity.m_free;
        reclaimable += capacity.m_worker->finiteResources();
        const bool hasLabel = step.m_requiredLabel.empty() || std::ranges::find(record.m_labels, step.m_requiredLabel) != record.m_labels.end();
        if (capacity.m_slot == nullptr && capacity.m_isTrusted && hasLabel && step.m_demand.fitsInto(reclaimable)) {
            missing.emplace_back(missingShare(step.m_demand, capacity.m_free), &capacity);
        }
    }
    const auto count = std::min(missing.size(), maxForecasts);
    std::ranges::partial_sort(missing, missing.begin() + static_cast<std::ptrdiff_t>(count));
    std::vector<const FreeCapacity *> chosen;
    chosen.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        chosen.push_back(missing[i].second);
    }
    return chosen;
}

auto RoomSearch::addOffers(std::vector<Offer> &offers, const Request &request, const FreeCapacity &capacity, TimePoint now) -> void
{
    const auto &step = *request.m_step;
    const auto &worker = *capacity.m_worker;
    auto most = std::min(request.m_tasks, maxTasksPerWorker);
    if (step.m_maxPerWorker != 0) {
        const auto present = worker.countTasksOfStep(TaskId{std::string(request.m_job), request.m_occurrence, request.m_stepNumber, 0});
        most = std::min(most, step.m_maxPerWorker - std::min(step.m_maxPerWorker, present));
    }
    const WorkerForecast forecast(worker, capacity.m_free, m_durations, m_limits.m_startDelay, now);
    ++m_forecastCount;
    for (std::uint32_t tasks = 1; tasks <= most; ++tasks) {
        const auto room = forecast.timeOf(multiplied(step.m_demand, tasks));
        if (!room || room->m_at - now > m_limits.m_maxLead) {
            return;
        }
        offers.push_back({&capacity, tasks, room->m_at, room->m_at + (room->m_isSure ? Milliseconds{0} : unsurePenalty), room->m_isSure});
    }
}

auto RoomSearch::keepBestRack(std::vector<Offer> &offers, std::uint32_t tasks) -> void
{
    std::map<std::string_view, std::uint32_t> counts;
    for (const auto &offer : offers) {
        const std::string_view rack = offer.m_capacity->m_worker->m_record.m_rack;
        if (!rack.empty() && ++counts[rack] == tasks) {
            std::erase_if(offers, [rack](const Offer &other) {
                return other.m_capacity->m_worker->m_record.m_rack != rack;
            });
            return;
        }
    }
}

auto RoomSearch::find(const Request &request, std::span<const FreeCapacity> capacities, TimePoint now) -> std::vector<RoomSlot>
{
    const auto &step = *request.m_step;
    std::vector<Offer> offers;
    for (const auto *const capacity : shortlist(request, capacities)) {
        addOffers(offers, request, *capacity, now);
    }
    // The offers of a worker stay in the order of their number of tasks, because its times ascend.
    std::ranges::stable_sort(offers, {}, &Offer::m_rank);
    if (step.m_isGang && step.m_sameRack) {
        keepBestRack(offers, request.m_tasks);
    }
    std::vector<RoomSlot> slots;
    std::map<const FreeCapacity *, std::size_t> slotOf;
    Resources reserved;
    std::uint32_t found = 0;
    for (const auto &offer : offers) {
        reserved += step.m_demand;
        if (found == request.m_tasks || !reserved.fitsInto(request.m_allowance)) {
            break;
        }
        ++found;
        const auto [entry, isNew] = slotOf.try_emplace(offer.m_capacity, slots.size());
        if (isNew) {
            slots.emplace_back();
            slots.back().m_worker = offer.m_capacity->m_worker->m_record.m_id;
        }
        auto &slot = slots[entry->second];
        slot.m_tasks = offer.m_tasks;
        slot.m_plannedAt = slot.m_at = slot.m_neededAt = offer.m_at;
        slot.m_isSure = offer.m_isSure;
    }
    if (step.m_isGang && found < request.m_tasks) {
        slots.clear();
    }
    return slots;
}
}

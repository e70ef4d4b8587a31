#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/lookahead/roomslot.hpp"
#include "burdockspur/machine/resources.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace Burdockspur
{
class RunDurations;
struct FreeCapacity;
struct LookAheadLimits;
struct TaskStep;

/// @brief Searches the workers that will have room for tasks of a step first.
///
/// Reads the runs of the workers that lack the least room, of a bounded number of them.
class RoomSearch
{
public:
    /// What is searched.
    struct Request {
        std::string_view m_job;
        std::uint32_t m_occurrence = 0;
        std::uint32_t m_stepNumber = 0;
        const TaskStep *m_step = nullptr;
        std::uint32_t m_tasks = 0; ///< number of tasks that need room
        Resources m_allowance; ///< most that may be reserved
    };

    /// @param limits must outlive the object
    /// @param durations must outlive the object
    RoomSearch(const LookAheadLimits &limits, const RunDurations &durations) noexcept;

    /// @brief Finds room on workers that have no slot yet.
    /// @param capacities workers of the pool
    /// @returns slots, one for each worker; fewer tasks than requested if there is not enough room soon, and none for a gang then
    [[nodiscard]] auto find(const Request &request, std::span<const FreeCapacity> capacities, TimePoint now) -> std::vector<RoomSlot>;

    /// @brief Number of workers whose runs were read by all searches.
    [[nodiscard]] auto forecastCount() const noexcept -> std::uint64_t
    {
        return m_forecastCount;
    }

private:
    /// Room for one more task on a worker.
    struct Offer {
        const FreeCapacity *m_capacity = nullptr;
        std::uint32_t m_tasks = 0; ///< on this worker, with this one
        TimePoint m_at;
        TimePoint m_rank; ///< m_at, later if that is not sure
        bool m_isSure = false;
    };

    /// @brief Workers that may get room for a task, those first that lack the least.
    [[nodiscard]] auto shortlist(const Request &request, std::span<const FreeCapacity> capacities) const -> std::vector<const FreeCapacity *>;
    auto addOffers(std::vector<Offer> &offers, const Request &request, const FreeCapacity &capacity, TimePoint now) -> void;
    /// @brief Keeps only the offers of the rack that has room for all tasks first; all offers if no rack has it.
    static auto keepBestRack(std::vector<Offer> &offers, std::uint32_t tasks) -> void;

    const LookAheadLimits &m_limits;
    const RunDurations &m_durations;
    std::uint64_t m_forecastCount = 0;
};
}

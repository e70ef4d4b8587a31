#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/jobarchive.hpp"
#include "burdockspur/port/changestore.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace Burdockspur
{
/// @brief Carries out what JobArchive decides, in the event loop of the store.
class ArchiveCalls
{
public:
    struct Listener {
        std::function<void(std::vector<std::string> &&)> m_archived; ///< jobs that are known to be moved
        std::function<void(Milliseconds, std::function<void()>)> m_later; ///< calls after a time, from the event loop
        std::function<TimePoint()> m_now = Clock::now;
    };

    /// @param store outlives the object
    /// @param retention how long the final row of a job is kept
    ArchiveCalls(ChangeStore &store, Milliseconds retention, Listener listener);
    ~ArchiveCalls();
    ArchiveCalls(const ArchiveCalls &) = delete;
    ArchiveCalls(ArchiveCalls &&) = delete;
    auto operator=(const ArchiveCalls &) -> ArchiveCalls & = delete;
    auto operator=(ArchiveCalls &&) -> ArchiveCalls & = delete;

    /// @brief Begins with an ownership.
    auto begin() -> void;

    /// @brief Ends the ownership. A move in flight may still take effect, which does no harm.
    auto end() -> void;

    /// @brief Takes jobs whose final state is stored as their progress.
    auto add(std::span<const FinalJob> jobs) -> void;

private:
    auto tick(std::uint64_t generation) -> void;
    auto call(const ArchiveWrite &write) -> void;
    auto call(const ArchiveRead &read) -> void;

    ChangeStore &m_store;
    Listener m_listener;
    JobArchive m_archive;
    std::uint64_t m_generation = 0; ///< of the ownership; the ticks of an earlier one end
    std::shared_ptr<bool> m_alive;
};
}

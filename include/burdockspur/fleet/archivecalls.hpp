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
/// @brief Sends the calls that JobArchive requests to the store, in the event loop of the store.
class ArchiveCalls
{
public:
    struct Listener {
        std::function<void(std::vector<std::string> &&)> m_archived; ///< called with the ids of jobs whose move is confirmed
        std::function<void(Milliseconds, std::function<void()>)> m_runLater; ///< runs a function in the event loop after a delay
        std::function<TimePoint()> m_now = Clock::now; ///< clock; replaced in tests
    };

    /// @param store must outlive the object
    /// @param retention how long the final row of a job is kept
    /// @param listener callbacks
    ArchiveCalls(ChangeStore &store, Milliseconds retention, Listener listener);
    ~ArchiveCalls();
    ArchiveCalls(const ArchiveCalls &) = delete;
    ArchiveCalls(ArchiveCalls &&) = delete;
    auto operator=(const ArchiveCalls &) -> ArchiveCalls & = delete;
    auto operator=(ArchiveCalls &&) -> ArchiveCalls & = delete;

    /// @brief Starts an ownership.
    auto begin() -> void;

    /// @brief Ends the ownership. A move in flight may still take effect, which does no harm.
    auto end() -> void;

    /// @brief Adds jobs to move; their final state must already be stored in their progress rows.
    auto add(std::span<const FinalJob> jobs) -> void;

private:
    auto tick(std::uint64_t generation) -> void;
    auto call(const ArchiveWrite &write) -> void;
    auto call(const ArchiveRead &read) -> void;

    ChangeStore &m_store;
    Listener m_listener;
    JobArchive m_archive;
    std::uint64_t m_generation = 0; ///< identifies the ownership; timer calls with another generation do nothing
    std::shared_ptr<bool> m_alive; ///< false once the object is destroyed, so that pending callbacks do nothing
};
}

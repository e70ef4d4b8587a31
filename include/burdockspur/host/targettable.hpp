#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/host/target.hpp"

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Burdockspur
{
class RandomSource;
struct RouterLimits;

/// @brief Stores the workers to which requests can be sent, with the state that this entry host tracks for each.
///
/// A worker that is no longer in the host list is kept as long as an exchange refers to it.
class TargetTable
{
public:
    /// @param limits periods of avoidance; must outlive the table
    /// @param ownZone zone of this entry host
    TargetTable(const RouterLimits &limits, std::string_view ownZone);

    /// @brief Updates the workers from the host list.
    auto update(std::span<const HostRecord> hosts) -> void;

    /// @brief Finds a worker by name, including one that is kept but no longer listed.
    /// @returns nullptr if the name is unknown
    [[nodiscard]] auto find(std::string_view name) noexcept -> Target *;

    /// @brief Returns the listed workers in the zone of this entry host, ordered by name.
    [[nodiscard]] auto local() const noexcept -> std::span<Target *const>;

    /// @brief Returns the listed workers in other zones, ordered by name.
    [[nodiscard]] auto remote() const noexcept -> std::span<Target *const>;

    /// @brief Returns true if any listed worker accepts new requests, whether or not it has a free slot.
    [[nodiscard]] auto anyAccepts(TimePoint now) const noexcept -> bool;

    /// @brief Takes a slot of a worker; one must be free.
    static auto takeSlot(Target &target) noexcept -> void;

    /// @brief Frees a slot that takeSlot() took.
    static auto freeSlot(Target &target) noexcept -> void;

    /// @brief Stops sending requests for a period to a worker that replied `leaving`.
    auto markLeaving(Target &target, TimePoint now) const noexcept -> void;

    /// @brief Avoids a worker for a period that doubles with consecutive failures.
    auto recordFailure(Target &target, TimePoint now, RandomSource &random) const noexcept -> void;

    /// @brief Briefly avoids a worker whose slots are used by other entry hosts.
    auto markFull(Target &target, TimePoint now) const noexcept -> void;

    /// @brief Records the incarnation from a response; an empty one is ignored.
    static auto recordIncarnation(Target &target, std::string_view incarnation) -> void;

    /// @brief Ends the avoidance of a worker that responds.
    static auto recordResponse(Target &target) noexcept -> void;

private:
    struct NameHash {
        using is_transparent = void;
        [[nodiscard]] auto operator()(std::string_view name) const noexcept -> std::size_t
        {
            return std::hash<std::string_view>{}(name);
        }
    };

    auto rebuildGroups() -> void;

    const RouterLimits &m_limits;
    std::string m_ownZone;
    std::unordered_map<std::string, std::unique_ptr<Target>, NameHash, std::equal_to<>> m_targets;
    std::vector<Target *> m_local;
    std::vector<Target *> m_remote;
};
}

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

/// @brief The workers that requests can be sent to, with what this entry host knows about each.
///
/// A worker that disappears from the host list is kept as long as an exchange refers to it.
class TargetTable
{
public:
    /// @param limits durations of marks; must outlive the table
    /// @param ownZone zone of this entry host
    TargetTable(const RouterLimits &limits, std::string_view ownZone);

    /// @brief Takes over the host list; hosts of other roles are skipped.
    auto update(std::span<const HostRecord> hosts) -> void;

    /// @brief Finds a worker by name, also one that is no longer listed.
    /// @returns nullptr for an unknown name
    [[nodiscard]] auto find(std::string_view name) noexcept -> Target *;

    /// @brief Listed workers in this entry host's zone.
    [[nodiscard]] auto local() const noexcept -> std::span<Target *const>;

    /// @brief Listed workers in other zones.
    [[nodiscard]] auto remote() const noexcept -> std::span<Target *const>;

    /// @brief True when a listed worker accepts new requests, with or without a free slot.
    [[nodiscard]] auto anyAccepts(TimePoint now) const noexcept -> bool;

    /// @brief Uses a slot; the worker must have a free one.
    static auto takeSlot(Target &target) noexcept -> void;

    /// @brief Frees a slot that takeSlot() used.
    static auto freeSlot(Target &target) noexcept -> void;

    /// @brief Marks a worker that replied `leaving`.
    auto noteLeaving(Target &target, TimePoint now) const noexcept -> void;

    /// @brief Avoids a worker for a time that doubles with consecutive failures.
    auto noteFailure(Target &target, TimePoint now, RandomSource &random) const noexcept -> void;

    /// @brief Avoids a worker briefly, because other entry hosts fill its slots.
    auto noteFull(Target &target, TimePoint now) const noexcept -> void;

    /// @brief Keeps the incarnation that a response told, if it told one.
    static auto noteIncarnation(Target &target, std::string_view incarnation) -> void;

    /// @brief Ends the avoidance of a worker that responds.
    static auto noteResponse(Target &target) noexcept -> void;

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

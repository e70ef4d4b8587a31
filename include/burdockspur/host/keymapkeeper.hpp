#pragma once

#include "burdockspur/contract/keymap.hpp"
#include "burdockspur/core/clock.hpp"
#include "burdockspur/host/keymapcommand.hpp"
#include "burdockspur/machine/hostrecord.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
class RandomSource;

/// @brief Name and incarnation of the entry daemon that keeps a key map; without a name the key map is off.
struct KeyMapIdentity {
    std::string m_name;
    std::string m_incarnation; ///< changes with each start and is never used again
};

/// @brief Where the requests of a key go.
struct KeyHome {
    const KeyMapMember *m_worker = nullptr; ///< nullptr when no worker is left
    bool m_isSettled = false; ///< no recent change concerns the home
};

/// @brief Decides when the key map changes, and which worker is the home of a key.
///
/// A change stays among the recent ones for a period after this process first saw it, by its own clock. The host list
/// names the members, the responses of workers their incarnations. A proposal waits for a random delay, so that
/// usually one daemon of several writes it.
///
/// @code
/// KeyMapKeeper keeper({"entry-1", incarnation}, ttl);
/// keeper.takeMap(std::move(map), now, random);
/// if (keeper.isUsable()) { const auto home = keeper.homeOf(key, excluded); }
/// @endcode
class KeyMapKeeper
{
public:
    /// @param self this entry daemon
    /// @param changeTtl how long a change counts as recent
    KeyMapKeeper(KeyMapIdentity self, Duration changeTtl);

    /// @brief False when the key map is switched off.
    [[nodiscard]] auto isOn() const noexcept -> bool;

    /// @brief Takes the map as read or written; an older generation is ignored, generation 0 allows to create the first one.
    auto takeMap(KeyMap &&map, TimePoint now, RandomSource &random) -> void;

    /// @brief A proposal of this process has ended without a known result.
    auto proposalFailed(TimePoint now, RandomSource &random, std::vector<KeyMapCommand> &commands) -> void;

    /// @brief Takes the host list.
    auto takeHosts(const HostListing &listing, TimePoint now, RandomSource &random) -> void;

    /// @brief Takes the incarnation that a worker told in a response; empty when it tells none.
    auto noteWorker(std::string_view name, std::string_view incarnation, TimePoint now, RandomSource &random) -> void;

    /// @brief Proposes what is due.
    auto passTime(TimePoint now, RandomSource &random, std::vector<KeyMapCommand> &commands) -> void;

    /// @brief When passTime() is due, or TimePoint::max().
    [[nodiscard]] auto nextDeadline() const noexcept -> TimePoint;

    /// @brief From now on no key is sent by a map with a lower generation.
    auto adopt(std::uint64_t generation, std::vector<KeyMapCommand> &commands) -> void;

    /// @brief True when this daemon is a member of the map and knows no higher generation.
    [[nodiscard]] auto isUsable() const noexcept -> bool;

    /// @brief The map as last read; generation 0 when there is none.
    [[nodiscard]] auto map() const noexcept -> const KeyMap &;

    [[nodiscard]] auto self() const noexcept -> const KeyMapIdentity &;

    /// @brief Home of a key.
    /// @param key text that stands for caller and key
    /// @param excluded workers that hold a tombstone for the request
    [[nodiscard]] auto homeOf(std::string_view key, std::span<const std::string> excluded) const noexcept -> KeyHome;

    /// @brief True when the memory of an entry daemon ended recently.
    [[nodiscard]] auto lostEntry() const noexcept -> bool;

private:
    [[nodiscard]] auto nextMap(TimePoint now) const -> std::optional<KeyMap>;
    auto mergeWorkers(KeyMap &next) const -> void;
    auto mergeEntries(KeyMap &next) const -> void;
    [[nodiscard]] auto isReadyForFirstMap(TimePoint now) const -> bool;
    auto schedule(TimePoint now, RandomSource &random) -> void;
    [[nodiscard]] auto nextExpiry() const -> TimePoint;

    KeyMapIdentity m_self;
    Duration m_changeTtl;
    KeyMap m_map;
    std::uint64_t m_floor = 0; ///< highest generation known to exist
    bool m_isRead = false; ///< the map, or its absence, was read
    bool m_isProposing = false;
    bool m_hasHosts = false;
    std::uint64_t m_hostsGeneration = 0;
    TimePoint m_hostsSince = TimePoint::max(); ///< first host list
    std::set<std::string, std::less<>> m_listedWorkers;
    std::set<std::string, std::less<>> m_listedEntries;
    std::map<std::string, std::string, std::less<>> m_incarnations; ///< of workers, told since the map was last read
    std::map<KeyMapChange, TimePoint> m_expiries; ///< of the recent changes of m_map
    TimePoint m_due = TimePoint::max();
};
}

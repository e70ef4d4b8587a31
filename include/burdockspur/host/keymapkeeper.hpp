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

/// @brief Name and incarnation of an entry daemon; with an empty name the key map is disabled.
struct KeyMapIdentity {
    std::string m_name;
    std::string m_incarnation; ///< differs for each start of the process and is never reused
};

/// @brief Worker to which all requests with a key are sent.
struct KeyHome {
    const KeyMapMember *m_worker = nullptr; ///< nullptr if no worker remains
    bool m_isStable = false; ///< no recent change of the map affects the choice of this worker
};

/// @brief Tracks the key map, proposes changes to it, and determines the home worker of each key.
///
/// The key map lists the workers and entry daemons with their incarnations, and the recent changes of both. The host
/// list provides the members, and the responses of workers provide their incarnations. A change counts as recent for
/// a fixed period after this process first read it, measured by its own clock. Proposals are delayed randomly, so
/// that usually only one of several daemons writes a change.
///
/// @code
/// KeyMapKeeper keeper({"entry-1", incarnation}, ttl);
/// keeper.updateMap(std::move(map), now, random);
/// if (keeper.isUsable()) { const auto home = keeper.homeOf(key, excluded); }
/// @endcode
class KeyMapKeeper
{
public:
    /// @param self this entry daemon
    /// @param changeTtl period for which a change counts as recent
    KeyMapKeeper(KeyMapIdentity self, Duration changeTtl);

    /// @brief Returns false if the key map is disabled.
    [[nodiscard]] auto isEnabled() const noexcept -> bool;

    /// @brief Replaces the map with one that was read or written.
    ///
    /// An older generation is ignored. Generation 0 means that the table holds no map, so the first one may be proposed.
    auto updateMap(KeyMap &&map, TimePoint now, RandomSource &random) -> void;

    /// @brief Handles a proposal of this process that was rejected or whose result is unknown.
    auto handleFailedProposal(TimePoint now, RandomSource &random, std::vector<KeyMapCommand> &commands) -> void;

    /// @brief Applies a host list.
    auto updateHosts(const HostListing &listing, TimePoint now, RandomSource &random) -> void;

    /// @brief Records the incarnation from a response of a worker; empty if the response contained none.
    auto recordWorkerIncarnation(std::string_view name, std::string_view incarnation, TimePoint now, RandomSource &random) -> void;

    /// @brief Proposes the next map if its delay has passed.
    auto proposeIfDue(TimePoint now, RandomSource &random, std::vector<KeyMapCommand> &commands) -> void;

    /// @brief Returns when proposeIfDue() is due, or TimePoint::max().
    [[nodiscard]] auto nextDeadline() const noexcept -> TimePoint;

    /// @brief Makes maps with a lower generation unusable, and orders a read if this generation was not known yet.
    auto requireGeneration(std::uint64_t generation, std::vector<KeyMapCommand> &commands) -> void;

    /// @brief Returns true if this daemon is a member of the map and no higher generation is known to exist.
    [[nodiscard]] auto isUsable() const noexcept -> bool;

    /// @brief Returns the map as last read; its generation is 0 if there is none.
    [[nodiscard]] auto map() const noexcept -> const KeyMap &;

    [[nodiscard]] auto self() const noexcept -> const KeyMapIdentity &;

    /// @brief Returns the home worker of a key.
    /// @param key part of the request id that identifies caller and key
    /// @param excluded names of workers that hold a tombstone for the request
    [[nodiscard]] auto homeOf(std::string_view key, std::span<const std::string> excluded) const noexcept -> KeyHome;

    /// @brief Returns true if an entry daemon was recently removed or replaced, so that its records of sent keys are lost.
    [[nodiscard]] auto hasLostEntry() const noexcept -> bool;

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
    std::uint64_t m_requiredGeneration = 0; ///< highest generation known to exist
    bool m_isRead = false; ///< a read has returned a map or its absence since the latest failed proposal
    bool m_isProposing = false;
    bool m_hasHosts = false;
    std::uint64_t m_hostsGeneration = 0;
    TimePoint m_hostsSince = TimePoint::max(); ///< when the first host list was received
    std::set<std::string, std::less<>> m_listedWorkers;
    std::set<std::string, std::less<>> m_listedEntries;
    std::map<std::string, std::string, std::less<>> m_incarnations; ///< reported by workers; entries that differ from a newly read map are dropped
    std::map<KeyMapChange, TimePoint> m_expiries; ///< when each change in m_map stops being recent
    TimePoint m_due = TimePoint::max(); ///< time of the next call of proposeIfDue()
};
}

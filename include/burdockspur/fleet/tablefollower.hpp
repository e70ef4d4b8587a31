#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/port/changestore.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Burdockspur
{
/// @brief Timing of the calls of a TableFollower.
struct TableFollowerOptions {
    Milliseconds m_wait{0}; ///< time for which the store may wait for a change before it answers
    Milliseconds m_pause{0}; ///< time between an answer and the next call
    Milliseconds m_retry{200}; ///< time between a failed call and the next one
};

/// @brief Reads a table once and then its changes; reads the whole table again when the store no longer has the changes.
///
/// It lists only the empty partition. For a table with other partitions, the caller lists the table itself, calls startAfter() with the
/// version that it has read, and does so again when m_lost is called.
class TableFollower
{
public:
    struct Listener {
        /// @brief Called with all rows of the table, joined from all pages.
        std::function<void(const RowPage &, TimePoint confirmedAt)> m_listed;
        /// @brief Called with the changes; with no rows when the store has confirmed that there are none. A page with RowPage::m_hasMore
        /// confirms nothing, because later changes are not read yet; its confirmedAt has the default value.
        std::function<void(const RowPage &, TimePoint confirmedAt)> m_changed;
        /// @brief Called when the changes cannot be read and the caller has to list the table. When it is empty, the follower lists the
        /// table itself.
        std::function<void()> m_lost;
        /// @brief Runs a function in the event loop after a delay.
        std::function<void(Milliseconds, std::function<void()>)> m_runLater;
    };

    /// @param store must outlive the object
    /// @param table name of the table
    /// @param options timing of the calls
    /// @param listener callbacks
    TableFollower(ChangeStore &store, std::string_view table, const TableFollowerOptions &options, Listener listener);
    ~TableFollower();
    TableFollower(const TableFollower &) = delete;
    TableFollower(TableFollower &&) = delete;
    auto operator=(const TableFollower &) -> TableFollower & = delete;
    auto operator=(TableFollower &&) -> TableFollower & = delete;

    /// @brief Lists the table, then follows its changes.
    auto start() -> void;

    /// @brief Follows the changes after a version, for a caller that has listed the table itself.
    auto startAfter(std::uint64_t version) -> void;

    /// @brief Asks for changes at once, without waiting for an earlier call, because that may hang in a silent store.
    auto probe() -> void;

private:
    auto list(std::string_view after) -> void;
    auto follow(Milliseconds wait) -> void;
    auto takeChanges(const RowPage &page, TimePoint sentAt, Milliseconds wait) -> void;
    auto handleFailure(std::string_view step, const Error &error, std::uint64_t call) -> void;
    auto recordAnswer() -> void;
    auto relist() -> void;

    ChangeStore &m_store;
    std::string m_table;
    TableFollowerOptions m_options;
    Listener m_listener;
    RowPage m_listing; ///< pages read so far
    std::string m_listedUpTo; ///< name after which the page in flight begins
    TimePoint m_listingSince; ///< time at which the first page was requested
    std::uint64_t m_version = 0; ///< version up to which the changes are known
    std::uint64_t m_lastCall = 0; ///< number of the last call
    std::uint64_t m_round = 0; ///< increases with each answer and with each page of a list; answers to calls of earlier rounds are ignored
    bool m_isFollowing = false; ///< the table is listed, and its changes are read
    std::uint32_t m_feedTimeouts = 0; ///< consecutive timeouts of calls for changes
    std::optional<TimePoint> m_failingSince; ///< first failed call since the last answer
    std::shared_ptr<bool> m_alive; ///< false once the object is destroyed, so that pending callbacks do nothing
};
}

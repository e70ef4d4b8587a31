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
/// @brief Bounds of a follower.
struct TableFollowerOptions {
    Milliseconds m_wait{0}; ///< the store may wait this long for a change
    Milliseconds m_pause{0}; ///< between two calls
    Milliseconds m_retry{200}; ///< after a failed call
};

/// @brief Keeps up with a table: lists it once, then follows its changes, and lists it again when the history is gone.
///
/// Lists the empty partition. For a table with others, startAfter() is given what the caller has listed, and m_lost says
/// when to list again.
class TableFollower
{
public:
    struct Listener {
        /// @brief Takes the whole table; pages are joined.
        std::function<void(const RowPage &, TimePoint confirmedAt)> m_listed;
        /// @brief Takes changes, none when the store has confirmed that there are none.
        std::function<void(const RowPage &, TimePoint confirmedAt)> m_changed;
        /// @brief The changes cannot be had, and the caller has to list; without it the follower lists by itself.
        std::function<void()> m_lost;
        /// @brief Calls after a time, from the event loop.
        std::function<void(Milliseconds, std::function<void()>)> m_later;
    };

    TableFollower(ChangeStore &store, std::string_view table, const TableFollowerOptions &options, Listener listener);
    ~TableFollower();
    TableFollower(const TableFollower &) = delete;
    TableFollower(TableFollower &&) = delete;
    auto operator=(const TableFollower &) -> TableFollower & = delete;
    auto operator=(TableFollower &&) -> TableFollower & = delete;

    /// @brief Begins with a list.
    auto start() -> void;

    /// @brief Begins with the changes after a version, for a caller that has listed the table itself.
    auto startAfter(std::uint64_t version) -> void;

private:
    auto list(std::string_view after) -> void;
    auto follow() -> void;
    auto failed(std::string_view step, const Error &error) -> void;
    auto answered() -> void;
    auto listAgain() -> void;

    ChangeStore &m_store;
    std::string m_table;
    TableFollowerOptions m_options;
    Listener m_listener;
    RowPage m_listing;
    std::string m_listedTo; ///< name after which the page in flight begins
    TimePoint m_listingSince; ///< when the first page was asked for
    std::uint64_t m_version = 0;
    std::uint32_t m_feedTimeouts = 0; ///< in a row
    std::optional<TimePoint> m_failingSince; ///< first failed call since the last answer
    std::shared_ptr<bool> m_alive;
};
}

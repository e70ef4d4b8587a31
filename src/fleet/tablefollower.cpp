#include "burdockspur/fleet/tablefollower.hpp"

#include "burdockspur/fleet/fleetrows.hpp"
#include "burdockspur/operations/log.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Burdockspur
{
namespace
{
/// Rows of one page of a list; an answer of 500 rows of workers takes 0.3 s of a link of 10 Mbit/s that others use as well.
constexpr std::uint32_t listRows = 128;
/// An answer of the feed holds all changes, however many there are. One that did not come through in time so often in a row is
/// too large for the link, and only a list can be read in parts.
constexpr std::uint32_t mostFeedTimeouts = 2;
}

TableFollower::TableFollower(ChangeStore &store, std::string_view table, const TableFollowerOptions &options, Listener listener)
    : m_store(store)
    , m_table(table)
    , m_options(options)
    , m_listener(std::move(listener))
    , m_alive(std::make_shared<bool>(true))
{
}

TableFollower::~TableFollower()
{
    *m_alive = false;
}

auto TableFollower::start() -> void
{
    m_listing = {};
    list({});
}

auto TableFollower::startAfter(std::uint64_t version) -> void
{
    m_version = version;
    follow();
}

auto TableFollower::list(std::string_view after) -> void
{
    m_listedTo = after;
    if (after.empty()) {
        m_listingSince = Clock::now();
    }
    m_store.list(m_table, {}, m_listedTo, listRows, [this, alive = m_alive](Result<RowPage> &&page) {
        if (!*alive) {
            return;
        }
        if (!page) {
            failed("list", page.error());
            return;
        }
        // Changes after the first page may be missing from it, so following begins at its version.
        if (m_listing.m_rows.empty()) {
            m_listing.m_version = page->m_version;
        }
        std::ranges::move(page->m_rows, std::back_inserter(m_listing.m_rows));
        if (page->m_hasMore && !m_listing.m_rows.empty()) {
            const std::string last(rowName(m_listing.m_rows.back().m_row.m_key));
            list(last);
            return;
        }
        answered();
        m_version = m_listing.m_version;
        const RowPage listing = std::exchange(m_listing, {});
        m_listener.m_listed(listing, m_listingSince);
        if (*alive) {
            follow();
        }
    });
}

auto TableFollower::follow() -> void
{
    const TimePoint sentAt = Clock::now();
    m_store.follow(m_table, m_version, m_options.m_wait, [this, alive = m_alive, sentAt](Result<RowPage> &&page) {
        if (!*alive) {
            return;
        }
        if (!page) {
            failed("follow", page.error());
            return;
        }
        answered();
        if (page->m_isHistoryCompacted) {
            logEvent(LogLevel::Warning, "table_history_gone", {{"table", m_table}, {"version", m_version}});
            listAgain();
            return;
        }
        m_version = std::max(m_version, page->m_version);
        // Without changes the store has waited, so it confirms a later time than that of the call.
        m_listener.m_changed(*page, page->m_rows.empty() ? std::min(Clock::now(), sentAt + m_options.m_wait) : sentAt);
        if (!*alive) {
            return;
        }
        if (m_options.m_pause.count() == 0) {
            follow();
            return;
        }
        m_listener.m_later(m_options.m_pause, [this, alive] {
            if (*alive) {
                follow();
            }
        });
    });
}

auto TableFollower::listAgain() -> void
{
    if (m_listener.m_lost) {
        m_listener.m_lost();
    } else {
        start();
    }
}

auto TableFollower::answered() -> void
{
    m_feedTimeouts = 0;
    if (const auto since = std::exchange(m_failingSince, std::nullopt)) {
        const auto away = std::chrono::duration_cast<Milliseconds>(Clock::now() - *since);
        logEvent(LogLevel::Info, "table_reachable", {{"table", m_table}, {"away_ms", away.count()}, {"version", m_version}});
    }
}

auto TableFollower::failed(std::string_view step, const Error &error) -> void
{
    if (!m_failingSince) {
        m_failingSince = Clock::now();
        logEvent(LogLevel::Warning, "table_unreachable", {{"table", m_table}, {"step", step}, {"version", m_version}, {"reason", error.m_message}});
    }
    const bool isFeed = step == "follow";
    m_feedTimeouts = isFeed && error.m_code == ErrorCode::Timeout ? m_feedTimeouts + 1 : 0;
    const bool isTooLarge = m_feedTimeouts >= mostFeedTimeouts;
    if (isTooLarge) {
        m_feedTimeouts = 0;
        logEvent(LogLevel::Warning, "table_feed_too_slow", {{"table", m_table}, {"version", m_version}});
    }
    m_listener.m_later(m_options.m_retry, [this, alive = m_alive, isFeed, isTooLarge] {
        if (!*alive) {
            return;
        }
        if (!isFeed) {
            // The pages that were read stay read: of many pages, one is lost in nearly every pass while the store loses answers.
            list(std::string(m_listedTo));
        } else if (isTooLarge) {
            listAgain();
        } else {
            follow();
        }
    });
}
}

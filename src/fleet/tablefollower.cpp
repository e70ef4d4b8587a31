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
/// Rows of one page of a list. A page of 500 workers would occupy a shared link of 10 Mbit/s for 0.3 s.
constexpr std::uint32_t listRows = 128;
/// Consecutive timeouts of calls for changes after which the table is listed instead. The answer to such a call holds all changes,
/// however many, so it is then assumed to be too large for the link; only a list can be read in pages.
constexpr std::uint32_t maxFeedTimeouts = 2;
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
    follow(m_options.m_wait);
}

auto TableFollower::probe() -> void
{
    if (m_isFollowing) {
        follow(Milliseconds{0});
    }
}

auto TableFollower::list(std::string_view after) -> void
{
    m_listedUpTo = after;
    m_isFollowing = false;
    if (after.empty()) {
        m_listingSince = Clock::now();
    }
    m_store.list(m_table, {}, m_listedUpTo, listRows, [this, alive = m_alive, call = ++m_lastCall, round = ++m_round](Result<RowPage> &&page) {
        if (!*alive || round != m_round) {
            return;
        }
        if (!page) {
            handleFailure("list", page.error(), call);
            return;
        }
        // The first page may lack changes made after it was read, so the changes are followed from its version on.
        if (m_listing.m_rows.empty()) {
            m_listing.m_version = page->m_version;
        }
        std::ranges::move(page->m_rows, std::back_inserter(m_listing.m_rows));
        if (page->m_hasMore && !m_listing.m_rows.empty()) {
            const std::string last(rowName(m_listing.m_rows.back().m_row.m_key));
            list(last);
            return;
        }
        recordAnswer();
        m_version = m_listing.m_version;
        const RowPage listing = std::exchange(m_listing, {});
        m_listener.m_listed(listing, m_listingSince);
        if (*alive) {
            follow(m_options.m_wait);
        }
    });
}

auto TableFollower::follow(Milliseconds wait) -> void
{
    m_isFollowing = true;
    const TimePoint sentAt = Clock::now();
    m_store.follow(m_table, m_version, wait, [this, alive = m_alive, sentAt, wait, call = ++m_lastCall, round = m_round](Result<RowPage> &&page) {
        // The first answer to one of several calls for the same changes counts.
        if (!*alive || round != m_round) {
            return;
        }
        if (!page) {
            handleFailure("follow", page.error(), call);
            return;
        }
        takeChanges(*page, sentAt, wait);
    });
}

auto TableFollower::takeChanges(const RowPage &page, TimePoint sentAt, Milliseconds wait) -> void
{
    ++m_round;
    recordAnswer();
    if (page.m_isHistoryCompacted) {
        logEvent(LogLevel::Warning, "table_history_gone", {{"table", m_table}, {"version", m_version}});
        relist();
        return;
    }
    m_version = std::max(m_version, page.m_version);
    // An answer without changes comes at the end of the wait, so it confirms the time of its end rather than that of the call.
    const auto alive = m_alive;
    const auto confirmedAt = page.m_rows.empty() ? std::min(Clock::now(), sentAt + wait) : sentAt;
    m_listener.m_changed(page, page.m_hasMore ? TimePoint{} : confirmedAt);
    if (!*alive) {
        return;
    }
    // With a pause after each of them, answers of bounded size would fall behind a table that changes faster.
    if (page.m_hasMore || m_options.m_pause.count() == 0) {
        follow(m_options.m_wait);
        return;
    }
    m_listener.m_runLater(m_options.m_pause, [this, alive, round = m_round] {
        if (*alive && round == m_round) {
            follow(m_options.m_wait);
        }
    });
}

auto TableFollower::relist() -> void
{
    m_isFollowing = false;
    if (m_listener.m_lost) {
        m_listener.m_lost();
    } else {
        start();
    }
}

auto TableFollower::recordAnswer() -> void
{
    m_feedTimeouts = 0;
    if (const auto since = std::exchange(m_failingSince, std::nullopt)) {
        const auto away = std::chrono::duration_cast<Milliseconds>(Clock::now() - *since);
        logEvent(LogLevel::Info, "table_reachable", {{"table", m_table}, {"away_ms", away.count()}, {"version", m_version}});
    }
}

auto TableFollower::handleFailure(std::string_view step, const Error &error, std::uint64_t call) -> void
{
    if (call != m_lastCall) {
        // A later call for the same rows is under way.
        return;
    }
    if (!m_failingSince) {
        m_failingSince = Clock::now();
        logEvent(LogLevel::Warning, "table_unreachable", {{"table", m_table}, {"step", step}, {"version", m_version}, {"reason", error.m_message}});
    }
    const bool isFeed = step == "follow";
    m_feedTimeouts = isFeed && error.m_code == ErrorCode::Timeout ? m_feedTimeouts + 1 : 0;
    const bool isTooLarge = m_feedTimeouts >= maxFeedTimeouts;
    if (isTooLarge) {
        m_feedTimeouts = 0;
        logEvent(LogLevel::Warning, "table_feed_too_slow", {{"table", m_table}, {"version", m_version}});
    }
    m_listener.m_runLater(m_options.m_retry, [this, alive = m_alive, call, isFeed, isTooLarge] {
        if (!*alive || call != m_lastCall) {
            return;
        }
        if (!isFeed) {
            // Repeats only the failed page: while the store loses answers, nearly every attempt to read many pages loses one of them.
            list(std::string(m_listedUpTo));
        } else if (isTooLarge) {
            relist();
        } else {
            // After an outage the first answer must not wait for a change: the host serves nobody until it has one.
            follow(Milliseconds{0});
        }
    });
}
}

#pragma once

#include "burdockspur/fleet/fleetrows.hpp"
#include "burdockspur/port/changestore.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace Burdockspur::Testing
{
/// @brief Simulates a store behind a slow link, in virtual time.
///
/// Answers use the link one after the other. A call without an answer within the time-out fails, as with the HTTP client.
class LinkStore final : public ChangeStore
{
public:
    struct Link {
        double m_bytesPerSecond = 1'250'000; ///< 10 Mbit/s
        Milliseconds m_latency{14}; ///< round trip and processing time of the store
        Milliseconds m_timeout{1'200}; ///< of a call, including its wait for a connection
        std::size_t m_connections = 12; ///< maximum number of calls at the same time; further calls wait
    };

    explicit LinkStore(const Link &link)
        : m_link(link)
    {
    }

    auto put(std::string_view key, std::string value) -> void
    {
        m_rows.insert_or_assign(std::string(key), std::move(value));
    }

    auto commit(const Transaction & /*transaction*/, CommitCallback /*callback*/) -> void override
    {
    }

    auto read(std::string_view /*key*/, RowsCallback /*callback*/) -> void override
    {
    }

    auto scan(std::string_view /*prefix*/, std::string_view /*after*/, std::uint32_t /*limit*/, RowsCallback /*callback*/) -> void override
    {
    }

    auto list(std::string_view table, std::string_view partition, std::string_view after, std::uint32_t limit, PageCallback callback) -> void override
    {
        begin(pageOf(table, partition, after, limit), std::move(callback));
    }

    auto follow(std::string_view /*table*/, std::uint64_t /*version*/, Milliseconds /*wait*/, PageCallback /*callback*/) -> void override
    {
    }

    /// @brief Runs a function after a delay of the virtual clock.
    auto later(Milliseconds pause, std::function<void()> call) -> void
    {
        m_events.push({m_now + pause, m_number++, std::move(call)});
    }

    /// @brief Runs all events up to a time of the virtual clock.
    auto run(Milliseconds until) -> void
    {
        while (!m_events.empty() && m_events.top().m_at <= until) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.m_at;
            event.m_call();
        }
    }

    [[nodiscard]] auto now() const noexcept -> Milliseconds
    {
        return m_now;
    }

    std::size_t m_bytes = 0; ///< bytes of all answers that arrived in time
    int m_failEvery = 0; ///< every n-th call is lost; 0 for none
    bool m_isSilent = false; ///< no call is answered

private:
    struct Event {
        Milliseconds m_at;
        std::uint64_t m_number = 0;
        std::function<void()> m_call;

        [[nodiscard]] auto operator>(const Event &other) const noexcept -> bool
        {
            return std::pair(m_at, m_number) > std::pair(other.m_at, other.m_number);
        }
    };

    struct Call {
        RowPage m_page;
        std::size_t m_bytes = 0;
        PageCallback m_callback;
        Milliseconds m_deadline;
    };

    [[nodiscard]] auto pageOf(std::string_view table, std::string_view partition, std::string_view after, std::size_t limit) const
        -> std::pair<RowPage, std::size_t>
    {
        /// Bytes of the names, the version and the punctuation of a row in an answer.
        constexpr std::size_t rowOverhead = 110;
        constexpr std::size_t maxBytes = 1'000'000;
        const std::string prefix = std::string(table).append("/").append(partition).append("/");
        RowPage page;
        page.m_version = 1;
        std::size_t bytes = 0;
        for (auto row = m_rows.upper_bound(prefix + std::string(after)); row != m_rows.end() && row->first.starts_with(prefix); ++row) {
            if (page.m_rows.size() == limit || bytes > maxBytes) {
                page.m_hasMore = true;
                break;
            }
            page.m_rows.push_back({TableRow{row->first, 1, row->second}, false});
            // Values are encoded as base64.
            bytes += row->second.size() * 4 / 3 + rowOverhead;
        }
        return {std::move(page), bytes};
    }

    auto begin(std::pair<RowPage, std::size_t> answer, PageCallback callback) -> void
    {
        Call call{std::move(answer.first), answer.second, std::move(callback), m_now + m_link.m_timeout};
        ++m_calls;
        const bool isLost = m_isSilent || (m_failEvery > 0 && m_calls % m_failEvery == 0);
        if (m_open >= m_link.m_connections) {
            m_waiting.emplace_back(std::move(call), isLost);
        } else {
            send(std::move(call), isLost);
        }
    }

    auto send(Call &&call, bool isLost) -> void
    {
        ++m_open;
        const auto transfer = Milliseconds(static_cast<std::int64_t>(static_cast<double>(call.m_bytes) * 1000.0 / m_link.m_bytesPerSecond));
        const Milliseconds arrival = std::max(m_linkFreeAt, m_now + m_link.m_latency) + transfer;
        const bool isInTime = !isLost && arrival <= call.m_deadline;
        const Milliseconds end = isInTime ? arrival : call.m_deadline;
        // The part of a late answer that was sent before the deadline has used the link as well.
        m_linkFreeAt = isLost ? m_linkFreeAt : std::max(m_linkFreeAt, end);
        m_events.push({end, m_number++, [this, isInTime, call = std::move(call)]() mutable {
                           --m_open;
                           m_bytes += isInTime ? call.m_bytes : 0;
                           serveWaiting();
                           call.m_callback(isInTime ? Result<RowPage>(std::move(call.m_page)) : failure(ErrorCode::Timeout, "no response in time"));
                       }});
    }

    auto serveWaiting() -> void
    {
        while (!m_waiting.empty() && m_open < m_link.m_connections) {
            auto [call, isLost] = std::move(m_waiting.front());
            m_waiting.pop_front();
            send(std::move(call), isLost || m_now >= call.m_deadline);
        }
    }

    Link m_link;
    std::map<std::string, std::string, std::less<>> m_rows;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::deque<std::pair<Call, bool>> m_waiting;
    Milliseconds m_now{0};
    Milliseconds m_linkFreeAt{0};
    std::uint64_t m_number = 0;
    std::uint64_t m_calls = 0;
    std::size_t m_open = 0;
};
}

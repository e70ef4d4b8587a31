#pragma once

#include "burdockspur/link/httpserver.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

class QTimer;

namespace Burdockspur
{
/// @brief A small stand-in for the users' platform: serves its metadata store and its workers in one event loop.
///
/// It implements what the platform adapter and the fleet host depend on: conditional transactions, one version counter for
/// all rows, a change feed, fencing tokens, leases, tombstones, and ended runs that are reported until they are acknowledged.
/// All tasks run for the same fixed time. Every member must be called in the thread of the event loop.
///
/// @code
/// FleetStandin platform(2);
/// const auto store = platform.storePort();
/// @endcode
class FleetStandin
{
public:
    /// @param workers number of workers to serve
    explicit FleetStandin(std::size_t workers);
    ~FleetStandin();
    FleetStandin(const FleetStandin &) = delete;
    FleetStandin(FleetStandin &&) = delete;
    auto operator=(const FleetStandin &) -> FleetStandin & = delete;
    auto operator=(FleetStandin &&) -> FleetStandin & = delete;

    [[nodiscard]] auto storePort() const noexcept -> std::uint16_t
    {
        return m_storePort;
    }

    /// @brief Writes a row unconditionally, as an operator or a worker would.
    auto put(std::string_view table, std::string_view part, std::string_view key, std::string_view value) -> void;

    /// @brief Removes a row, as an operator would.
    auto remove(std::string_view table, std::string_view part, std::string_view key) -> void;

    [[nodiscard]] auto hasRow(std::string_view table, std::string_view part, std::string_view key) const -> bool;

    /// @brief Starts or ends an outage of the store, during which it answers every call with 503.
    auto setStoreDown(bool isDown) noexcept -> void
    {
        m_isStoreDown = isDown;
    }

    /// @brief Delays the answers to reads of a table.
    auto delayReads(std::string_view table, std::chrono::milliseconds delay) -> void;

    /// @brief Leaves every call for changes of a table unanswered from now on; the other calls are answered.
    auto silenceFeed(std::string_view table) -> void;

    /// @brief Number of starts of each task on all workers.
    [[nodiscard]] auto starts() const noexcept -> const std::map<std::string, int> &
    {
        return m_starts;
    }

private:
    struct Row;
    struct Worker;
    struct Feed;

    auto serveStore(ExchangeId exchange, const HttpRequest &request) -> void;
    auto serveWorker(Worker &worker, ExchangeId exchange, const HttpRequest &request) -> void;
    [[nodiscard]] auto transact(const HttpRequest &request) -> HttpResponse;
    [[nodiscard]] auto get(const HttpRequest &request) const -> HttpResponse;
    [[nodiscard]] auto feedResponse(std::string_view table, std::uint64_t after) const -> HttpResponse;
    [[nodiscard]] auto hasChanges(std::string_view table, std::uint64_t after) const -> bool;
    auto answerFeeds() -> void;
    auto tick() -> void;
    auto registerWorker(const Worker &worker) -> void;

    std::vector<Row> m_rows;
    std::uint64_t m_version = 0;
    bool m_isStoreDown = false;
    std::map<std::string, std::chrono::milliseconds, std::less<>> m_readDelays; ///< by table
    std::vector<Feed> m_feeds;
    std::set<std::string, std::less<>> m_silentFeeds; ///< tables
    std::vector<std::unique_ptr<Worker>> m_workers;
    std::map<std::string, int> m_starts;
    std::unique_ptr<HttpServer> m_store;
    std::uint16_t m_storePort = 0;
    std::unique_ptr<QTimer> m_timer;
};
}

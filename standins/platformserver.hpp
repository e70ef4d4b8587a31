#pragma once

#include "standins/hostlistmodel.hpp"
#include "standins/objectmodel.hpp"
#include "standins/platformcounts.hpp"
#include "standins/platformfaults.hpp"
#include "standins/tablemodel.hpp"
#include "standins/tokenbucket.hpp"

#include "burdockspur/core/error.hpp"
#include "burdockspur/core/randomsource.hpp"
#include "burdockspur/link/httpserver.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

class QObject;

namespace Burdockspur::Standins
{
/// @brief Serves the table service, the object store and the host list over HTTP and applies their faults.
///
/// Must be used in the thread of an event loop. Faults do not affect the `/standin/` paths.
class PlatformServer
{
public:
    /// @param faults limits and faults that are switched on from the start
    /// @param seed of the random decisions of faults
    PlatformServer(PlatformFaults faults, std::uint64_t seed);
    ~PlatformServer();
    PlatformServer(const PlatformServer &) = delete;
    PlatformServer(PlatformServer &&) = delete;
    auto operator=(const PlatformServer &) -> PlatformServer & = delete;
    auto operator=(PlatformServer &&) -> PlatformServer & = delete;

    /// @brief Opens the port.
    /// @param address IP address
    /// @param port 0 picks a free port
    /// @returns the port, or ErrorCode::Unavailable
    [[nodiscard]] auto listen(std::string_view address, std::uint16_t port) -> Result<std::uint16_t>;

private:
    struct Call {
        const HttpRequest &m_request;
        std::span<const std::string> m_segments;
        TimePoint m_now;
    };

    /// @brief Answer to a call, and whether a fault drops it.
    struct Answer {
        HttpResponse m_response;
        bool m_isLost = false;
    };

    struct Service;
    struct Route;

    [[nodiscard]] auto commit(const Call &call) -> Answer;
    [[nodiscard]] auto readRow(const Call &call) -> Answer;
    [[nodiscard]] auto scanRows(const Call &call) -> Answer;
    [[nodiscard]] auto putObject(const Call &call) -> Answer;
    [[nodiscard]] auto getObject(const Call &call) -> Answer;
    [[nodiscard]] auto removeObject(const Call &call) -> Answer;
    [[nodiscard]] auto readHosts(const Call &call) -> Answer;

    [[nodiscard]] auto readFaults(const Call &call) -> Answer;
    [[nodiscard]] auto switchFault(const Call &call) -> Answer;
    [[nodiscard]] auto readCounts(const Call &call) -> Answer;
    [[nodiscard]] auto setHosts(const Call &call) -> Answer;
    [[nodiscard]] auto setHostState(const Call &call) -> Answer;

    auto handleRequest(ExchangeId exchange, const HttpRequest &request) -> void;
    auto respond(ExchangeId exchange, Answer &&answer) -> void;
    [[nodiscard]] auto takeRead(TimePoint now) -> bool;
    [[nodiscard]] auto takeWrites(TimePoint now, std::size_t writes) -> bool;
    [[nodiscard]] auto rateLimited() -> Answer;

    static const std::span<const Route> routes;

    PlatformFaults m_faults;
    PlatformCounts m_counts;
    RandomSource m_random;
    TableModel m_table;
    ObjectModel m_objects;
    HostListModel m_hosts;
    TokenBucket m_reads;
    TokenBucket m_writes;
    std::unique_ptr<QObject> m_context; ///< its destruction cancels delayed answers
    HttpServer m_server;
};
}

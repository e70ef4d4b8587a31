#pragma once

#include "burdockspur/core/eventloopduty.hpp"
#include "burdockspur/host/callercodec.hpp"
#include "burdockspur/host/entryrings.hpp"
#include "burdockspur/link/httplimits.hpp"
#include "burdockspur/link/httpserver.hpp"
#include "burdockspur/operations/burnmeter.hpp"

#include <future>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

class QTimer;

namespace Burdockspur
{
class EntryMetrics;
class EntryStatus;

/// @brief Fixed configuration of CallerDuty.
struct CallerDutyOptions {
    std::string m_hostName; ///< prefix of every request id
    std::uint64_t m_bootNumber = 0; ///< random; keeps request ids unique across restarts
    std::string m_address; ///< IP number to listen on
    std::uint16_t m_port = 0; ///< 0 picks a free one
    HttpLimits m_httpLimits;
    CallerLimits m_callerLimits;
    int m_drainedDescriptor = -1; ///< eventfd that is signalled once the drain is complete
};

/// @brief Thread that runs the HTTP server for callers and operators.
///
/// Decodes each request, passes it to another duty over a ring, and sends the answer that comes back.
class CallerDuty final : public EventLoopDuty
{
public:
    /// @param options fixed configuration
    /// @param rings must outlive the duty
    /// @param metrics must outlive the duty
    /// @param status must outlive the duty
    CallerDuty(CallerDutyOptions options, EntryRings &rings, EntryMetrics &metrics, EntryStatus &status);
    ~CallerDuty() override;

    /// @brief Waits for the port; call once, after start().
    /// @returns the port, or the error that kept the duty from listening
    [[nodiscard]] auto awaitPort() -> Result<std::uint16_t>;

protected:
    auto setUp() -> void override;
    auto tearDown() -> void override;

private:
    struct Call {
        ExchangeId m_exchange;
        HttpRequest &m_request;
        std::string m_segment; ///< percent-decoded path segment that matched `*`
    };

    struct Route {
        std::string_view m_method;
        std::string_view m_pattern; ///< path in which `*` matches one segment
        auto (CallerDuty::*m_handler)(Call &) -> void;
    };

    enum class AnswerKind : std::uint8_t {
        Request,
        Submission,
        Job,
        JobList,
        ConfigChange,
        Peer,
    };

    struct Pending {
        ExchangeId m_exchange;
        TimePoint m_arrived;
        AnswerKind m_kind = AnswerKind::Request;
        std::string m_service; ///< set for AnswerKind::Request only
    };

    [[nodiscard]] static auto routes() -> std::span<const Route>;
    auto handleRequest(ExchangeId exchange, HttpRequest &&request) -> void;
    auto answerUnmatched(ExchangeId exchange, const HttpRequest &request, std::string_view methods) -> void;

    auto forwardRequest(Call &call) -> void;
    auto settleRequest(Call &call) -> void;
    auto submitJob(Call &call) -> void;
    auto showJob(Call &call) -> void;
    auto listJobs(Call &call) -> void;
    auto cancelJob(Call &call) -> void;
    auto showConfiguration(Call &call) -> void;
    auto switchPreset(Call &call) -> void;
    auto replaceConfiguration(Call &call) -> void;
    auto showStatus(Call &call) -> void;
    auto showBurn(Call &call) -> void;

    template<typename Command>
    auto sendJobCommand(const Call &call, AnswerKind kind, Result<Command> &&command) -> void;
    template<typename Command>
    auto changeConfiguration(const Call &call, Result<Command> &&command) -> void;
    [[nodiscard]] auto addPending(ExchangeId exchange, AnswerKind kind) -> CallerTicket;
    auto refuse(ExchangeId exchange, const Error &error) -> void;

    auto drainMessages() -> void;
    auto on(AnswerCaller &&message) -> void;
    auto on(AnswerJob &&message) -> void;
    auto on(AnswerJobList &&message) -> void;
    auto on(AnswerConfigChange &&message) -> void;
    auto on(AnswerPeer &&message) -> void;
    auto on(ConfigurationChanged &&message) -> void;
    auto on(DrainRequested &&message) -> void;
    auto takePending(CallerTicket ticket) -> std::optional<Pending>;
    auto send(ExchangeId exchange, HttpResponse &&response) -> void;
    auto signalWhenDrained() -> void;

    CallerDutyOptions m_options;
    EntryRings &m_rings;
    EntryMetrics &m_metrics;
    EntryStatus &m_status;
    std::promise<Result<std::uint16_t>> m_port;
    std::string m_idPrefix;
    CallerTicket m_lastTicket = 0;
    std::unordered_map<CallerTicket, Pending> m_pending;
    std::vector<CallerMessage> m_messages;
    std::optional<Configuration> m_configuration;
    BurnMeter m_burn;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<QTimer> m_drainTimer;
    bool m_draining = false;
};
}

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

/// @brief What the callers' duty is given once.
struct CallerDutyOptions {
    std::string m_hostName; ///< start of each request id
    std::uint64_t m_bootNumber = 0; ///< random, so that ids stay unique over restarts
    std::string m_address; ///< IP number to listen on
    std::uint16_t m_port = 0; ///< 0 picks a free one
    HttpLimits m_httpLimits;
    CallerLimits m_callerLimits;
    int m_drainedDescriptor = -1; ///< eventfd that is signalled when a drain is complete
};

/// @brief Thread of the callers' HTTP server: decodes, gives commands to the other duties, sends their answers.
class CallerDuty final : public EventLoopDuty
{
public:
    /// @param options fixed values
    /// @param rings outlive the duty
    /// @param metrics outlive the duty
    /// @param status outlives the duty
    CallerDuty(CallerDutyOptions options, EntryRings &rings, EntryMetrics &metrics, EntryStatus &status);
    ~CallerDuty() override;

    /// @brief The port, or why the duty cannot listen; call once after start().
    [[nodiscard]] auto awaitPort() -> Result<std::uint16_t>;

protected:
    auto setUp() -> void override;
    auto tearDown() -> void override;

private:
    struct Call {
        ExchangeId m_exchange;
        HttpRequest &m_request;
        std::string m_segment; ///< decoded text in the place of the pattern's star
    };

    struct Route {
        std::string_view m_method;
        std::string_view m_pattern; ///< path; `*` stands for one segment
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
        std::string m_service; ///< of a request
    };

    [[nodiscard]] static auto routes() -> std::span<const Route>;
    auto take(ExchangeId exchange, HttpRequest &&request) -> void;
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
    auto commandJobs(const Call &call, AnswerKind kind, Result<Command> &&command) -> void;
    template<typename Command>
    auto changeConfiguration(const Call &call, Result<Command> &&command) -> void;
    [[nodiscard]] auto remember(ExchangeId exchange, AnswerKind kind) -> CallerTicket;
    auto refuse(ExchangeId exchange, const Error &error) -> void;

    auto drainMessages() -> void;
    auto on(AnswerCaller &&message) -> void;
    auto on(AnswerJob &&message) -> void;
    auto on(AnswerJobList &&message) -> void;
    auto on(AnswerConfigChange &&message) -> void;
    auto on(AnswerPeer &&message) -> void;
    auto on(ConfigurationChanged &&message) -> void;
    auto on(DrainRequested &&message) -> void;
    auto complete(CallerTicket ticket) -> std::optional<Pending>;
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

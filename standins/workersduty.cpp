#include "standins/workersduty.hpp"

#include "standins/jsontext.hpp"
#include "standins/workerserver.hpp"

#include <algorithm>
#include <utility>

namespace Burdockspur::Standins
{
WorkersDuty::WorkersDuty(WorkersOptions options, ReadyRing &ready)
    : EventLoopDuty("workers")
    , m_options(std::move(options))
    , m_ready(ready)
{
}

WorkersDuty::~WorkersDuty()
{
    stop();
}

auto WorkersDuty::setUp() -> void
{
    auto opened = openWorkers();
    if (opened) {
        opened = openControl();
    }
    if (!opened) {
        // Cannot fail: the ring has capacity for every line and the error.
        static_cast<void>(m_ready.tryPush(std::unexpected(opened.error())));
    }
    m_ready.close();
}

auto WorkersDuty::tearDown() -> void
{
    m_control.reset();
    m_workers.clear();
}

auto WorkersDuty::openWorkers() -> Result<void>
{
    for (std::size_t i = 0; i < m_options.m_workers; ++i) {
        auto spec = m_options.m_spec;
        spec.m_name.append(std::to_string(i));
        auto worker = std::make_unique<WorkerServer>(std::move(spec), m_options.m_seed + i);
        const auto port = m_options.m_firstPort == 0 ? 0 : m_options.m_firstPort + i;
        const auto opened = worker->listen(m_options.m_address, static_cast<std::uint16_t>(port));
        if (!opened) {
            return std::unexpected(opened.error());
        }
        auto line = std::string("worker=").append(worker->name()).append(" port=").append(std::to_string(*opened));
        if (auto reported = report(std::move(line)); !reported) {
            return reported;
        }
        m_workers.push_back(std::move(worker));
    }
    return {};
}

auto WorkersDuty::openControl() -> Result<void>
{
    m_control = std::make_unique<HttpServer>(HttpLimits{}, [this](ExchangeId exchange, const HttpRequest &request) {
        m_control->respond(exchange, answerControl(request));
    });
    const auto port = m_control->listen(m_options.m_address, m_options.m_controlPort);
    return port ? report("control port=" + std::to_string(*port)) : std::unexpected(port.error());
}

auto WorkersDuty::answerControl(const HttpRequest &request) -> HttpResponse
{
    if (const auto name = request.query("worker"); !name.empty()) {
        const auto worker = std::ranges::find(m_workers, name, [](const auto &candidate) {
            return candidate->name();
        });
        return worker == m_workers.end() ? codeResponse(404, "unknown_worker") : (*worker)->answerStandin(request);
    }
    QJsonObject all;
    for (const auto &worker : m_workers) {
        const auto response = worker->answerStandin(request);
        const auto object = parseObject(response.m_body);
        if (response.m_status != 200 || !object) {
            return response;
        }
        all.insert(jsonString(worker->name()), *object);
    }
    return objectResponse(200, all);
}

auto WorkersDuty::report(std::string line) -> Result<void>
{
    if (!m_ready.tryPush(std::move(line))) {
        return failure(ErrorCode::RingFull, "the ring of ready ports is full");
    }
    return {};
}
}

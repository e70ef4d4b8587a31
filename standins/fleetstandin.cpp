#include "standins/fleetstandin.hpp"

#include "burdockspur/core/clock.hpp"
#include "burdockspur/impl/jsonvalue.hpp"

#include <QByteArray>
#include <QTimer>

#include <algorithm>
#include <charconv>
#include <set>
#include <tuple>

namespace Burdockspur
{
namespace
{
using JsonValue::putName;
using JsonValue::putNumber;
using JsonValue::putText;
using JsonValue::Writer;

constexpr Milliseconds runDuration{150}; // of every task
constexpr Milliseconds tickInterval{10};
constexpr std::string_view loopback = "127.0.0.1";

[[nodiscard]] auto parseNumber(std::string_view text) -> std::uint64_t
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

[[nodiscard]] auto textField(const JsonValue::Value &value, std::string_view name) -> std::string
{
    return std::string(JsonValue::text(value, name).value_or(std::string_view{}));
}
}

struct FleetStandin::Row {
    std::string m_table;
    std::string m_part;
    std::string m_key;
    std::string m_value; ///< base64
    std::uint64_t m_version = 0;
    bool m_isDeleted = false;

    [[nodiscard]] auto name() const
    {
        return std::tie(m_table, m_part, m_key);
    }

    auto write(Writer &writer) const -> void
    {
        writer.StartObject();
        putText(writer, "table", m_table);
        putText(writer, "part", m_part);
        putText(writer, "key", m_key);
        putText(writer, "value", m_value);
        putNumber(writer, "ver", static_cast<std::int64_t>(m_version));
        if (m_isDeleted) {
            putName(writer, "tombstone");
            writer.Bool(true);
        }
        writer.EndObject();
    }
};

struct FleetStandin::Feed {
    ExchangeId m_exchange;
    std::string m_table;
    std::uint64_t m_after = 0;
    TimePoint m_until;
};

struct FleetStandin::Worker {
    struct Run {
        std::uint64_t m_run = 0;
        TimePoint m_endsAt;
    };
    struct End {
        std::uint64_t m_sequence = 0;
        std::string m_task;
        std::uint64_t m_run = 0;
        std::string m_outcome;
    };
    struct Wait {
        ExchangeId m_exchange;
        TimePoint m_until;
    };

    std::string m_id;
    std::unique_ptr<HttpServer> m_server;
    std::uint16_t m_port = 0;
    TimePoint m_startedAt = Clock::now();
    std::uint64_t m_fence = 0;
    std::int64_t m_leaseUntil = 0;
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::uint64_t> m_tombstones;
    std::vector<End> m_ended;
    std::uint64_t m_sequence = 0;
    std::vector<Wait> m_waits;

    [[nodiscard]] auto clock() const -> std::int64_t
    {
        return std::chrono::duration_cast<Milliseconds>(Clock::now() - m_startedAt).count();
    }

    auto end(const std::string &task, std::string_view outcome) -> void
    {
        const auto run = m_runs.at(task);
        m_tombstones[task] = std::max(m_tombstones[task], run.m_run);
        m_ended.push_back({++m_sequence, task, run.m_run, std::string(outcome)});
        m_runs.erase(task);
    }

    [[nodiscard]] auto runsResponse() const -> HttpResponse
    {
        rapidjson::StringBuffer buffer;
        Writer writer(buffer);
        writer.StartObject();
        putNumber(writer, "clock_ms", clock());
        putNumber(writer, "born", 1);
        putName(writer, "running");
        writer.StartArray();
        for (const auto &[task, run] : m_runs) {
            writer.StartArray();
            JsonValue::put(writer, task);
            writer.Uint64(run.m_run);
            writer.String("");
            writer.Int(50);
            writer.Int(500);
            writer.EndArray();
        }
        writer.EndArray();
        putName(writer, "finished");
        writer.StartArray();
        for (const auto &end : m_ended) {
            writer.StartArray();
            writer.Uint64(end.m_sequence);
            JsonValue::put(writer, end.m_task);
            writer.Uint64(end.m_run);
            JsonValue::put(writer, end.m_outcome);
            writer.String("");
            writer.EndArray();
        }
        writer.EndArray();
        writer.EndObject();
        return jsonResponse(200, JsonValue::textOf(buffer));
    }

    [[nodiscard]] auto statusResponse(int status, std::string_view reason = {}) const -> HttpResponse
    {
        return jsonResponse(status, R"({"clock_ms":)" + std::to_string(clock()) + R"(,"reason":")" + std::string(reason) + R"("})");
    }
};

FleetStandin::FleetStandin(std::size_t workers)
{
    m_store = std::make_unique<HttpServer>(HttpLimits{}, [this](ExchangeId exchange, HttpRequest &&request) {
        serveStore(exchange, request);
    });
    m_storePort = m_store->listen(loopback, 0).value_or(0);
    for (std::size_t i = 0; i < workers; ++i) {
        auto &worker = *m_workers.emplace_back(std::make_unique<Worker>());
        worker.m_id = "worker-" + std::to_string(i);
        worker.m_server = std::make_unique<HttpServer>(HttpLimits{}, [this, &worker](ExchangeId exchange, HttpRequest &&request) {
            serveWorker(worker, exchange, request);
        });
        worker.m_port = worker.m_server->listen(loopback, 0).value_or(0);
        registerWorker(worker);
    }
    m_timer = std::make_unique<QTimer>();
    QObject::connect(m_timer.get(), &QTimer::timeout, m_timer.get(), [this] {
        tick();
    });
    m_timer->start(tickInterval);
}

FleetStandin::~FleetStandin() = default;

auto FleetStandin::registerWorker(const Worker &worker) -> void
{
    put("servers",
        "",
        worker.m_id,
        R"({"service":"pool","address":"127.0.0.1:)" + std::to_string(worker.m_port)
            + R"(","zone":"zone-a","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,)"
              R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1"],"clock_ms":1,"born":1,"seq":1})");
}

auto FleetStandin::put(std::string_view table, std::string_view part, std::string_view key, std::string_view value) -> void
{
    Row row{std::string(table), std::string(part), std::string(key), {}, ++m_version, false};
    row.m_value = QByteArray(value.data(), static_cast<qsizetype>(value.size())).toBase64().toStdString();
    std::erase_if(m_rows, [&row](const Row &other) {
        return other.name() == row.name();
    });
    m_rows.push_back(std::move(row));
    answerFeeds();
}

auto FleetStandin::remove(std::string_view table, std::string_view part, std::string_view key) -> void
{
    for (auto &row : m_rows) {
        if (row.name() == std::tie(table, part, key)) {
            row.m_isDeleted = true;
            row.m_version = ++m_version;
        }
    }
    answerFeeds();
}

auto FleetStandin::hasRow(std::string_view table, std::string_view part, std::string_view key) const -> bool
{
    return std::ranges::any_of(m_rows, [&](const Row &row) {
        return !row.m_isDeleted && row.name() == std::tie(table, part, key);
    });
}

auto FleetStandin::delayReads(std::string_view table, std::chrono::milliseconds delay) -> void
{
    m_readDelays.insert_or_assign(std::string(table), delay);
}

auto FleetStandin::silenceFeed(std::string_view table) -> void
{
    m_silentFeeds.emplace(table);
}

auto FleetStandin::serveStore(ExchangeId exchange, const HttpRequest &request) -> void
{
    if (m_isStoreDown) {
        m_store->respond(exchange, jsonResponse(503, "{}"));
    } else if (request.path() == "/rows-tx") {
        m_store->respond(exchange, transact(request));
        answerFeeds();
    } else if (request.path() == "/rows-get") {
        const auto delay = m_readDelays.find(request.query("table"));
        QTimer::singleShot(delay == m_readDelays.end() ? Milliseconds{0} : delay->second, m_timer.get(), [this, exchange, response = get(request)]() mutable {
            m_store->respond(exchange, std::move(response));
        });
    } else if (request.path() == "/rows-feed") {
        const Milliseconds wait(static_cast<std::int64_t>(parseNumber(request.query("wait_ms"))));
        m_feeds.push_back({exchange, request.query("table"), parseNumber(request.query("after")), Clock::now() + wait});
        answerFeeds();
    } else {
        m_store->respond(exchange, jsonResponse(404, "{}"));
    }
}

auto FleetStandin::transact(const HttpRequest &request) -> HttpResponse
{
    JsonValue::Value document;
    if (!JsonValue::parseObject(document, request.m_body)) {
        return jsonResponse(400, "{}");
    }
    const auto rowNamed = [this](const JsonValue::Value &entry) {
        return std::ranges::find_if(m_rows, [&entry](const Row &row) {
            return row.m_table == textField(entry, "table") && row.m_part == textField(entry, "part") && row.m_key == textField(entry, "key");
        });
    };
    constexpr std::size_t maxEntries = 100;
    std::size_t entries = 0;
    std::set<std::string> parts;
    for (const auto *const list : {"expected_rev", "writes", "remove"}) {
        for (const auto &entry : *JsonValue::array(document, list)) {
            parts.insert(textField(entry, "part"));
            ++entries;
        }
    }
    if (entries > maxEntries) {
        return jsonResponse(400, R"({"error":"too many entries"})");
    }
    if (parts.size() > 1) {
        return jsonResponse(400, R"({"error":"several parts"})");
    }
    for (const auto &entry : *JsonValue::array(document, "expected_rev")) {
        const auto row = rowNamed(entry);
        const auto version = row == m_rows.end() || row->m_isDeleted ? 0 : row->m_version;
        if (version != JsonValue::integer<std::uint64_t>(entry, "ver").value_or(0)) {
            return jsonResponse(412, R"({"rows":[]})");
        }
    }
    ++m_version;
    for (const auto &entry : *JsonValue::array(document, "writes")) {
        const Row row{textField(entry, "table"), textField(entry, "part"), textField(entry, "key"), textField(entry, "value"), m_version, false};
        std::erase_if(m_rows, [&row](const Row &other) {
            return other.name() == row.name();
        });
        m_rows.push_back(row);
    }
    for (const auto &entry : *JsonValue::array(document, "remove")) {
        if (const auto row = rowNamed(entry); row != m_rows.end()) {
            row->m_isDeleted = true;
            row->m_version = m_version;
        }
    }
    return jsonResponse(200, R"({"ver":)" + std::to_string(m_version) + R"(,"now_ms":1})");
}

auto FleetStandin::get(const HttpRequest &request) const -> HttpResponse
{
    constexpr std::size_t pageRows = 500;
    const auto limit = request.query("limit");
    const auto count = limit.empty() ? pageRows : std::min<std::size_t>(pageRows, parseNumber(limit));
    std::vector<const Row *> rows;
    for (const auto &row : m_rows) {
        if (!row.m_isDeleted && row.m_table == request.query("table") && row.m_part == request.query("part") && row.m_key >= request.query("from")) {
            rows.push_back(&row);
        }
    }
    std::ranges::sort(rows, {}, &Row::m_key);
    const bool hasMore = rows.size() > count;
    rows.resize(std::min(rows.size(), count));
    rapidjson::StringBuffer buffer;
    Writer writer(buffer);
    writer.StartObject();
    putName(writer, "rows");
    writer.StartArray();
    for (const auto *const row : rows) {
        row->write(writer);
    }
    writer.EndArray();
    putName(writer, "has_more");
    writer.Bool(hasMore);
    putNumber(writer, "ver", static_cast<std::int64_t>(m_version));
    writer.EndObject();
    return jsonResponse(200, JsonValue::textOf(buffer));
}

auto FleetStandin::hasChanges(std::string_view table, std::uint64_t after) const -> bool
{
    return std::ranges::any_of(m_rows, [&](const Row &row) {
        return row.m_table == table && row.m_version > after;
    });
}

auto FleetStandin::feedResponse(std::string_view table, std::uint64_t after) const -> HttpResponse
{
    rapidjson::StringBuffer buffer;
    Writer writer(buffer);
    writer.StartObject();
    putName(writer, "rows");
    writer.StartArray();
    for (const auto &row : m_rows) {
        if (row.m_table == table && row.m_version > after) {
            row.write(writer);
        }
    }
    writer.EndArray();
    putNumber(writer, "ver", static_cast<std::int64_t>(m_version));
    writer.EndObject();
    return jsonResponse(200, JsonValue::textOf(buffer));
}

auto FleetStandin::answerFeeds() -> void
{
    std::erase_if(m_feeds, [this](const Feed &feed) {
        const bool isDue = !m_silentFeeds.contains(feed.m_table) && (Clock::now() >= feed.m_until || hasChanges(feed.m_table, feed.m_after));
        if (isDue) {
            m_store->respond(feed.m_exchange, feedResponse(feed.m_table, feed.m_after));
        }
        return isDue;
    });
}

auto FleetStandin::serveWorker(Worker &worker, ExchangeId exchange, const HttpRequest &request) -> void
{
    JsonValue::Value body;
    if (!JsonValue::parseObject(body, request.m_body)) {
        worker.m_server->respond(exchange, worker.statusResponse(400));
        return;
    }
    if (request.field("Target-Instance") != worker.m_id) {
        worker.m_server->respond(exchange, worker.statusResponse(421));
        return;
    }
    const auto fence = JsonValue::integer<std::uint64_t>(body, "fencing_token").value_or(0);
    if (fence < worker.m_fence) {
        worker.m_server->respond(exchange, worker.statusResponse(409, "fence"));
        return;
    }
    worker.m_fence = fence;
    const auto lease = JsonValue::integer<std::int64_t>(body, "deadline_ms").value_or(0);
    worker.m_leaseUntil = std::max(worker.m_leaseUntil, lease);
    const auto task = textField(body, "task");
    const auto run = JsonValue::integer<std::uint64_t>(body, "run").value_or(0);
    if (request.path() == "/hold") {
        const auto acked = JsonValue::integer<std::uint64_t>(body, "ack_cursor").value_or(0);
        std::erase_if(worker.m_ended, [acked](const Worker::End &end) {
            return end.m_sequence <= acked;
        });
        const Milliseconds wait(JsonValue::integer<std::int64_t>(body, "wait_ms").value_or(0));
        worker.m_waits.push_back({exchange, Clock::now() + wait});
        tick();
    } else if (request.path() == "/run-start") {
        const auto running = worker.m_runs.find(task);
        if (running != worker.m_runs.end() && running->second.m_run == run) {
            worker.m_server->respond(exchange, worker.statusResponse(200));
        } else if (worker.m_tombstones[task] >= run) {
            worker.m_server->respond(exchange, worker.statusResponse(409, "old"));
        } else if (lease <= worker.clock()) {
            worker.m_server->respond(exchange, worker.statusResponse(409, "late"));
        } else {
            worker.m_runs[task] = {run, Clock::now() + runDuration};
            ++m_starts[task];
            worker.m_server->respond(exchange, worker.statusResponse(200));
        }
    } else if (request.path() == "/run-stop") {
        worker.m_tombstones[task] = std::max(worker.m_tombstones[task], run);
        if (worker.m_runs.contains(task) && worker.m_runs[task].m_run == run) {
            worker.end(task, "stopped");
        }
        worker.m_server->respond(exchange, worker.statusResponse(200));
    } else {
        worker.m_server->respond(exchange, worker.statusResponse(request.path() == "/pace" ? 200 : 404));
    }
}

auto FleetStandin::tick() -> void
{
    answerFeeds();
    for (auto &worker : m_workers) {
        std::vector<std::pair<std::string, std::string>> ends;
        for (const auto &[task, run] : worker->m_runs) {
            if (worker->clock() >= worker->m_leaseUntil) {
                ends.emplace_back(task, "lapsed");
            } else if (Clock::now() >= run.m_endsAt) {
                ends.emplace_back(task, "done");
            }
        }
        for (const auto &[task, outcome] : ends) {
            worker->end(task, outcome);
        }
        std::erase_if(worker->m_waits, [&worker](const Worker::Wait &wait) {
            const bool isDue = Clock::now() >= wait.m_until || !worker->m_ended.empty();
            if (isDue) {
                worker->m_server->respond(wait.m_exchange, worker->runsResponse());
            }
            return isDue;
        });
    }
}
}

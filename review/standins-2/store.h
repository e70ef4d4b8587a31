// Stand-in for the platform's metadata store: tables of rows, transactions under conditions, and a feed of changes.
#pragma once

#include "http.h"

#include <chrono>
#include <condition_variable>
#include <nlohmann/json.hpp>

namespace Review
{
using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

inline auto base64(const std::string &text) -> std::string
{
    static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            value = value << 8U | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            encoded.push_back(i + k <= text.size() ? digits[value >> (18U - 6U * k) & 63U] : '=');
        }
    }
    return encoded;
}

class Store
{
public:
    static constexpr std::size_t rowBytes = 65'536;
    static constexpr std::size_t textBytes = 200;
    static constexpr std::size_t maxEntries = 100;
    static constexpr std::size_t callBytes = 1'000'000;
    static constexpr Milliseconds transactionTime{4};

    Store()
        : m_server(0, [this](const Request &request) {
            return serve(request);
        })
    {
    }

    [[nodiscard]] auto port() const -> std::uint16_t
    {
        return m_server.port();
    }

    /// Called with the reason whenever a transaction is refused because it exceeds a limit of the store.
    std::function<void(const std::string &)> m_refused;

    /// Writes a row without a condition, as the operator or a worker does.
    auto put(const std::string &table, const std::string &key, const Json &value) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_rows[{table, "", key}] = {base64(value.dump()), ++m_version, false};
        m_changed.notify_all();
    }

    auto remove(const std::string &table, const std::string &key) -> void
    {
        const std::lock_guard lock(m_mutex);
        if (const auto row = m_rows.find({table, "", key}); row != m_rows.end()) {
            row->second = {"", ++m_version, true};
            m_changed.notify_all();
        }
    }

private:
    using Name = std::array<std::string, 3>;
    struct Row {
        std::string m_value;
        std::uint64_t m_version = 0;
        bool m_isRemoved = false;
    };

    auto serve(const Request &request) -> Response
    {
        if (request.m_path == "/rows-tx") {
            return transact(request.m_body);
        }
        if (request.m_path == "/rows-get") {
            return get(request);
        }
        return request.m_path == "/rows-feed" ? feed(request) : Response{404};
    }

    static auto nameOf(const Json &entry) -> Name
    {
        return {entry.value("table", ""), entry.value("part", ""), entry.value("key", "")};
    }

    static auto show(const Name &name, const Row &row) -> Json
    {
        Json shown{{"table", name[0]}, {"part", name[1]}, {"key", name[2]}, {"ver", row.m_version}};
        if (row.m_isRemoved) {
            shown["tombstone"] = true;
        } else {
            shown["value"] = row.m_value;
        }
        return shown;
    }

    auto refuse(const std::string &reason) -> Response
    {
        if (m_refused) {
            m_refused(reason);
        }
        return {400, Json{{"error", reason}}.dump()};
    }

    auto transact(const std::string &body) -> Response
    {
        std::this_thread::sleep_for(transactionTime);
        const auto call = Json::parse(body, nullptr, false);
        if (!call.is_object()) {
            return {400};
        }
        const auto conditions = call.value("expected_rev", Json::array());
        const auto writes = call.value("writes", Json::array());
        const auto removals = call.value("remove", Json::array());
        if (body.size() > callBytes || conditions.size() + writes.size() + removals.size() > maxEntries) {
            return refuse("the call is too large");
        }
        for (const auto &write : writes) {
            const auto encoded = write.value("value", "");
            const auto padding = static_cast<std::size_t>(std::ranges::count(encoded, '='));
            if (const auto bytes = encoded.size() / 4 * 3 - padding; bytes > rowBytes) {
                return refuse("row " + write.value("table", "") + "/" + write.value("key", "") + " has " + std::to_string(bytes) + " bytes, limit "
                              + std::to_string(rowBytes));
            }
            for (const auto &text : nameOf(write)) {
                if (text.size() > textBytes) {
                    return refuse("a name is too long");
                }
            }
        }
        const std::lock_guard lock(m_mutex);
        Json current = Json::array();
        bool holds = true;
        for (const auto &condition : conditions) {
            const auto row = m_rows.find(nameOf(condition));
            const bool exists = row != m_rows.end() && !row->second.m_isRemoved;
            holds = holds && (exists ? row->second.m_version : 0) == condition.value("ver", std::uint64_t{0});
            if (exists) {
                current.push_back(show(row->first, row->second));
            }
        }
        if (!holds) {
            return {412, Json{{"rows", current}, {"ver", m_version}}.dump()};
        }
        ++m_version;
        for (const auto &write : writes) {
            m_rows[nameOf(write)] = {write.value("value", ""), m_version, false};
        }
        for (const auto &removal : removals) {
            if (const auto row = m_rows.find(nameOf(removal)); row != m_rows.end()) {
                row->second = {"", m_version, true};
            }
        }
        m_changed.notify_all();
        return {200, Json{{"ver", m_version}, {"now_ms", now()}}.dump()};
    }

    auto get(const Request &request) -> Response
    {
        const auto text = [&](const char *name) {
            const auto found = request.m_query.find(name);
            return found == request.m_query.end() ? std::string() : found->second;
        };
        const std::lock_guard lock(m_mutex);
        const auto limit = std::min<std::size_t>(500, text("limit").empty() ? 500 : std::stoul(text("limit")));
        Json rows = Json::array();
        bool hasMore = false;
        std::size_t bytes = 0;
        for (auto row = m_rows.lower_bound({text("table"), text("part"), text("from")}); row != m_rows.end(); ++row) {
            const auto &[table, part, key] = row->first;
            if (table != text("table") || part != text("part") || (!text("target").empty() && key >= text("target"))) {
                break;
            }
            if (row->second.m_isRemoved) {
                continue;
            }
            bytes += row->second.m_value.size();
            if (rows.size() == limit || (bytes > callBytes && !rows.empty())) {
                hasMore = true;
                break;
            }
            rows.push_back(show(row->first, row->second));
        }
        return {200, Json{{"rows", rows}, {"has_more", hasMore}, {"ver", m_version}, {"now_ms", now()}}.dump()};
    }

    auto feed(const Request &request) -> Response
    {
        const auto &table = request.m_query.at("table");
        const auto after = std::stoull(request.m_query.at("after"));
        const auto until = Clock::now() + Milliseconds(std::stol(request.m_query.at("wait_ms")));
        std::unique_lock lock(m_mutex);
        while (true) {
            std::map<std::uint64_t, Json> changed;
            std::uint64_t order = 0;
            for (auto row = m_rows.lower_bound({table, "", ""}); row != m_rows.end() && row->first[0] == table; ++row) {
                if (row->second.m_version > after) {
                    // Several rows of one transaction share a version.
                    changed.emplace(row->second.m_version * 1000 + order++ % 1000, show(row->first, row->second));
                }
            }
            if (!changed.empty() || Clock::now() >= until) {
                Json rows = Json::array();
                for (auto &[version, row] : changed) {
                    rows.push_back(std::move(row));
                }
                return {200, Json{{"rows", rows}, {"ver", m_version}, {"now_ms", now()}}.dump()};
            }
            m_changed.wait_until(lock, until);
        }
    }

    static auto now() -> std::int64_t
    {
        return std::chrono::duration_cast<Milliseconds>(Clock::now().time_since_epoch()).count();
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Name, Row> m_rows;
    std::uint64_t m_version = 0;
    HttpServer m_server;
};
}

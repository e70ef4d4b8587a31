#include "burdockspur/host/entrystatus.hpp"

#include "burdockspur/impl/jsonreader.hpp"

#include <QJsonArray>

#include <algorithm>

namespace Burdockspur
{
namespace
{
[[nodiscard]] auto toJson(const ShardOwnership &shard) -> QJsonObject
{
    return {{"shard", static_cast<qint64>(shard.m_shard)}, {"epoch", static_cast<qint64>(shard.m_epoch)}, {"owner", jsonString(shard.m_owner)}};
}

[[nodiscard]] auto toJson(const std::string &text) -> QJsonValue
{
    return jsonString(text);
}

[[nodiscard]] auto toJson(const TargetStatus &target) -> QJsonObject
{
    return {
        {"name", jsonString(target.m_name)},
        {"zone", jsonString(target.m_zone)},
        {"state", target.m_state == HostState::Live ? "live" : "leaving"},
        {"accepts", target.m_accepts},
        {"in_flight", static_cast<qint64>(target.m_inFlight)},
        {"slots", static_cast<qint64>(target.m_slots)},
        {"failures", static_cast<qint64>(target.m_failures)},
    };
}

template<typename Entry>
[[nodiscard]] auto toArray(const std::vector<Entry> &entries) -> QJsonArray
{
    QJsonArray array;
    for (const auto &entry : entries) {
        array.append(toJson(entry));
    }
    return array;
}
}

auto EntryStatus::zoneOf(std::string_view worker) const -> std::string
{
    const std::scoped_lock lock(m_mutex);
    const auto found = std::ranges::find(m_report.m_targets, worker, &TargetStatus::m_name);
    return found == m_report.m_targets.end() ? std::string() : found->m_zone;
}

auto EntryStatus::text() const -> std::string
{
    const std::scoped_lock lock(m_mutex);
    return jsonText({
        {"host", jsonString(m_report.m_host)},
        {"version", BURDOCKSPUR_VERSION},
        {"config_version", static_cast<qint64>(m_report.m_configVersion)},
        {"preset", jsonString(m_report.m_preset)},
        {"draining", m_report.m_draining},
        {"accepts_keys", m_report.m_acceptsKeys},
        {"requests_in_flight", static_cast<qint64>(m_report.m_requestsInFlight)},
        {"requests_queued", static_cast<qint64>(m_report.m_requestsQueued)},
        {"shards", toArray(m_report.m_shards)},
        {"open_links", toArray(m_report.m_openLinks)},
        {"targets", toArray(m_report.m_targets)},
    });
}
}

#include "executionhistory.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <ranges>

namespace Burdockspur::Bench
{
namespace
{
[[nodiscard]] auto textOf(const QJsonObject &entry, QLatin1StringView key) -> std::string
{
    return entry.value(key).toString().toStdString();
}

[[nodiscard]] auto placeOf(std::string_view worker, const QJsonObject &entry) -> std::string
{
    return std::string(worker) + "/" + std::to_string(entry.value(QLatin1StringView("attempt")).toInteger());
}
}

auto ExecutionHistory::addJournal(std::string_view worker, std::string_view json) -> bool
{
    const QJsonDocument document = QJsonDocument::fromJson(QByteArray(json.data(), static_cast<qsizetype>(json.size())));
    const QJsonValue entries = document.object().value(QLatin1StringView("entries"));
    if (!entries.isArray()) {
        return false;
    }
    const QJsonArray array = entries.toArray();
    for (const QJsonValue entry : array) {
        const QJsonObject object = entry.toObject();
        const std::string event = textOf(object, QLatin1StringView("event"));
        if (event == "request_started") {
            addRequest(object);
        } else if (event == "task_started") {
            addStart(worker, object);
        } else if (event == "task_ended") {
            addEnd(worker, object);
        }
    }
    // Sequence numbers start at 1, so a higher first one means that the bounded journal dropped entries.
    return array.isEmpty() || array.first().toObject().value(QLatin1StringView("sequence")).toInteger() == 1;
}

auto ExecutionHistory::addRequest(const QJsonObject &entry) -> void
{
    ++m_requests[textOf(entry, QLatin1StringView("request"))];
    const std::string key = textOf(entry, QLatin1StringView("key"));
    if (!key.empty()) {
        ++m_keys[key];
    }
}

auto ExecutionHistory::addStart(std::string_view worker, const QJsonObject &entry) -> void
{
    m_tasks[textOf(entry, QLatin1StringView("task"))].push_back(
        {.m_place = placeOf(worker, entry), .m_startMs = entry.value(QLatin1StringView("t_ms")).toInteger()});
}

auto ExecutionHistory::addEnd(std::string_view worker, const QJsonObject &entry) -> void
{
    auto &runs = m_tasks[textOf(entry, QLatin1StringView("task"))];
    const std::string place = placeOf(worker, entry);
    for (TaskRun &run : runs | std::views::reverse) {
        if (run.m_place == place) {
            run.m_endMs = entry.value(QLatin1StringView("t_ms")).toInteger();
            run.m_completed = textOf(entry, QLatin1StringView("state")) == "completed";
            return;
        }
    }
}

auto ExecutionHistory::runsOf(std::string_view job) const -> std::vector<TaskRun>
{
    const auto found = m_tasks.find(job);
    return found == m_tasks.end() ? std::vector<TaskRun>{} : found->second;
}

auto ExecutionHistory::executionsOfKey(std::string_view key) const -> std::uint64_t
{
    const auto found = m_keys.find(key);
    return found == m_keys.end() ? 0 : found->second;
}

auto ExecutionHistory::requestsRepeated() const -> std::uint64_t
{
    return static_cast<std::uint64_t>(std::ranges::count_if(m_requests, [](const auto &request) {
        return request.second > 1;
    }));
}

auto ExecutionHistory::startsOf(std::string_view job) const -> std::uint64_t
{
    return runsOf(job).size();
}

auto ExecutionHistory::completionsOf(std::string_view job) const -> std::uint64_t
{
    return static_cast<std::uint64_t>(std::ranges::count_if(runsOf(job), &TaskRun::m_completed));
}

auto ExecutionHistory::overlapsOf(std::string_view job) const -> std::uint64_t
{
    std::vector<TaskRun> runs = runsOf(job);
    std::ranges::sort(runs, {}, &TaskRun::m_startMs);
    std::uint64_t overlaps = 0;
    std::int64_t latestEnd = std::numeric_limits<std::int64_t>::min();
    for (const TaskRun &run : runs) {
        // A start in the millisecond of an end is no overlap; the journals resolve no finer.
        overlaps += run.m_startMs < latestEnd ? 1 : 0;
        latestEnd = std::max(latestEnd, run.m_endMs);
    }
    return overlaps;
}
}

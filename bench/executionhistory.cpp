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

[[nodiscard]] auto locationOf(std::string_view worker, const QJsonObject &entry) -> std::string
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
            addTaskStart(worker, object);
        } else if (event == "task_ended") {
            addTaskEnd(worker, object);
        }
    }
    // Sequence numbers start at 1, so a higher first one means that the bounded journal dropped entries.
    return array.isEmpty() || array.first().toObject().value(QLatin1StringView("sequence")).toInteger() == 1;
}

auto ExecutionHistory::addRequest(const QJsonObject &entry) -> void
{
    ++m_executionsByRequest[textOf(entry, QLatin1StringView("request"))];
    const std::string key = textOf(entry, QLatin1StringView("key"));
    if (!key.empty()) {
        ++m_executionsByKey[key];
    }
}

auto ExecutionHistory::addTaskStart(std::string_view worker, const QJsonObject &entry) -> void
{
    m_runsByTask[textOf(entry, QLatin1StringView("task"))].push_back(
        {.m_location = locationOf(worker, entry), .m_startMs = entry.value(QLatin1StringView("t_ms")).toInteger()});
}

auto ExecutionHistory::addTaskEnd(std::string_view worker, const QJsonObject &entry) -> void
{
    auto &runs = m_runsByTask[textOf(entry, QLatin1StringView("task"))];
    const std::string location = locationOf(worker, entry);
    for (TaskRun &run : runs | std::views::reverse) {
        if (run.m_location == location) {
            run.m_endMs = entry.value(QLatin1StringView("t_ms")).toInteger();
            run.m_completed = textOf(entry, QLatin1StringView("state")) == "completed";
            return;
        }
    }
}

auto ExecutionHistory::runsOf(std::string_view job) const -> std::vector<TaskRun>
{
    const auto found = m_runsByTask.find(job);
    return found == m_runsByTask.end() ? std::vector<TaskRun>{} : found->second;
}

auto ExecutionHistory::executionsOfKey(std::string_view key) const -> std::uint64_t
{
    const auto found = m_executionsByKey.find(key);
    return found == m_executionsByKey.end() ? 0 : found->second;
}

auto ExecutionHistory::repeatedRequestCount() const -> std::uint64_t
{
    return static_cast<std::uint64_t>(std::ranges::count_if(m_executionsByRequest, [](const auto &request) {
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
        // Journals have timestamps in milliseconds, so a start in the same millisecond as an end does not count as an overlap.
        overlaps += run.m_startMs < latestEnd ? 1 : 0;
        latestEnd = std::max(latestEnd, run.m_endMs);
    }
    return overlaps;
}
}

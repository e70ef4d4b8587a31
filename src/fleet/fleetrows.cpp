#include "burdockspur/fleet/fleetrows.hpp"

#include "burdockspur/fleet/fleetcandidaterow.hpp"
#include "burdockspur/impl/jsonvalue.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace Burdockspur
{
namespace
{
using JsonValue::put;
using JsonValue::putName;
using JsonValue::putNumber;
using JsonValue::putText;
using JsonValue::Value;
using JsonValue::Writer;

/// @brief A boolean member of a step, stored only when it is true.
struct SwitchField {
    std::string_view m_name;
    bool TaskStep::*m_member;
};

constexpr std::array<SwitchField, 6> switchFields{{
    {"saves", &TaskStep::m_savesProgress},
    {"gang", &TaskStep::m_isGang},
    {"one_rack", &TaskStep::m_sameRack},
    {"speculative", &TaskStep::m_isSpeculative},
    {"serving", &TaskStep::m_isServing},
    {"fills", &TaskStep::m_isFilling},
}};

/// @brief A text member of a step, stored only when it is not empty.
struct TextField {
    std::string_view m_name;
    std::string TaskStep::*m_member;
};

constexpr std::array<TextField, 3> textFields{{
    {"label", &TaskStep::m_requiredLabel},
    {"rack", &TaskStep::m_preferredRack},
    {"image", &TaskStep::m_image},
}};

auto writePolicy(Writer &writer, const JobQueuePolicy &policy) -> void
{
    putText(writer, "queue", policy.m_name);
    putText(writer, "pool", policy.m_pool);
    putNumber(writer, "priority", policy.m_priority);
    putNumber(writer, "attempts", policy.m_maxAttempts);
    putNumber(writer, "target", policy.m_target.count());
    putName(writer, "stretch");
    writer.Double(policy.m_stretch);
    putName(writer, "advice");
    writer.Bool(policy.m_needsAdvice);
}

/// The host and the path prefix of the queue are not stored: a stored job is never matched to a request again.
[[nodiscard]] auto readPolicy(const Value &value) -> JobQueuePolicy
{
    using namespace JsonValue;
    JobQueuePolicy policy;
    policy.m_name = text(value, "queue").value_or(std::string_view{});
    policy.m_pool = text(value, "pool").value_or(std::string_view{});
    policy.m_priority = integer<std::uint32_t>(value, "priority").value_or(0);
    policy.m_maxAttempts = integer<std::uint32_t>(value, "attempts").value_or(1);
    policy.m_target = Milliseconds(integer<std::int64_t>(value, "target").value_or(0));
    policy.m_stretch = number(value, "stretch").value_or(1.0);
    policy.m_needsAdvice = boolean(value, "advice").value_or(false);
    return policy;
}

auto writeStep(Writer &writer, const TaskStep &step) -> void
{
    writer.StartObject();
    putNumber(writer, "count", step.m_count);
    putNumber(writer, "cpu", step.m_demand.m_cpuMillis);
    putNumber(writer, "mem", step.m_demand.m_memoryMb);
    putNumber(writer, "acc", step.m_demand.m_accelerators);
    putNumber(writer, "est", step.m_estimate.count());
    putNumber(writer, "per_worker", step.m_maxPerWorker);
    putNumber(writer, "may_miss", step.m_maxUnavailable);
    putNumber(writer, "tail", step.m_tailTarget.count());
    putName(writer, "after");
    writer.StartArray();
    for (const auto earlier : step.m_after) {
        writer.Uint(earlier);
    }
    writer.EndArray();
    for (const auto &field : textFields) {
        if (!(step.*field.m_member).empty()) {
            putText(writer, field.m_name, step.*field.m_member);
        }
    }
    for (const auto &field : switchFields) {
        if (step.*field.m_member) {
            putName(writer, field.m_name);
            writer.Bool(true);
        }
    }
    writer.EndObject();
}

[[nodiscard]] auto readStep(const Value &value) -> TaskStep
{
    using namespace JsonValue;
    TaskStep step;
    step.m_count = integer<std::uint32_t>(value, "count").value_or(0);
    step.m_demand.m_cpuMillis = integer<std::int64_t>(value, "cpu").value_or(0);
    step.m_demand.m_memoryMb = integer<std::int64_t>(value, "mem").value_or(0);
    step.m_demand.m_accelerators = integer<std::int64_t>(value, "acc").value_or(0);
    step.m_estimate = Milliseconds(integer<std::int64_t>(value, "est").value_or(0));
    step.m_maxPerWorker = integer<std::uint32_t>(value, "per_worker").value_or(0);
    step.m_maxUnavailable = integer<std::uint32_t>(value, "may_miss").value_or(0);
    step.m_tailTarget = Milliseconds(integer<std::int64_t>(value, "tail").value_or(0));
    if (const auto *const after = array(value, "after")) {
        for (const auto &earlier : *after) {
            step.m_after.push_back(integer<std::uint32_t>(earlier).value_or(0));
        }
    }
    for (const auto &field : textFields) {
        step.*field.m_member = text(value, field.m_name).value_or(std::string_view{});
    }
    for (const auto &field : switchFields) {
        step.*field.m_member = boolean(value, field.m_name).value_or(false);
    }
    return step;
}

/// A task is [phase, run, failures, worker, incarnation, checkpoint, failed run, copy, worker of the copy, its incarnation]; a waiting task that never
/// ran is 0. The failed run is present only when a run has failed or a copy was assigned, and the last three columns only in the second case.
auto writeTask(Writer &writer, const TaskProgress &task) -> void
{
    if (task == TaskProgress{}) {
        writer.Int(0);
        return;
    }
    writer.StartArray();
    writer.Uint(static_cast<unsigned>(task.m_phase));
    writer.Uint(task.m_run);
    writer.Uint(task.m_failures);
    put(writer, task.m_worker);
    writer.Uint64(task.m_incarnation);
    put(writer, task.m_checkpoint);
    const bool wasCopied = task.m_copy.m_run > 0;
    if (task.m_lastFailedRun > 0 || wasCopied) {
        writer.Uint(task.m_lastFailedRun);
    }
    if (wasCopied) {
        writer.Uint(task.m_copy.m_run);
        put(writer, task.m_copy.m_worker);
        writer.Uint64(task.m_copy.m_incarnation);
    }
    writer.EndArray();
}

/// @brief Reads the columns of a copy.
/// @param columns value of a task with these columns
/// @param task the task as read so far
/// @returns nothing for a copy that cannot be one of the task
[[nodiscard]] auto readCopy(const Value &columns, const TaskProgress &task) -> std::optional<TaskCopy>
{
    using namespace JsonValue;
    constexpr std::size_t first = 7;
    const auto run = integer<RunNumber>(columns[first]);
    const auto worker = text(columns[first + 1]);
    const auto incarnation = integer<std::uint64_t>(columns[first + 2]);
    if (!run || !worker || !incarnation) {
        return std::nullopt;
    }
    const bool isAssigned = !worker->empty();
    const bool isPossible = !isAssigned || (task.m_phase == TaskPhase::Assigned && *run > task.m_run && *worker != task.m_worker);
    return isPossible ? std::optional(TaskCopy{*run, std::string(*worker), *incarnation}) : std::nullopt;
}

[[nodiscard]] auto readTask(const Value &value) -> std::optional<TaskProgress>
{
    using namespace JsonValue;
    if (value.is_number_integer() && integer<std::uint32_t>(value) == 0U) {
        return TaskProgress{};
    }
    constexpr std::size_t columns = 6;
    constexpr std::size_t columnsWithCopy = 10;
    if (!value.is_array() || value.size() < columns || (value.size() > columns + 1 && value.size() != columnsWithCopy)) {
        return std::nullopt;
    }
    const auto phase = integer<std::uint8_t>(value[0]);
    const auto run = integer<RunNumber>(value[1]);
    const auto failures = integer<std::uint32_t>(value[2]);
    const auto worker = text(value[3]);
    const auto incarnation = integer<std::uint64_t>(value[4]);
    const auto checkpoint = text(value[5]);
    const auto failedRun = value.size() > columns ? integer<RunNumber>(value[columns]) : std::optional<RunNumber>(0);
    if (!phase || *phase > static_cast<std::uint8_t>(TaskPhase::Done) || !run || !failures || !worker || !incarnation || !checkpoint || !failedRun) {
        return std::nullopt;
    }
    TaskProgress task{static_cast<TaskPhase>(*phase), *run, *failures, std::string(*worker), *incarnation, std::string(*checkpoint), *failedRun, {}};
    if (value.size() == columnsWithCopy) {
        auto copy = readCopy(value, task);
        if (!copy) {
            return std::nullopt;
        }
        task.m_copy = std::move(*copy);
    }
    return task;
}

[[nodiscard]] auto readOccurrence(const Value &value) -> std::optional<OccurrenceProgress>
{
    using namespace JsonValue;
    const auto number = integer<std::uint32_t>(value, "k");
    const auto *const steps = array(value, "steps");
    if (!number || steps == nullptr) {
        return std::nullopt;
    }
    OccurrenceProgress occurrence{*number, {}};
    for (const auto &tasks : *steps) {
        if (!tasks.is_array()) {
            return std::nullopt;
        }
        auto &step = occurrence.m_steps.emplace_back();
        for (const auto &entry : tasks) {
            auto task = readTask(entry);
            if (!task) {
                return std::nullopt;
            }
            step.m_tasks.push_back(std::move(*task));
        }
    }
    return occurrence;
}

/// A capacity is [processors, Mbit/s]; an unknown one is omitted.
auto writeCapacity(Writer &writer, std::string_view name, const HostCapacity &capacity) -> void
{
    if (!capacity.isKnown()) {
        return;
    }
    putName(writer, name);
    writer.StartArray();
    writer.Double(capacity.m_processors);
    writer.Double(capacity.m_linkMbps);
    writer.EndArray();
}

[[nodiscard]] auto readCapacity(const Value &value, std::string_view name) -> HostCapacity
{
    using namespace JsonValue;
    const auto *const columns = array(value, name);
    if (columns == nullptr || columns->size() != 2) {
        return {};
    }
    // An odd row must not make every host wait for one that does not exist.
    constexpr double maxCapacity = 1e6;
    const HostCapacity capacity{number((*columns)[0]).value_or(0), number((*columns)[1]).value_or(0)};
    const auto isInRange = [](double amount) {
        return amount >= 0 && amount <= maxCapacity;
    };
    return isInRange(capacity.m_processors) && isInRange(capacity.m_linkMbps) ? capacity : HostCapacity{};
}

/// Longest time in a row, in milliseconds; sums with it do not overflow.
constexpr std::int64_t maxAge = 1'000'000'000;

/// An age is a whole number of milliseconds; one that cannot be an age is read as absent.
[[nodiscard]] auto readAge(const Value &value, std::string_view name) -> std::optional<Milliseconds>
{
    const auto age = JsonValue::integer<std::int64_t>(value, name);
    return age && *age >= 0 && *age <= maxAge ? std::optional(Milliseconds(*age)) : std::nullopt;
}

/// A silent worker is [id, time left of its lease]; the list is omitted when it is empty.
auto writeSilentWorkers(Writer &writer, std::span<const SilentWorker> workers) -> void
{
    if (workers.empty()) {
        return;
    }
    putName(writer, "silent");
    writer.StartArray();
    for (const auto &worker : workers) {
        writer.StartArray();
        put(writer, worker.m_worker);
        writer.Int64(worker.m_leaseLeft.count());
        writer.EndArray();
    }
    writer.EndArray();
}

/// An entry that is not valid is left out; a successor then waits for the longest lease that the owner can have granted.
[[nodiscard]] auto readSilentWorkers(const Value &document) -> std::vector<SilentWorker>
{
    using namespace JsonValue;
    std::vector<SilentWorker> workers;
    const auto *const entries = array(document, "silent");
    for (std::size_t i = 0; entries != nullptr && i < std::min(entries->size(), maxSilentWorkers); ++i) {
        const auto &entry = (*entries)[i];
        const bool isEntry = entry.is_array() && entry.size() == 2;
        const auto id = isEntry ? text(entry[0]) : std::nullopt;
        const auto left = isEntry ? integer<std::int64_t>(entry[1]) : std::nullopt;
        if (id && !id->empty() && left && *left >= 0 && *left <= maxAge) {
            workers.push_back({std::string(*id), Milliseconds(*left)});
        }
    }
    return workers;
}

[[nodiscard]] auto keyOf(std::string_view table, std::string_view partition, std::string_view name, std::string_view suffix = {}) -> std::string
{
    std::string key(table);
    return key.append("/").append(partition).append("/").append(name).append(suffix);
}

[[nodiscard]] auto readPhase(const Value &document) -> std::optional<JobPhase>
{
    constexpr std::array phases{JobPhase::Queued, JobPhase::Running, JobPhase::Completed, JobPhase::Failed, JobPhase::Cancelled};
    const auto state = JsonValue::text(document, "state").value_or(std::string_view{});
    const auto *const phase = std::ranges::find(phases, state, phaseName);
    return phase == phases.end() ? std::nullopt : std::optional(*phase);
}
}

auto jobPartition(std::string_view id) noexcept -> std::string_view
{
    const auto digit = id.empty() ? '0' : static_cast<char>(std::tolower(static_cast<unsigned char>(id.front())));
    const auto index = jobPartitions.find(digit);
    return jobPartitions.substr(index == std::string_view::npos ? 0 : index, 1);
}

auto rowName(std::string_view key) noexcept -> std::string_view
{
    const auto table = key.find('/');
    const auto partition = table == std::string_view::npos ? table : key.find('/', table + 1);
    return partition == std::string_view::npos ? std::string_view{} : key.substr(partition + 1);
}

auto jobKey(std::string_view id) -> std::string
{
    return keyOf(FleetTables::jobs, jobPartition(id), id);
}

auto cancelKey(std::string_view id) -> std::string
{
    return keyOf(FleetTables::jobs, jobPartition(id), id, cancelSuffix);
}

auto progressRowName(std::string_view id, std::uint32_t number) -> std::string
{
    std::string name(id);
    return number == 0 ? name : name.append(1, continuationSeparator).append(std::to_string(number));
}

auto progressKey(std::string_view id, std::uint32_t number) -> std::string
{
    return keyOf(FleetTables::progress, ownerPartition, progressRowName(id, number));
}

auto finalKey(std::string_view id) -> std::string
{
    return keyOf(FleetTables::final, jobPartition(id), id);
}

auto encodeRow(const TaskJob &job) -> std::string
{
    rapidjson::StringBuffer buffer;
    Writer writer(buffer);
    writer.StartObject();
    putText(writer, "id", job.m_id);
    writePolicy(writer, job.m_policy);
    putText(writer, "payload", job.m_payload);
    putNumber(writer, "repeats", job.m_repeats);
    putNumber(writer, "first_due", job.m_firstDue.time_since_epoch().count());
    putNumber(writer, "interval", job.m_interval.count());
    putNumber(writer, "accepted", job.m_acceptedAt.time_since_epoch().count());
    putName(writer, "steps");
    writer.StartArray();
    for (const auto &step : job.m_steps) {
        writeStep(writer, step);
    }
    writer.EndArray();
    writer.EndObject();
    return JsonValue::textOf(buffer);
}

auto encodeRow(const JobProgress &progress) -> std::string
{
    rapidjson::StringBuffer buffer;
    Writer writer(buffer);
    writer.StartObject();
    putText(writer, "state", phaseName(progress.m_phase));
    putNumber(writer, "next", progress.m_nextOccurrence);
    putName(writer, "open");
    writer.StartArray();
    for (const auto &occurrence : progress.m_open) {
        writer.StartObject();
        putNumber(writer, "k", occurrence.m_number);
        putName(writer, "steps");
        writer.StartArray();
        for (const auto &step : occurrence.m_steps) {
            writer.StartArray();
            for (const auto &task : step.m_tasks) {
                writeTask(writer, task);
            }
            writer.EndArray();
        }
        writer.EndArray();
        writer.EndObject();
    }
    writer.EndArray();
    writer.EndObject();
    return JsonValue::textOf(buffer);
}

auto encodeProgressRows(const JobProgress &progress, std::size_t rowBytes) -> std::vector<std::string>
{
    std::vector<std::string> rows;
    auto text = encodeRow(progress);
    if (text.size() <= rowBytes) {
        rows.push_back(std::move(text));
        return rows;
    }
    const auto count = (text.size() + rowBytes - 1) / rowBytes;
    rapidjson::StringBuffer buffer;
    Writer writer(buffer);
    writer.StartObject();
    putText(writer, "state", phaseName(progress.m_phase));
    putNumber(writer, "next", progress.m_nextOccurrence);
    // Without "open", which a host of a version without continuation rows would read as a job that has nothing left to do.
    putNumber(writer, "rows", static_cast<std::uint32_t>(count));
    writer.EndObject();
    rows.push_back(JsonValue::textOf(buffer));
    for (std::size_t i = 0; i < count; ++i) {
        rows.push_back(text.substr(i * rowBytes, rowBytes));
    }
    return rows;
}

auto encodeRow(const FinalRow &row) -> std::string
{
    rapidjson::StringBuffer buffer;
    Writer writer(buffer);
    writer.StartObject();
    putText(writer, "state", phaseName(row.m_phase));
    putNumber(writer, "ended", row.m_endedAt.time_since_epoch().count());
    if (row.m_isUnsubmitted) {
        putName(writer, "unsubmitted");
        writer.Bool(true);
    }
    writer.EndObject();
    return JsonValue::textOf(buffer);
}

auto encodeRow(const FleetOwnerRow &row) -> std::string
{
    rapidjson::StringBuffer buffer;
    Writer writer(buffer);
    writer.StartObject();
    putText(writer, "host", row.m_host);
    putText(writer, "incarnation", row.m_incarnation);
    putName(writer, "epoch");
    writer.Uint64(row.m_epoch);
    putName(writer, "commit");
    writer.Uint64(row.m_commit);
    if (row.m_waitingAge) {
        putNumber(writer, "waiting_age", row.m_waitingAge->count());
        putName(writer, "waiting");
        writer.StartObject();
        for (const auto &[queue, count] : row.m_waiting) {
            putNumber(writer, queue, count);
        }
        writer.EndObject();
    }
    writeCapacity(writer, "capacity", row.m_capacity);
    writeCapacity(writer, "best", row.m_best.m_capacity);
    putNumber(writer, "best_age", row.m_best.m_age.count());
    if (!row.m_successor.empty()) {
        putText(writer, "successor", row.m_successor);
        putText(writer, "successor_incarnation", row.m_successorIncarnation);
    }
    if (row.m_hasFailed) {
        putName(writer, "failed");
        writer.Bool(true);
    }
    writeSilentWorkers(writer, row.m_silentWorkers);
    writer.EndObject();
    return JsonValue::textOf(buffer);
}

auto encodeRow(const FleetCandidateRow &row) -> std::string
{
    rapidjson::StringBuffer buffer;
    Writer writer(buffer);
    writer.StartObject();
    putText(writer, "host", row.m_host);
    putText(writer, "incarnation", row.m_incarnation);
    putName(writer, "epoch");
    writer.Uint64(row.m_epoch);
    writeCapacity(writer, "capacity", row.m_capacity);
    writer.EndObject();
    return JsonValue::textOf(buffer);
}

auto encodeRow(std::span<const InterferencePair> pairs) -> std::string
{
    rapidjson::StringBuffer buffer;
    Writer writer(buffer);
    // Fewer decimals keep the row short, which is rewritten every few seconds; the weights are precise to two decimals.
    constexpr int decimals = 4;
    writer.SetMaxDecimalPlaces(decimals);
    writer.StartObject();
    putName(writer, "pairs");
    writer.StartArray();
    for (const auto &pair : pairs) {
        writer.StartArray();
        put(writer, pair.m_fill);
        put(writer, pair.m_serving);
        writer.Double(pair.m_weight);
        writer.Double(pair.m_variance);
        writer.EndArray();
    }
    writer.EndArray();
    writer.EndObject();
    return JsonValue::textOf(buffer);
}

auto encodeModelRow(std::vector<InterferencePair> pairs, std::size_t rowBytes) -> std::string
{
    std::ranges::sort(pairs, {}, &InterferencePair::m_variance);
    auto row = encodeRow(std::span<const InterferencePair>(pairs));
    while (row.size() > rowBytes && !pairs.empty()) {
        // The pairs differ in size by the names of their images, so one step may not be enough.
        pairs.resize(std::min(pairs.size() - 1, pairs.size() * rowBytes / row.size()));
        row = encodeRow(std::span<const InterferencePair>(pairs));
    }
    return row;
}

auto decodeModelRow(std::string_view value) -> Result<std::vector<InterferencePair>>
{
    using namespace JsonValue;
    JsonValue::Value document;
    const auto *const rows = parseObject(document, value) ? array(document, "pairs") : nullptr;
    if (rows == nullptr) {
        return failure(ErrorCode::AnswerCorrupt, "the row of the interference model is not a JSON object with pairs");
    }
    constexpr std::size_t columns = 4;
    std::vector<InterferencePair> pairs;
    for (const auto &row : *rows) {
        const bool isRow = row.is_array() && row.size() == columns;
        const auto fill = isRow ? text(row[0]) : std::nullopt;
        const auto serving = isRow ? text(row[1]) : std::nullopt;
        const auto weight = isRow ? number(row[2]) : std::nullopt;
        const auto variance = isRow ? number(row[3]) : std::nullopt;
        if (fill && serving && weight && variance) {
            pairs.push_back({std::string(*fill), std::string(*serving), *weight, *variance});
        }
    }
    return pairs;
}

auto decodeJobRow(std::string_view value, std::string_view id) -> Result<TaskJob>
{
    using namespace JsonValue;
    JsonValue::Value document;
    if (!parseObject(document, value)) {
        return failure(ErrorCode::AnswerCorrupt, "a job row is not a JSON object");
    }
    TaskJob job;
    job.m_id = text(document, "id").value_or(std::string_view{});
    job.m_policy = readPolicy(document);
    job.m_payload = text(document, "payload").value_or(std::string_view{});
    job.m_repeats = integer<std::uint32_t>(document, "repeats").value_or(0);
    job.m_firstDue = TaskJob::WallTime(Milliseconds(integer<std::int64_t>(document, "first_due").value_or(0)));
    job.m_interval = Milliseconds(integer<std::int64_t>(document, "interval").value_or(0));
    job.m_acceptedAt = TaskJob::WallTime(Milliseconds(integer<std::int64_t>(document, "accepted").value_or(0)));
    if (const auto *const steps = array(document, "steps")) {
        for (const auto &step : *steps) {
            job.m_steps.push_back(readStep(step));
        }
    }
    if (job.m_id != id) {
        return failure(ErrorCode::AnswerCorrupt, "a job row belongs to another job");
    }
    if (const auto fault = validationError(job); !fault.empty()) {
        return failure(ErrorCode::AnswerCorrupt, "a job row is invalid: " + fault);
    }
    return job;
}

auto decodeFirstProgressRow(std::string_view value) -> Result<FirstProgressRow>
{
    using namespace JsonValue;
    JsonValue::Value document;
    if (!parseObject(document, value)) {
        return failure(ErrorCode::AnswerCorrupt, "a progress row is not a JSON object");
    }
    const auto phase = readPhase(document);
    const auto next = integer<std::uint32_t>(document, "next");
    const auto *const open = array(document, "open");
    const auto continuationRows = integer<std::uint32_t>(document, "rows").value_or(0);
    if (!phase || !next || (open == nullptr) == (continuationRows == 0) || continuationRows > maxContinuationRows) {
        return failure(ErrorCode::AnswerCorrupt, "a progress row lacks its state, its next occurrence or its open occurrences");
    }
    FirstProgressRow row{{*phase, *next, {}}, continuationRows};
    if (open == nullptr) {
        return row;
    }
    for (const auto &entry : *open) {
        auto occurrence = readOccurrence(entry);
        if (!occurrence) {
            return failure(ErrorCode::AnswerCorrupt, "a progress row contains an invalid occurrence");
        }
        row.m_progress.m_open.push_back(std::move(*occurrence));
    }
    return row;
}

auto decodeFinalRow(std::string_view value) -> Result<FinalRow>
{
    using namespace JsonValue;
    JsonValue::Value document;
    const bool isObject = parseObject(document, value);
    const auto phase = isObject ? readPhase(document) : std::nullopt;
    if (!phase || !isFinal(*phase)) {
        return failure(ErrorCode::AnswerCorrupt, "the final row of a job lacks a final state");
    }
    return FinalRow{
        *phase, TaskJob::WallTime(Milliseconds(integer<std::int64_t>(document, "ended").value_or(0))), boolean(document, "unsubmitted").value_or(false)};
}

auto decodeFleetOwnerRow(std::string_view value) -> Result<FleetOwnerRow>
{
    using namespace JsonValue;
    JsonValue::Value document;
    const bool isObject = parseObject(document, value);
    const auto epoch = isObject ? integer<std::uint64_t>(document, "epoch") : std::nullopt;
    if (!epoch) {
        return failure(ErrorCode::AnswerCorrupt, "the owner row is not a JSON object with an epoch");
    }
    FleetOwnerRow row;
    row.m_host = text(document, "host").value_or(std::string_view{});
    row.m_incarnation = text(document, "incarnation").value_or(std::string_view{});
    row.m_epoch = *epoch;
    row.m_commit = integer<std::uint64_t>(document, "commit").value_or(0);
    const auto age = readAge(document, "waiting_age");
    if (const auto *const waiting = member(document, "waiting"); age && waiting != nullptr && waiting->is_object()) {
        row.m_waitingAge = *age;
        for (const auto &[name, count] : waiting->items()) {
            row.m_waiting[name] = integer<std::uint32_t>(count).value_or(0);
        }
    }
    row.m_capacity = readCapacity(document, "capacity");
    row.m_best = {readCapacity(document, "best"), readAge(document, "best_age").value_or(Milliseconds{0})};
    row.m_successor = text(document, "successor").value_or(std::string_view{});
    row.m_successorIncarnation = text(document, "successor_incarnation").value_or(std::string_view{});
    row.m_hasFailed = boolean(document, "failed").value_or(false);
    row.m_silentWorkers = readSilentWorkers(document);
    return row;
}

auto decodeFleetCandidateRow(std::string_view value) -> Result<FleetCandidateRow>
{
    using namespace JsonValue;
    JsonValue::Value document;
    const bool isObject = parseObject(document, value);
    const auto epoch = isObject ? integer<std::uint64_t>(document, "epoch") : std::nullopt;
    const auto host = isObject ? text(document, "host") : std::nullopt;
    if (!epoch || !host) {
        return failure(ErrorCode::AnswerCorrupt, "the candidate row is not a JSON object with an epoch and a host");
    }
    FleetCandidateRow row;
    row.m_host = *host;
    row.m_incarnation = text(document, "incarnation").value_or(std::string_view{});
    row.m_capacity = readCapacity(document, "capacity");
    row.m_epoch = *epoch;
    return row;
}
}

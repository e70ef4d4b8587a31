#include "demorun.hpp"
#include "endpointlist.hpp"

#include <QCoreApplication>

#include <gflags/gflags.h>

#include <algorithm>
#include <iomanip>
#include <iostream>

DEFINE_string(entry, "", "entry daemons, ADDRESS:PORT separated by commas");
DEFINE_string(worker, "", "worker stand-ins, NAME=ADDRESS:PORT separated by commas");
DEFINE_string(platform, "", "platform stand-in, ADDRESS:PORT");
DEFINE_string(leaving_worker, "", "worker that is set to leaving while jobs run");
DEFINE_uint32(checks, 600, "number of idempotent requests");
DEFINE_uint32(holds, 200, "number of non-idempotent requests, each sent through two entry hosts");
DEFINE_uint32(batch, 40, "number of batch jobs, each submitted through two entry hosts");
DEFINE_uint32(watchers, 6, "number of watchers");
DEFINE_uint32(batch_duration_ms, 4000, "run time of a batch job, in milliseconds");
DEFINE_uint32(deadline_ms, 10000, "deadline of each request, in milliseconds");
DEFINE_uint32(patience_s, 60, "longest wait for a group of jobs or for repeated calls, in seconds");
DEFINE_bool(repeat_unanswered, false, "repeat calls without an answer through the next entry host");
DEFINE_string(until, "", "send requests in rounds until this file exists");
DEFINE_uint64(seed, 1, "seed of the request bodies and keys");

namespace
{
using namespace Burdockspur;
using namespace Burdockspur::Bench;

auto printTable(std::span<const WorkRow> rows) -> void
{
    constexpr int kindWidth = 18;
    constexpr int width = 10;
    std::cout << std::left << std::setw(kindWidth) << "kind" << std::right;
    for (const std::string_view title : {"asked", "ran", "answered", "resumed", "doubled", "lost", "different"}) {
        std::cout << std::setw(width) << title;
    }
    std::cout << '\n';
    for (const WorkRow &row : rows) {
        std::cout << std::left << std::setw(kindWidth) << row.m_kind << std::right;
        for (const std::uint64_t value : {row.m_submitted, row.m_executed, row.m_answered, row.m_resumed, row.m_duplicated, row.m_lost, row.m_different}) {
            std::cout << std::setw(width) << value;
        }
        std::cout << '\n';
    }
    std::cout << std::flush;
}

/// @brief Parses `NAME=ADDRESS:PORT,...`.
/// @returns the workers, or ErrorCode::BadRequest with the part that cannot be parsed
[[nodiscard]] auto parseWorkers(std::string_view text) -> Result<std::vector<NamedWorker>>
{
    std::vector<NamedWorker> workers;
    while (!text.empty()) {
        const std::string_view part = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), part.size() + 1));
        const std::size_t equals = part.find('=');
        const auto endpoints = parseEndpoints(equals == std::string_view::npos ? std::string_view() : part.substr(equals + 1));
        if (!endpoints) {
            return failure(ErrorCode::BadRequest, "'" + std::string(part) + "' is not NAME=ADDRESS:PORT");
        }
        workers.push_back({.m_name = std::string(part.substr(0, equals)), .m_endpoint = endpoints->front()});
    }
    return workers;
}

[[nodiscard]] auto planOfFlags() -> Result<DemoPlan>
{
    DemoPlan plan;
    const auto entries = parseEndpoints(FLAGS_entry);
    const auto workers = parseWorkers(FLAGS_worker);
    if (!entries || !workers) {
        return std::unexpected(entries ? workers.error() : entries.error());
    }
    plan.m_entries = *entries;
    plan.m_workers = *workers;
    if (!FLAGS_platform.empty()) {
        const auto platform = parseEndpoints(FLAGS_platform);
        if (!platform) {
            return std::unexpected(platform.error());
        }
        plan.m_platform = *platform;
    }
    plan.m_leavingWorker = FLAGS_leaving_worker;
    plan.m_checks = FLAGS_checks;
    plan.m_holds = FLAGS_holds;
    plan.m_batchJobs = FLAGS_batch;
    plan.m_watchers = FLAGS_watchers;
    plan.m_batchDuration = Milliseconds(FLAGS_batch_duration_ms);
    plan.m_deadline = Milliseconds(FLAGS_deadline_ms);
    plan.m_waitTimeout = std::chrono::seconds(FLAGS_patience_s);
    plan.m_repeatUnanswered = FLAGS_repeat_unanswered;
    plan.m_stopFile = FLAGS_until;
    plan.m_seed = FLAGS_seed;
    return plan;
}
}

auto main(int argc, char **argv) -> int
{
    gflags::SetUsageMessage("runs requests, batch jobs and watchers, and compares them with the executions in the workers' journals");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const QCoreApplication application(argc, argv);
    const auto plan = planOfFlags();
    if (!plan) {
        std::cerr << plan.error().m_message << std::endl;
        return 2;
    }
    DemoRun run(*plan);
    const auto rows = run.execute();
    if (!rows) {
        std::cerr << "demonstration failed: " << rows.error().m_message << std::endl;
        return 1;
    }
    printTable(*rows);
    return std::ranges::all_of(*rows, &WorkRow::isClean) ? 0 : 1;
}

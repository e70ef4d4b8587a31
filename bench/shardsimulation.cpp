#include "shardsimulation.hpp"

#include "benchmarkhosts.hpp"
#include "burdockspur/core/identifiers.hpp"

namespace Burdockspur::Bench
{
namespace
{
[[nodiscard]] auto batchSpec() -> JobSpec
{
    JobSpec spec;
    spec.m_caller = "dispatch";
    spec.m_class = "reconciliation";
    spec.m_team = "stock";
    spec.m_demand = {.m_cpuMillis = 100, .m_memoryMb = 256, .m_accelerators = 0};
    spec.m_durationMs = 60'000;
    spec.m_payload = "filling-room-12";
    return spec;
}

}

ShardSimulation::ShardSimulation(std::size_t workers)
    : m_workers(makeBenchmarkHosts(workers).m_hosts)
    , m_scheduler({.m_shard = 0, .m_epoch = 1, .m_epochVersion = 1, .m_host = "host-1", .m_since = m_now}, m_settings, m_policy)
{
}

auto ShardSimulation::recoverRunningJobs(std::size_t jobs) -> void
{
    ShardContent content;
    for (std::size_t i = 0; i < jobs; ++i) {
        JobRecord record;
        record.m_job.m_id = jobIdOf("dispatch", std::to_string(i));
        record.m_job.m_spec = batchSpec();
        record.m_job.m_state = JobState::Running;
        record.m_job.m_attempt = 1;
        record.m_job.m_worker = m_workers[i % m_workers.size()].m_name;
        record.m_submission = i + 1;
        m_running[record.m_job.m_worker].push_back({.m_attempt = {.m_job = record.m_job.m_id, .m_number = 1},
                                                    .m_state = AttemptState::Running,
                                                    .m_progressPercent = 0,
                                                    .m_checkpoint = {},
                                                    .m_result = {},
                                                    .m_usage = {}});
        content.m_records.push_back(std::move(record));
    }
    content.m_lastSequence = 1;
    m_scheduler.recover(content);
    m_scheduler.handle(WorkersListed{m_workers}, m_now, m_random, m_commands);
    answerCommands();
}

auto ShardSimulation::submit(std::size_t jobs) -> void
{
    for (std::size_t i = 0; i < jobs; ++i) {
        const std::string id = jobIdOf("caller", std::to_string(++m_submitted));
        m_scheduler.handle(
            JobSubmitted{.m_ticket = {.m_link = 1, .m_correlation = m_submitted}, .m_job = id, .m_spec = batchSpec()}, m_now, m_random, m_commands);
    }
}

auto ShardSimulation::runTick() -> void
{
    m_now += m_settings.m_tick;
    m_scheduler.tick(m_now, m_random, m_commands);
    answerCommands();
}

auto ShardSimulation::answerCommands() -> void
{
    while (!m_commands.empty()) {
        ShardCommands commands = std::move(m_commands);
        m_commands.clear();
        for (ShardCommand &command : commands) {
            std::visit(
                [this](auto &content) {
                    if constexpr (requires { answer(content); }) {
                        answer(content);
                    }
                },
                command);
        }
    }
}

auto ShardSimulation::commit(ShardRow row, std::string_view operation) -> void
{
    RowWritten written;
    written.m_row = row;
    written.m_operation = operation;
    written.m_status = CommitResult::Status::Committed;
    m_scheduler.handle(written, m_now, m_random, m_commands);
}

auto ShardSimulation::answer(WriteJournalRow &command) -> void
{
    ++m_rows;
    commit(ShardRow::Journal, command.m_operation);
}

auto ShardSimulation::answer(PutSnapshot &command) -> void
{
    m_scheduler.handle(SnapshotStored{.m_shard = 0, .m_object = std::move(command.m_object), .m_succeeded = true}, m_now, m_random, m_commands);
}

auto ShardSimulation::answer(WriteSnapshotRow &command) -> void
{
    commit(ShardRow::Snapshot, command.m_operation);
}

auto ShardSimulation::answer(StartAttempt &command) -> void
{
    ++m_starts;
    m_running[command.m_worker].push_back(
        {.m_attempt = command.m_order.m_attempt, .m_state = AttemptState::Running, .m_progressPercent = 0, .m_checkpoint = {}, .m_result = {}, .m_usage = {}});
    m_scheduler.handle(StartAnswered{.m_shard = 0,
                                     .m_epoch = 1,
                                     .m_worker = command.m_worker,
                                     .m_attempt = command.m_order.m_attempt,
                                     .m_result = {.m_status = StartResult::Status::Started, .m_reason = {}}},
                       m_now,
                       m_random,
                       m_commands);
}

auto ShardSimulation::answer(RenewLease &command) -> void
{
    ++m_renewals;
    auto &running = m_running[command.m_worker];
    for (const AttemptId &ended : command.m_renewal.m_acknowledged) {
        std::erase_if(running, [&ended](const AttemptReport &report) {
            return report.m_attempt == ended;
        });
    }
    for (AttemptReport &report : running) {
        report.m_state = m_completeStarted ? AttemptState::Completed : AttemptState::Running;
    }
    LeaseReport report;
    report.m_epoch = 1;
    report.m_report.m_number = m_renewals;
    report.m_granted = command.m_renewal.m_answeredReport.has_value();
    report.m_attempts = running;
    m_scheduler.handle(LeaseAnswered{.m_shard = 0, .m_epoch = 1, .m_worker = command.m_worker, .m_report = std::move(report)}, m_now, m_random, m_commands);
}
}

#include "shardworld.hpp"

#include <algorithm>

namespace Burdockspur::Testing
{
namespace
{
const std::string ownerKey = "owner";
const std::string epochKey = "epoch";
const std::string snapshotKey = "snapshot";

auto journalKey(std::uint64_t sequence) -> std::string
{
    const std::string digits = std::to_string(sequence);
    return "journal/" + std::string(12 - digits.size(), '0') + digits;
}
}

ShardWorld::ShardWorld(std::uint64_t seed, std::uint32_t lossPercent, const Guards &guards)
    : m_random(seed)
    , m_lossPercent(lossPercent)
{
    m_settings.m_guards = guards;
    m_settings.m_rowsPerSnapshot = 10;
    m_settings.m_maxRowJobs = 5;
    for (int i = 0; i < 4; ++i) {
        Machine machine;
        machine.m_host.m_name = "w" + std::to_string(i);
        machine.m_host.m_address = "127.0.0.1";
        machine.m_host.m_port = 1;
        machine.m_host.m_place.m_zone = i < 2 ? "a" : "b";
        machine.m_host.m_capacity = {.m_cpuMillis = 4'000, .m_memoryMb = 4'000, .m_accelerators = 0};
        m_machines.emplace(machine.m_host.m_name, machine);
    }
    m_nodes.resize(2);
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        m_nodes[i].m_name = "h" + std::to_string(i);
        restart(i);
    }
}

auto ShardWorld::require(bool holds, const std::string &what) -> void
{
    if (!holds) {
        throw std::runtime_error(what);
    }
}

auto ShardWorld::delay() -> Duration
{
    return Milliseconds(1 + m_random.below(20));
}

auto ShardWorld::drawFault(std::uint32_t percent) -> bool
{
    const bool hit = !m_faultsEnded && m_random.below(100) < percent;
    m_injectedFaults += hit ? 1 : 0;
    return hit;
}

auto ShardWorld::schedule(Duration delay, Action action) -> void
{
    m_actions.emplace(m_now + delay, std::move(action));
}

auto ShardWorld::runUntil(TimePoint end) -> void
{
    while (m_now < end) {
        m_now += Milliseconds(10);
        while (!m_actions.empty() && m_actions.begin()->first <= m_now) {
            const Action action = std::move(m_actions.begin()->second);
            m_actions.erase(m_actions.begin());
            action();
        }
        for (auto &[name, machine] : m_machines) {
            updateTasks(machine);
        }
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            stepNode(i);
        }
    }
}

auto ShardWorld::stepNode(std::size_t index) -> void
{
    Node &node = m_nodes[index];
    if (!node.m_alive || m_now < node.m_pausedUntil) {
        return;
    }
    ShardCommands commands;
    if (m_now >= node.m_claim->deadline()) {
        ++m_steps;
        node.m_claim->tick({}, m_now, *node.m_random, commands);
    }
    if (node.m_claim->isOwner() && !node.m_scheduler && !node.m_recovering) {
        node.m_recovering = true;
        commands.emplace_back(RecoverShard{.m_shard = 0, .m_epoch = node.m_claim->ownership().m_epoch});
    }
    if (node.m_scheduler && node.m_claim->mayAct(m_now) && m_now >= node.m_scheduler->deadline()) {
        ++m_steps;
        node.m_scheduler->tick(m_now, *node.m_random, commands);
    }
    for (auto &command : commands) {
        execute(index, command);
    }
}

auto ShardWorld::deliver(std::size_t index, std::uint64_t incarnation, const std::function<void(Node &)> &handler) -> void
{
    Node &node = m_nodes[index];
    if (!node.m_alive || node.m_incarnation != incarnation) {
        return;
    }
    if (m_now < node.m_pausedUntil) {
        schedule(node.m_pausedUntil - m_now, [this, index, incarnation, handler] {
            deliver(index, incarnation, handler);
        });
        return;
    }
    handler(node);
}

auto ShardWorld::handleEvent(std::size_t index, std::uint64_t incarnation, ShardEvent value) -> void
{
    deliver(index, incarnation, [this, index, value = std::move(value)](Node &node) {
        if (!node.m_scheduler) {
            return;
        }
        ShardCommands commands;
        ++m_steps;
        node.m_scheduler->handle(value, m_now, *node.m_random, commands);
        if (node.m_scheduler->isFenced()) {
            node.m_scheduler.reset();
            node.m_claim->relinquish(m_now);
        }
        for (auto &command : commands) {
            execute(index, command);
        }
    });
}

auto ShardWorld::applyClaimChange(Node &node, ShardClaim::Change change) -> void
{
    if (change == ShardClaim::Change::Lost || change == ShardClaim::Change::Released) {
        node.m_scheduler.reset();
        node.m_recovering = false;
    }
    m_takeovers += change == ShardClaim::Change::Acquired ? 1 : 0;
}

auto ShardWorld::restart(std::size_t index) -> void
{
    Node &node = m_nodes[index];
    ++node.m_incarnation;
    node.m_alive = true;
    node.m_recovering = false;
    node.m_scheduler.reset();
    node.m_random = std::make_unique<RandomSource>(m_random.next64());
    node.m_claim = std::make_unique<ShardClaim>(0, node.m_name, m_settings);
}

auto ShardWorld::callStore(std::size_t node, const Action &effect, Action answer, Action lost) -> void
{
    const bool answered = m_storeUp && !drawFault(m_lossPercent);
    const bool arrives = m_storeUp && (answered || drawFault(50));
    if (arrives) {
        effect();
    }
    schedule(answered ? delay() : delay() + Milliseconds(500), answered ? std::move(answer) : std::move(lost));
    static_cast<void>(node);
}

auto ShardWorld::commit(const std::string &key, std::uint64_t version, std::uint64_t epochVersion, Row value, RowWritten &answer) -> bool
{
    Row &row = m_table[key];
    const bool epochMatches = m_table[epochKey].m_version == epochVersion;
    answer.m_fenced = !epochMatches && answer.m_row != ShardRow::Owner;
    answer.m_epochVersion = m_table[epochKey].m_version;
    if (row.m_version != version || !epochMatches) {
        answer.m_status = CommitResult::Status::Conflict;
        answer.m_stamp = {.m_version = row.m_version, .m_operation = row.m_operation};
        return false;
    }
    value.m_version = version + 1;
    row = std::move(value);
    answer.m_status = CommitResult::Status::Committed;
    answer.m_stamp = {.m_version = row.m_version, .m_operation = row.m_operation};
    return true;
}

auto ShardWorld::recordDurable(const std::vector<JobRecord> &records) -> void
{
    for (const auto &record : records) {
        const Job &job = record.m_job;
        if (isTerminal(job.m_state)) {
            const auto [known, added] = m_durableEnds.emplace(job.m_id, job.m_state);
            require(known->second == job.m_state, job.m_id + " ended twice");
        }
        if (!job.m_checkpoint.empty()) {
            m_checkpoints.insert(job.m_id);
        }
    }
}

auto ShardWorld::callWorker(std::size_t node, const std::string &worker, std::uint32_t maxDuplicateDelayMs, const std::function<void(bool)> &call, Action lost)
    -> void
{
    static_cast<void>(node);
    Machine &machine = m_machines.at(worker);
    const bool reachable = m_now >= machine.m_disconnectedUntil;
    const bool arrives = reachable && !drawFault(m_lossPercent);
    const bool answered = arrives && !drawFault(m_lossPercent) && m_now >= machine.m_pausedUntil;
    if (!answered) {
        schedule(m_settings.m_callTimeout, std::move(lost));
    }
    if (!arrives) {
        return;
    }
    const Duration paused = std::max(Duration(0), machine.m_pausedUntil - m_now);
    // A restart of the worker process discards the requests that were sent to it before.
    const auto toProcess = [&machine, start = machine.m_starts, call](bool isAnswered) {
        if (machine.m_starts == start) {
            call(isAnswered);
        }
    };
    deliverToMachine(machine, paused + delay(), [toProcess, answered] {
        toProcess(answered);
    });
    if (drawFault(m_lossPercent)) {
        deliverToMachine(machine, paused + Milliseconds(m_random.below(maxDuplicateDelayMs)), [toProcess] {
            toProcess(false);
        });
    }
}

auto ShardWorld::deliverToMachine(Machine &machine, Duration after, Action action) -> void
{
    schedule(after, [this, &machine, action = std::move(action)] {
        if (m_now < machine.m_pausedUntil) {
            deliverToMachine(machine, machine.m_pausedUntil - m_now, action);
        } else {
            action();
        }
    });
}

auto ShardWorld::execute(std::size_t index, ShardCommand &command) -> void
{
    const std::uint64_t incarnation = m_nodes[index].m_incarnation;
    const auto claimWritten = [this, index, incarnation](const RowWritten &answer) {
        deliver(index, incarnation, [this, answer](Node &node) {
            ++m_steps;
            applyClaimChange(node, node.m_claim->onWritten(answer, m_now, *node.m_random));
        });
    };
    if (auto *const read = std::get_if<ReadRow>(&command)) {
        const std::string key = read->m_row == ShardRow::Owner ? ownerKey : read->m_row == ShardRow::Snapshot ? snapshotKey : journalKey(read->m_sequence);
        auto answer = std::make_shared<RowRead>();
        answer->m_row = read->m_row;
        answer->m_operation = read->m_operation;
        const Action deliverAnswer = [this, index, incarnation, answer] {
            if (answer->m_row != ShardRow::Owner) {
                handleEvent(index, incarnation, *answer);
                return;
            }
            deliver(index, incarnation, [this, answer](Node &node) {
                ++m_steps;
                applyClaimChange(node, node.m_claim->onRead(*answer, m_now, *node.m_random));
            });
        };
        callStore(
            index,
            [this, answer, key] {
                answer->m_succeeded = true;
                answer->m_stamp = {.m_version = m_table[key].m_version, .m_operation = m_table[key].m_operation};
                answer->m_ownership = m_table[key].m_ownership;
            },
            deliverAnswer,
            [answer, deliverAnswer] {
                answer->m_succeeded = false;
                deliverAnswer();
            });
    } else if (auto *const owner = std::get_if<WriteOwnerRow>(&command)) {
        auto answer = std::make_shared<RowWritten>();
        answer->m_row = ShardRow::Owner;
        answer->m_operation = owner->m_operation;
        callStore(
            index,
            [this, answer, write = *owner] {
                Row row;
                row.m_operation = write.m_operation;
                row.m_ownership = write.m_ownership;
                const std::uint64_t epochVersion = write.m_takeover ? write.m_epochVersion : m_table[epochKey].m_version;
                if (commit(ownerKey, write.m_version, epochVersion, row, *answer) && write.m_takeover) {
                    answer->m_epochVersion = ++m_table[epochKey].m_version;
                }
            },
            [claimWritten, answer] {
                claimWritten(*answer);
            },
            [claimWritten, answer] {
                answer->m_status = CommitResult::Status::Unknown;
                claimWritten(*answer);
            });
    } else if (auto *const journal = std::get_if<WriteJournalRow>(&command)) {
        auto answer = std::make_shared<RowWritten>();
        answer->m_row = ShardRow::Journal;
        answer->m_operation = journal->m_operation;
        const Action deliverAnswer = [this, index, incarnation, answer] {
            handleEvent(index, incarnation, *answer);
        };
        callStore(
            index,
            [this, answer, write = *journal] {
                Row row;
                row.m_operation = write.m_operation;
                row.m_records = write.m_records;
                row.m_sequence = write.m_sequence;
                if (commit(journalKey(write.m_sequence), 0, write.m_epochVersion, row, *answer)) {
                    recordDurable(write.m_records);
                }
            },
            deliverAnswer,
            [deliverAnswer, answer] {
                answer->m_status = CommitResult::Status::Unknown;
                deliverAnswer();
            });
    } else if (auto *const put = std::get_if<PutSnapshot>(&command)) {
        auto answer = std::make_shared<SnapshotStored>(SnapshotStored{.m_shard = 0, .m_object = put->m_object, .m_succeeded = true});
        const Action deliverAnswer = [this, index, incarnation, answer] {
            handleEvent(index, incarnation, *answer);
        };
        callStore(
            index,
            [this, write = *put] {
                m_objects[write.m_object] = write.m_records;
            },
            deliverAnswer,
            [deliverAnswer, answer] {
                answer->m_succeeded = false;
                deliverAnswer();
            });
    } else if (auto *const name = std::get_if<WriteSnapshotRow>(&command)) {
        auto answer = std::make_shared<RowWritten>();
        answer->m_row = ShardRow::Snapshot;
        answer->m_operation = name->m_operation;
        const Action deliverAnswer = [this, index, incarnation, answer] {
            handleEvent(index, incarnation, *answer);
        };
        callStore(
            index,
            [this, answer, write = *name] {
                Row row;
                row.m_operation = write.m_operation;
                row.m_sequence = write.m_sequence;
                row.m_object = write.m_object;
                if (commit(snapshotKey, write.m_version, write.m_epochVersion, row, *answer)) {
                    for (auto sequence = write.m_firstDeleted; sequence <= write.m_lastDeleted; ++sequence) {
                        m_table.erase(journalKey(sequence));
                    }
                }
            },
            deliverAnswer,
            [deliverAnswer, answer] {
                answer->m_status = CommitResult::Status::Unknown;
                deliverAnswer();
            });
    } else if (auto *const remove = std::get_if<RemoveSnapshot>(&command)) {
        m_objects.erase(remove->m_object);
    } else if (auto *const recover = std::get_if<RecoverShard>(&command)) {
        auto content = std::make_shared<ShardContent>();
        callStore(
            index,
            [this, content] {
                const Row &snapshot = m_table[snapshotKey];
                content->m_snapshotVersion = snapshot.m_version;
                content->m_snapshotSequence = snapshot.m_sequence;
                content->m_lastSequence = snapshot.m_sequence;
                content->m_firstSequence = snapshot.m_sequence + 1;
                content->m_snapshotObject = snapshot.m_object;
                if (snapshot.m_version > 0) {
                    require(m_objects.contains(snapshot.m_object), "the snapshot row names an object that does not exist");
                    content->m_records = m_objects[snapshot.m_object];
                }
                while (m_table[journalKey(content->m_lastSequence + 1)].m_version > 0) {
                    const Row &row = m_table[journalKey(++content->m_lastSequence)];
                    content->m_records.insert(content->m_records.end(), row.m_records.begin(), row.m_records.end());
                }
            },
            [this, index, incarnation, content, epoch = recover->m_epoch] {
                deliver(index, incarnation, [this, content, epoch](Node &node) {
                    node.m_recovering = false;
                    if (!node.m_claim->isOwner() || node.m_claim->ownership().m_epoch != epoch) {
                        return;
                    }
                    node.m_scheduler = std::make_unique<ShardScheduler>(
                        OwnershipTerm{.m_shard = 0, .m_epoch = epoch, .m_epochVersion = node.m_claim->epochVersion(), .m_host = node.m_name, .m_since = m_now},
                        m_settings,
                        m_policy);
                    node.m_scheduler->recover(*content);
                    ShardCommands commands;
                    ++m_steps;
                    node.m_scheduler->handle(hosts(), m_now, *node.m_random, commands);
                });
            },
            [this, index, incarnation] {
                deliver(index, incarnation, [](Node &node) {
                    node.m_recovering = false;
                });
            });
    } else if (auto *const renewal = std::get_if<RenewLease>(&command)) {
        const auto deliverAnswer = [this, index, incarnation, worker = renewal->m_worker, epoch = renewal->m_renewal.m_epoch](Result<LeaseReport> report) {
            handleEvent(index, incarnation, LeaseAnswered{.m_shard = 0, .m_epoch = epoch, .m_worker = worker, .m_report = std::move(report)});
        };
        callWorker(
            index,
            renewal->m_worker,
            3'000,
            [this, deliverAnswer, order = *renewal](bool answered) {
                auto report = renew(m_machines.at(order.m_worker), order.m_renewal);
                if (answered) {
                    schedule(delay(), [deliverAnswer, report = std::move(report)] {
                        deliverAnswer(report);
                    });
                }
            },
            [deliverAnswer] {
                deliverAnswer(failure(ErrorCode::Timeout, "lost"));
            });
    } else if (auto *const startCommand = std::get_if<StartAttempt>(&command)) {
        const auto deliverAnswer = [this, index, incarnation, order = *startCommand](const StartResult &result) {
            handleEvent(
                index,
                incarnation,
                StartAnswered{
                    .m_shard = 0, .m_epoch = order.m_order.m_epoch, .m_worker = order.m_worker, .m_attempt = order.m_order.m_attempt, .m_result = result});
        };
        callWorker(
            index,
            startCommand->m_worker,
            3'000,
            [this, deliverAnswer, order = *startCommand](bool answered) {
                const auto result = start(m_machines.at(order.m_worker), order.m_order);
                if (answered) {
                    schedule(delay(), [deliverAnswer, result] {
                        deliverAnswer(result);
                    });
                }
            },
            [deliverAnswer] {
                deliverAnswer(StartResult());
            });
    } else if (auto *const stopCommand = std::get_if<StopAttempt>(&command)) {
        const auto deliverAnswer = [this, index, incarnation, order = *stopCommand](Result<AttemptReport> report) {
            handleEvent(index,
                        incarnation,
                        StopAnswered{.m_shard = 0,
                                     .m_epoch = order.m_order.m_epoch,
                                     .m_worker = order.m_worker,
                                     .m_attempt = order.m_order.m_attempt,
                                     .m_report = std::move(report)});
        };
        callWorker(
            index,
            stopCommand->m_worker,
            3'000,
            [this, deliverAnswer, order = *stopCommand](bool answered) {
                auto report = stop(m_machines.at(order.m_worker), order.m_order);
                if (answered) {
                    schedule(delay(), [deliverAnswer, report = std::move(report)] {
                        deliverAnswer(report);
                    });
                }
            },
            [deliverAnswer] {
                deliverAnswer(failure(ErrorCode::Timeout, "lost"));
            });
    } else if (auto *const checkpointCommand = std::get_if<CheckpointAttempt>(&command)) {
        const auto deliverAnswer = [this, index, incarnation, order = *checkpointCommand](Result<AttemptReport> report) {
            handleEvent(index,
                        incarnation,
                        CheckpointAnswered{.m_shard = 0,
                                           .m_epoch = order.m_order.m_epoch,
                                           .m_worker = order.m_worker,
                                           .m_attempt = order.m_order.m_attempt,
                                           .m_report = std::move(report)});
        };
        callWorker(
            index,
            checkpointCommand->m_worker,
            3'000,
            [this, deliverAnswer, order = *checkpointCommand](bool answered) {
                auto report = checkpoint(m_machines.at(order.m_worker), order.m_order);
                if (answered) {
                    deliverAnswer(std::move(report));
                }
            },
            [deliverAnswer] {
                deliverAnswer(failure(ErrorCode::Timeout, "lost"));
            });
    } else if (auto *const answer = std::get_if<AnswerRequest>(&command)) {
        if (answer->m_result && m_tickets.contains(answer->m_ticket.m_correlation) && !drawFault(m_lossPercent)) {
            const Job &job = *answer->m_result;
            m_accepted.insert(job.m_id);
            if (isTerminal(job.m_state)) {
                const auto [known, added] = m_ended.emplace(job.m_id, job.m_state);
                require(known->second == job.m_state, "a job changed its terminal state: " + job.m_id);
            }
        }
    } else if (std::get_if<CheckOwnership>(&command) != nullptr) {
        m_nodes[index].m_claim->requestCheck();
    }
}

auto ShardWorld::updateTasks(Machine &machine) -> void
{
    if (m_now < machine.m_pausedUntil) {
        return;
    }
    for (auto &[job, task] : machine.m_tasks) {
        if (task.m_report.m_state != AttemptState::Running) {
            continue;
        }
        if (m_now >= machine.m_leaseEnd) {
            task.m_report.m_state = AttemptState::Stopped;
        } else if (m_now >= task.m_endsAt) {
            task.m_report.m_state = task.m_fails ? AttemptState::Failed : AttemptState::Completed;
        }
    }
}

auto ShardWorld::start(Machine &machine, const StartOrder &order) -> StartResult
{
    updateTasks(machine);
    const auto refused = [](std::string reason) {
        return StartResult{.m_status = StartResult::Status::Refused, .m_reason = std::move(reason)};
    };
    const std::string &job = order.m_attempt.m_job;
    if (order.m_epoch < machine.m_epoch) {
        return {.m_status = StartResult::Status::Fenced, .m_reason = {}};
    }
    if (const auto known = machine.m_tasks.find(job); known != machine.m_tasks.end()) {
        const auto number = known->second.m_report.m_attempt.m_number;
        if (number == order.m_attempt.m_number) {
            return {.m_status = StartResult::Status::Started, .m_reason = {}};
        }
        if (number > order.m_attempt.m_number || known->second.m_report.m_state == AttemptState::Running) {
            return refused("superseded");
        }
    }
    if (const auto tombstone = machine.m_tombstones.find(job); tombstone != machine.m_tombstones.end() && order.m_attempt.m_number <= tombstone->second) {
        return refused("tombstoned");
    }
    if (m_now >= machine.m_leaseEnd || order.m_epoch != machine.m_leaseEpoch) {
        return refused("no_lease");
    }
    if (machine.m_host.m_state == HostState::Leaving) {
        return refused("leaving");
    }
    Resources used = order.m_spec.m_demand;
    for (const auto &[id, task] : machine.m_tasks) {
        used += task.m_report.m_state == AttemptState::Running ? task.m_demand : Resources();
    }
    require(used.fitsInto(machine.m_host.m_capacity), "the tasks exceed the capacity of " + machine.m_host.m_name);
    for (auto &[name, other] : m_machines) {
        const auto task = other.m_tasks.find(job);
        // After a pause, a worker stops the tasks of an expired lease before it does anything else.
        const bool runs = task != other.m_tasks.end() && task->second.m_report.m_state == AttemptState::Running && m_now < other.m_leaseEnd;
        require(!runs, job + " runs in two places");
    }
    require(!m_durableEnds.contains(job), job + " started after its end");
    require(!m_checkpoints.contains(job) || !order.m_checkpoint.empty(), job + " lost its checkpoint");
    ++m_starts;
    m_resumed += order.m_checkpoint.empty() ? 0 : 1;
    Task task;
    task.m_report.m_attempt = order.m_attempt;
    task.m_demand = order.m_spec.m_demand;
    const auto left = order.m_checkpoint.empty() ? order.m_spec.m_durationMs : order.m_spec.m_durationMs / 2;
    task.m_endsAt = m_now + Milliseconds(left);
    task.m_fails = order.m_spec.m_class == "flaky" && order.m_attempt.m_number == 1;
    machine.m_tasks.insert_or_assign(job, task);
    return {.m_status = StartResult::Status::Started, .m_reason = {}};
}

auto ShardWorld::stop(Machine &machine, const AttemptOrder &order) -> Result<AttemptReport>
{
    updateTasks(machine);
    if (order.m_epoch < machine.m_epoch) {
        return failure(ErrorCode::StaleEpoch, "stale");
    }
    const auto task = machine.m_tasks.find(order.m_attempt.m_job);
    if (task == machine.m_tasks.end() || task->second.m_report.m_attempt != order.m_attempt) {
        auto &tombstone = machine.m_tombstones[order.m_attempt.m_job];
        tombstone = std::max(tombstone, order.m_attempt.m_number);
        AttemptReport report;
        report.m_attempt = order.m_attempt;
        report.m_state = AttemptState::NeverStarted;
        return report;
    }
    if (task->second.m_report.m_state == AttemptState::Running) {
        task->second.m_report.m_state = AttemptState::Stopped;
    }
    return task->second.m_report;
}

auto ShardWorld::renew(Machine &machine, const LeaseRenewal &renewal) -> Result<LeaseReport>
{
    updateTasks(machine);
    if (renewal.m_epoch < machine.m_epoch) {
        return failure(ErrorCode::StaleEpoch, "stale");
    }
    machine.m_epoch = renewal.m_epoch;
    const std::string incarnation = std::to_string(machine.m_starts);
    bool granted = false;
    if (renewal.m_answeredReport && renewal.m_answeredReport->m_incarnation == incarnation) {
        const auto &[epoch, sent] = machine.m_reports.at(renewal.m_answeredReport->m_number);
        granted = epoch == renewal.m_epoch && m_now < sent + renewal.m_ttl;
        machine.m_leaseEpoch = granted ? epoch : machine.m_leaseEpoch;
        machine.m_leaseEnd = granted ? std::max(machine.m_leaseEnd, sent + renewal.m_ttl) : machine.m_leaseEnd;
    }
    for (const auto &ended : renewal.m_acknowledged) {
        const auto task = machine.m_tasks.find(ended.m_job);
        if (task != machine.m_tasks.end() && task->second.m_report.m_attempt == ended) {
            require(task->second.m_report.m_state != AttemptState::Running, "a running attempt was acknowledged");
            auto &tombstone = machine.m_tombstones[ended.m_job];
            tombstone = std::max(tombstone, ended.m_number);
            machine.m_tasks.erase(task);
        }
    }
    LeaseReport report;
    report.m_epoch = machine.m_epoch;
    report.m_granted = granted;
    report.m_report = {.m_incarnation = incarnation, .m_number = machine.m_reports.size() + 1};
    machine.m_reports[report.m_report.m_number] = {machine.m_epoch, m_now};
    report.m_leaving = machine.m_host.m_state == HostState::Leaving;
    for (const auto &[job, task] : machine.m_tasks) {
        report.m_attempts.push_back(task.m_report);
    }
    return report;
}

auto ShardWorld::checkpoint(Machine &machine, const AttemptOrder &order) -> Result<AttemptReport>
{
    updateTasks(machine);
    const auto task = machine.m_tasks.find(order.m_attempt.m_job);
    if (order.m_epoch < machine.m_epoch || task == machine.m_tasks.end() || task->second.m_report.m_attempt != order.m_attempt) {
        return failure(ErrorCode::Conflict, "not running");
    }
    if (task->second.m_report.m_state == AttemptState::Running) {
        task->second.m_report.m_checkpoint = "c-" + order.m_attempt.m_job;
    }
    return task->second.m_report;
}

auto ShardWorld::hosts() const -> WorkersListed
{
    WorkersListed listed;
    for (const auto &[name, machine] : m_machines) {
        listed.m_workers.push_back(machine.m_host);
    }
    return listed;
}

auto ShardWorld::submit(const std::string &id, const JobSpec &spec) -> void
{
    if (m_accepted.contains(id)) {
        return;
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        const std::uint64_t ticket = ++m_lastTicket;
        m_tickets.emplace(ticket, id);
        handleEvent(i, m_nodes[i].m_incarnation, JobSubmitted{.m_ticket = {.m_link = 1, .m_correlation = ticket}, .m_job = id, .m_spec = spec});
    }
    schedule(Milliseconds(1'000), [this, id, spec] {
        submit(id, spec);
    });
}

auto ShardWorld::injectFault(const Fault &fault) -> void
{
    ++m_injectedFaults;
    const Duration length = Milliseconds(fault.m_durationMs);
    const auto index = static_cast<std::size_t>(fault.m_target) % m_nodes.size();
    Machine &machine = std::next(m_machines.begin(), fault.m_target % static_cast<int>(m_machines.size()))->second;
    switch (static_cast<FaultKind>(fault.m_kind)) {
    case FaultKind::KillScheduler:
        m_nodes[index].m_alive = false;
        ++m_nodes[index].m_incarnation;
        schedule(length, [this, index] {
            restart(index);
        });
        break;
    case FaultKind::PauseScheduler:
        m_nodes[index].m_pausedUntil = m_now + length;
        break;
    case FaultKind::StoreOutage:
        m_storeUp = false;
        schedule(length, [this] {
            m_storeUp = true;
        });
        break;
    case FaultKind::CrashWorker:
        machine.m_tasks.clear();
        machine.m_tombstones.clear();
        machine.m_epoch = 0;
        machine.m_leaseEnd = m_now;
        machine.m_leaseEpoch = 0;
        machine.m_reports.clear();
        ++machine.m_starts;
        machine.m_disconnectedUntil = m_now + length;
        break;
    case FaultKind::PauseWorker:
        machine.m_pausedUntil = m_now + length;
        break;
    case FaultKind::DisconnectWorker:
        machine.m_disconnectedUntil = m_now + length;
        break;
    case FaultKind::LeaveWorker:
        machine.m_host.m_state = HostState::Leaving;
        schedule(length, [this, &machine] {
            machine.m_host.m_state = HostState::Live;
            listHosts();
        });
        listHosts();
        break;
    case FaultKind::CancelJob:
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            const std::uint64_t ticket = ++m_lastTicket;
            m_tickets.emplace(ticket, "");
            handleEvent(i,
                        m_nodes[i].m_incarnation,
                        CancelRequested{.m_ticket = {.m_link = 1, .m_correlation = ticket}, .m_job = "j" + std::to_string(fault.m_target)});
        }
        break;
    case FaultKind::KindCount:
        break;
    }
}

auto ShardWorld::listHosts() -> void
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        handleEvent(i, m_nodes[i].m_incarnation, hosts());
    }
}

auto ShardWorld::run(int jobs, const std::vector<Fault> &faults) -> void
{
    for (int i = 0; i < jobs; ++i) {
        JobSpec spec;
        spec.m_class = i % 5 == 0 ? "flaky" : "plain";
        spec.m_demand = {.m_cpuMillis = 500 + 500 * (i % 4), .m_memoryMb = 1'000, .m_accelerators = 0};
        spec.m_durationMs = 1'000 + 1'500 * (i % 13);
        spec.m_urgent = i % 7 == 0;
        schedule(Milliseconds(m_random.below(40'000)), [this, i, spec] {
            submit("j" + std::to_string(i), spec);
        });
    }
    for (const auto &fault : faults) {
        schedule(Milliseconds(fault.m_startMs), [this, fault] {
            injectFault(fault);
        });
    }
    runUntil(m_now + Milliseconds(100'000));
    m_faultsEnded = true;
    listHosts();
    runUntil(m_now + Milliseconds(400'000));
    const Node *owner = nullptr;
    for (const auto &node : m_nodes) {
        owner = node.m_scheduler ? &node : owner;
    }
    require(owner != nullptr, "the shard has no owner");
    require(static_cast<int>(m_accepted.size()) == jobs, "not every submission was accepted");
    for (const auto &id : m_accepted) {
        const JobEntry *const entry = owner->m_scheduler->jobs().find(id);
        require(entry != nullptr, id + " was lost");
        const Job &job = entry->m_record.m_job;
        require(isTerminal(job.m_state), id + " did not end: " + std::string(jobStateName(job.m_state)) + " attempt " + std::to_string(job.m_attempt));
        require(!m_ended.contains(id) || m_ended.at(id) == job.m_state, id + " ended twice");
        require(!m_durableEnds.contains(id) || m_durableEnds.at(id) == job.m_state, id + " has another end than the durable one");
    }
}
}

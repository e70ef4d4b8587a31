#include "burdockspur/shard/shardstore.hpp"

#include "burdockspur/operations/log.hpp"
#include "burdockspur/shard/jobbatchcodec.hpp"

#include <algorithm>
#include <utility>

namespace Burdockspur
{
namespace
{
constexpr std::uint32_t journalPage = 100; // rows; bounds the size of one answer

[[nodiscard]] auto operationOf(ShardRow row, std::string_view value) -> std::string
{
    if (row == ShardRow::Journal) {
        const auto batch = decodeJobBatch(value);
        return batch ? batch->m_operation : std::string();
    }
    const auto owner = decodeOwnerRow(value);
    return owner ? owner->m_operation : std::string();
}
}

struct ShardStore::Recovery {
    ShardId m_shard = 0;
    Epoch m_epoch = 0;
    ShardContent m_content;
};

ShardStore::ShardStore(TableStore &table, ObjectStore &objects, Answer answer)
    : m_table(&table)
    , m_objects(&objects)
    , m_answer(std::move(answer))
{
}

auto ShardStore::execute(StoreCommand &&command) -> void
{
    std::visit(
        [this](const auto &alternative) {
            perform(alternative);
        },
        command);
}

auto ShardStore::perform(const ReadRow &command) -> void
{
    const std::string key = shardRowKey(command.m_shard, command.m_row, command.m_sequence);
    m_table->read(key, [this, command](Result<std::vector<TableRow>> &&rows) {
        RowRead answer;
        answer.m_shard = command.m_shard;
        answer.m_row = command.m_row;
        answer.m_operation = command.m_operation;
        answer.m_succeeded = rows.has_value();
        answer.m_ownership.m_shard = command.m_shard;
        if (rows && !rows->empty()) {
            const TableRow &row = rows->front();
            answer.m_stamp = {.m_version = row.m_version, .m_operation = operationOf(command.m_row, row.m_value)};
            if (const auto owner = decodeOwnerRow(row.m_value); command.m_row == ShardRow::Owner && owner) {
                answer.m_ownership = owner->m_ownership;
                answer.m_ownership.m_shard = command.m_shard;
            }
        }
        m_answer(std::move(answer));
    });
}

auto ShardStore::commit(const Transaction &transaction, const std::string &key, RowWritten answer) -> void
{
    const std::string epochKey = shardEpochKey(answer.m_shard);
    m_table->commit(transaction, [this, key, epochKey, answer = std::move(answer)](CommitResult &&result) mutable {
        answer.m_status = result.m_status;
        for (const auto &row : result.m_rows) {
            if (row.m_key == epochKey) {
                answer.m_epochVersion = row.m_version;
                // For the owner row, the operation id shows whether a takeover took effect.
                answer.m_fenced = answer.m_row != ShardRow::Owner && result.m_status == CommitResult::Status::Conflict;
            } else if (row.m_key == key) {
                answer.m_stamp = {.m_version = row.m_version, .m_operation = operationOf(answer.m_row, row.m_value)};
            }
        }
        m_answer(std::move(answer));
    });
}

auto ShardStore::perform(const WriteOwnerRow &command) -> void
{
    const ShardId shard = command.m_ownership.m_shard;
    const std::string key = shardRowKey(shard, ShardRow::Owner, 0);
    const std::string text = encodeOwnerRow({.m_ownership = command.m_ownership, .m_operation = command.m_operation});
    Transaction transaction;
    transaction.m_conditions.push_back({.m_key = key, .m_version = command.m_version});
    transaction.m_puts.push_back({.m_key = key, .m_value = text});
    if (command.m_takeover) {
        transaction.m_conditions.push_back({.m_key = shardEpochKey(shard), .m_version = command.m_epochVersion});
        transaction.m_puts.push_back({.m_key = shardEpochKey(shard), .m_value = text});
    }
    RowWritten answer;
    answer.m_shard = shard;
    answer.m_row = ShardRow::Owner;
    answer.m_operation = command.m_operation;
    commit(transaction, key, std::move(answer));
}

auto ShardStore::perform(const WriteJournalRow &command) -> void
{
    const std::string key = shardRowKey(command.m_shard, ShardRow::Journal, command.m_sequence);
    Transaction transaction;
    transaction.m_conditions = {{.m_key = shardEpochKey(command.m_shard), .m_version = command.m_epochVersion}, {.m_key = key, .m_version = 0}};
    transaction.m_puts.push_back({.m_key = key, .m_value = encodeJobBatch(command.m_operation, command.m_records)});
    RowWritten answer;
    answer.m_shard = command.m_shard;
    answer.m_row = ShardRow::Journal;
    answer.m_operation = command.m_operation;
    commit(transaction, key, std::move(answer));
}

auto ShardStore::perform(const PutSnapshot &command) -> void
{
    m_objects->put(command.m_object,
                   encodeJobBatch(command.m_object, command.m_records),
                   [this, shard = command.m_shard, object = command.m_object](Result<void> &&result) {
                       m_answer(SnapshotStored{.m_shard = shard, .m_object = object, .m_succeeded = result.has_value()});
                   });
}

auto ShardStore::perform(const WriteSnapshotRow &command) -> void
{
    const std::string key = shardRowKey(command.m_shard, ShardRow::Snapshot, 0);
    Transaction transaction;
    transaction.m_conditions = {{.m_key = shardEpochKey(command.m_shard), .m_version = command.m_epochVersion}, {.m_key = key, .m_version = command.m_version}};
    transaction.m_puts.push_back(
        {.m_key = key, .m_value = encodeSnapshotRow({.m_sequence = command.m_sequence, .m_object = command.m_object, .m_operation = command.m_operation})});
    for (auto sequence = command.m_firstDeleted; sequence <= command.m_lastDeleted; ++sequence) {
        transaction.m_deletes.push_back(shardRowKey(command.m_shard, ShardRow::Journal, sequence));
    }
    RowWritten answer;
    answer.m_shard = command.m_shard;
    answer.m_row = ShardRow::Snapshot;
    answer.m_operation = command.m_operation;
    commit(transaction, key, std::move(answer));
}

auto ShardStore::perform(const RemoveSnapshot &command) -> void
{
    m_objects->remove(command.m_object, [object = command.m_object](Result<void> &&result) {
        if (!result) {
            logEvent(LogLevel::Info, "snapshot_not_removed", {{"object", object}, {"reason", result.error().m_message}});
        }
    });
}

auto ShardStore::perform(const RecoverShard &command) -> void
{
    auto recovery = std::make_shared<Recovery>();
    recovery->m_shard = command.m_shard;
    recovery->m_epoch = command.m_epoch;
    readSnapshot(recovery);
}

auto ShardStore::readSnapshot(const std::shared_ptr<Recovery> &recovery) -> void
{
    ++recovery->m_content.m_reads;
    m_table->read(shardRowKey(recovery->m_shard, ShardRow::Snapshot, 0), [this, recovery](Result<std::vector<TableRow>> &&rows) {
        if (!rows) {
            answerFailure(*recovery, rows.error());
            return;
        }
        if (rows->empty()) {
            readJournal(recovery, shardJournalPrefix(recovery->m_shard));
            return;
        }
        const auto row = decodeSnapshotRow(rows->front().m_value);
        if (!row) {
            answerFailure(*recovery, row.error());
            return;
        }
        recovery->m_content.m_snapshotVersion = rows->front().m_version;
        recovery->m_content.m_snapshotSequence = row->m_sequence;
        recovery->m_content.m_snapshotObject = row->m_object;
        recovery->m_content.m_firstSequence = row->m_sequence + 1;
        recovery->m_content.m_lastSequence = row->m_sequence;
        readSnapshotObject(recovery);
    });
}

auto ShardStore::readSnapshotObject(const std::shared_ptr<Recovery> &recovery) -> void
{
    ++recovery->m_content.m_reads;
    m_objects->get(recovery->m_content.m_snapshotObject, [this, recovery](Result<std::string> &&bytes) {
        if (!bytes) {
            answerFailure(*recovery, bytes.error());
            return;
        }
        auto batch = decodeJobBatch(*bytes);
        if (!batch) {
            answerFailure(*recovery, batch.error());
            return;
        }
        recovery->m_content.m_records = std::move(batch->m_records);
        readJournal(recovery, shardJournalPrefix(recovery->m_shard));
    });
}

auto ShardStore::readJournal(const std::shared_ptr<Recovery> &recovery, const std::string &after) -> void
{
    ++recovery->m_content.m_reads;
    m_table->scan(shardJournalPrefix(recovery->m_shard), after, journalPage, [this, recovery](Result<std::vector<TableRow>> &&rows) {
        if (!rows) {
            answerFailure(*recovery, rows.error());
        } else if (!appendJournalRows(*recovery, *rows)) {
            answerFailure(*recovery, {.m_code = ErrorCode::AnswerCorrupt, .m_message = "a journal row is missing or damaged"});
        } else if (rows->size() == journalPage) {
            readJournal(recovery, rows->back().m_key);
        } else {
            m_answer(ShardRecovered{.m_shard = recovery->m_shard, .m_epoch = recovery->m_epoch, .m_content = std::move(recovery->m_content)});
        }
    });
}

auto ShardStore::appendJournalRows(Recovery &recovery, const std::vector<TableRow> &rows) -> bool
{
    ShardContent &content = recovery.m_content;
    for (const auto &row : rows) {
        const std::uint64_t sequence = journalSequenceOf(row.m_key);
        // Rows that the snapshot contains may still exist, because one transaction deletes only a limited number.
        content.m_firstSequence = std::min(content.m_firstSequence, sequence);
        if (sequence <= content.m_snapshotSequence) {
            continue;
        }
        auto batch = decodeJobBatch(row.m_value);
        if (!batch || sequence != content.m_lastSequence + 1) {
            return false;
        }
        content.m_lastSequence = sequence;
        std::ranges::move(batch->m_records, std::back_inserter(content.m_records));
    }
    return true;
}

auto ShardStore::answerFailure(const Recovery &recovery, Error error) -> void
{
    logEvent(LogLevel::Warning,
             "recovery_failed",
             {{"shard", recovery.m_shard}, {"epoch", recovery.m_epoch}, {"code", errorName(error.m_code)}, {"reason", error.m_message}});
    m_answer(ShardRecovered{.m_shard = recovery.m_shard, .m_epoch = recovery.m_epoch, .m_content = std::unexpected(std::move(error))});
}
}

#pragma once

#include "burdockspur/port/objectstore.hpp"
#include "burdockspur/port/tablestore.hpp"
#include "burdockspur/shard/shardinput.hpp"
#include "burdockspur/shard/shardrows.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Burdockspur
{
/// @brief Executes the store commands of shards on the table service and the object store.
///
/// Used only in the thread of the platform duty. Each command is sent once, without a retry; its answer becomes an
/// input of the `shards` thread, which decides what follows.
class ShardStore
{
public:
    using Answer = std::function<void(ShardInput &&)>;

    /// @param table must outlive this object
    /// @param objects must outlive this object
    /// @param answer called with each answer
    ShardStore(TableStore &table, ObjectStore &objects, Answer answer);

    /// @brief Sends a command; its answer follows later.
    auto execute(StoreCommand &&command) -> void;

private:
    struct Recovery;

    auto perform(const ReadRow &command) -> void;
    auto perform(const WriteOwnerRow &command) -> void;
    auto perform(const WriteJournalRow &command) -> void;
    auto perform(const PutSnapshot &command) -> void;
    auto perform(const WriteSnapshotRow &command) -> void;
    auto perform(const RemoveSnapshot &command) -> void;
    auto perform(const RecoverShard &command) -> void;

    auto commit(const Transaction &transaction, const std::string &key, RowWritten answer) -> void;
    auto readSnapshot(const std::shared_ptr<Recovery> &recovery) -> void;
    auto readSnapshotObject(const std::shared_ptr<Recovery> &recovery) -> void;
    auto readJournal(const std::shared_ptr<Recovery> &recovery, const std::string &after) -> void;
    auto appendJournalRows(Recovery &recovery, const std::vector<TableRow> &rows) -> bool;
    auto answerFailure(const Recovery &recovery, Error error) -> void;

    TableStore *m_table;
    ObjectStore *m_objects;
    Answer m_answer;
};
}

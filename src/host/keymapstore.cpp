#include "burdockspur/host/keymapstore.hpp"

#include "burdockspur/impl/jsonfield.hpp"
#include "burdockspur/operations/log.hpp"
#include "burdockspur/port/tablestore.hpp"

#include <QJsonArray>

#include <array>

namespace Burdockspur
{
namespace
{
constexpr std::string_view headKey = "keymap/head";
constexpr std::string_view membersKey = "keymap/members";
constexpr SettingRange nameLength{1, 256};
constexpr SettingRange incarnationLength{0, 256};
constexpr SettingRange generationRange{0, 9e15};

// In the order of KeyMapChange::Kind.
constexpr std::array<std::string_view, 6> kindNames{"worker_added", "worker_removed", "worker_restarted", "entry_added", "entry_replaced", "entry_removed"};

constexpr std::array<JsonField<KeyMapMember>, 2> memberFields{{
    {"name", &memberOf<KeyMapMember, &KeyMapMember::m_name>, nameLength},
    {"incarnation", &memberOf<KeyMapMember, &KeyMapMember::m_incarnation>, incarnationLength},
}};

constexpr std::array<JsonField<KeyMapChange>, 2> changeFields{{
    {"name", &memberOf<KeyMapChange, &KeyMapChange::m_name>, nameLength},
    {"generation", &memberOf<KeyMapChange, &KeyMapChange::m_generation>, generationRange},
}};

constexpr std::array<JsonField<KeyMap>, 2> mapFields{{
    {"generation", &memberOf<KeyMap, &KeyMap::m_generation>, generationRange},
    {"hosts_generation", &memberOf<KeyMap, &KeyMap::m_hostsGeneration>, generationRange},
}};

[[nodiscard]] auto writeMembers(const std::vector<KeyMapMember> &members) -> QJsonArray
{
    QJsonArray array;
    for (const auto &member : members) {
        array.append(writeFields<KeyMapMember>(memberFields, member));
    }
    return array;
}

[[nodiscard]] auto readMembers(JsonReader &reader, std::string_view name) -> std::vector<KeyMapMember>
{
    std::vector<KeyMapMember> members;
    for (auto &entry : reader.objects(name)) {
        readFields<KeyMapMember>(entry, memberFields, members.emplace_back());
    }
    return members;
}

[[nodiscard]] auto operationOf(std::string_view head) -> std::string
{
    std::vector<std::string> errors;
    auto reader = JsonReader::parse(head, errors);
    return reader ? reader->text("operation", {}).value_or("") : std::string();
}
}

auto encodeKeyMap(const KeyMap &map) -> std::string
{
    auto object = writeFields<KeyMap>(mapFields, map);
    object.insert("workers", writeMembers(map.m_workers));
    object.insert("entries", writeMembers(map.m_entries));
    QJsonArray changes;
    for (const auto &change : map.m_changes) {
        auto entry = writeFields<KeyMapChange>(changeFields, change);
        entry.insert("kind", jsonString(kindNames[static_cast<std::size_t>(change.m_kind)]));
        changes.append(entry);
    }
    object.insert("changes", changes);
    return jsonText(object);
}

auto decodeKeyMap(std::string_view value) -> Result<KeyMap>
{
    std::vector<std::string> errors;
    KeyMap map;
    if (auto reader = JsonReader::parse(value, errors)) {
        readFields<KeyMap>(*reader, mapFields, map);
        map.m_workers = readMembers(*reader, "workers");
        map.m_entries = readMembers(*reader, "entries");
        for (auto &entry : reader->objects("changes")) {
            auto &change = map.m_changes.emplace_back();
            readFields<KeyMapChange>(entry, changeFields, change);
            change.m_kind = static_cast<KeyMapChange::Kind>(entry.choice("kind", kindNames).value_or(0));
        }
    }
    if (!errors.empty()) {
        return failure(ErrorCode::BadRequest, joinedErrors(errors, "; "));
    }
    return map;
}

KeyMapStore::KeyMapStore(TableStore &store, std::string_view operationPrefix, Listener listener)
    : m_store(&store)
    , m_operationPrefix(operationPrefix)
    , m_listener(std::move(listener))
{
}

auto KeyMapStore::poll() -> void
{
    if (m_isReading) {
        return;
    }
    m_isReading = true;
    m_store->read(headKey, [this, alive = std::weak_ptr<int>(m_alive)](Result<std::vector<TableRow>> &&rows) {
        if (!alive.expired()) {
            handleHead(std::move(rows));
        }
    });
}

auto KeyMapStore::readNow() -> void
{
    m_mustReport = true;
    poll();
}

auto KeyMapStore::handleHead(Result<std::vector<TableRow>> &&rows) -> void
{
    m_isReading = false;
    if (!rows) {
        return;
    }
    const std::uint64_t generation = rows->empty() ? 0 : rows->front().m_version;
    if (!m_unknownOperation.empty()) {
        const bool isOwn = generation > 0 && operationOf(rows->front().m_value) == m_unknownOperation;
        logEvent(LogLevel::Info, "key_map_read_back", {{"generation", generation}, {"applied", isOwn ? "true" : "false"}});
        m_unknownOperation.clear();
    }
    if (generation == 0) {
        if (m_mustReport) {
            report({});
        }
    } else if (generation > m_generation || m_mustReport) {
        m_isReading = true;
        m_store->read(membersKey, [this, generation, alive = std::weak_ptr<int>(m_alive)](Result<std::vector<TableRow>> &&members) {
            if (!alive.expired()) {
                handleMembers(generation, std::move(members));
            }
        });
    }
}

auto KeyMapStore::handleMembers(std::uint64_t generation, Result<std::vector<TableRow>> &&rows) -> void
{
    m_isReading = false;
    if (!rows || rows->empty()) {
        return;
    }
    const auto map = decodeKeyMap(rows->front().m_value);
    if (!map) {
        logEvent(LogLevel::Error, "key_map_rejected", {{"generation", generation}, {"reason", map.error().m_message}});
    } else if (map->m_generation == generation) {
        report(*map);
    } else {
        // The map changed between the two reads.
        poll();
    }
}

auto KeyMapStore::report(const KeyMap &map) -> void
{
    m_mustReport = false;
    if (map.m_generation > m_generation) {
        m_generation = map.m_generation;
        logEvent(LogLevel::Info, "key_map_in_force", {{"generation", map.m_generation}, {"changes", map.m_changes.size()}});
    }
    m_listener.m_read(map);
}

auto KeyMapStore::propose(KeyMap &&next) -> void
{
    const std::string operation = m_operationPrefix + "-" + std::to_string(++m_lastOperation);
    Transaction transaction;
    transaction.m_conditions.push_back({std::string(headKey), next.m_generation - 1});
    transaction.m_puts.push_back({std::string(headKey), jsonText({{"operation", jsonString(operation)}})});
    transaction.m_puts.push_back({std::string(membersKey), encodeKeyMap(next)});
    m_store->commit(transaction, [this, operation, next = std::move(next), alive = std::weak_ptr<int>(m_alive)](CommitResult &&result) {
        if (alive.expired()) {
            return;
        }
        if (result.m_status == CommitResult::Status::Committed) {
            report(next);
            return;
        }
        if (result.m_status == CommitResult::Status::Unknown) {
            m_unknownOperation = operation;
        }
        // The listener orders a read: the map as read decides what still has to be changed, whoever wrote it.
        m_listener.m_notWritten();
    });
}
}

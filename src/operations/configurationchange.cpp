#include "burdockspur/impl/configurationchange.hpp"

#include <QTimer>

#include <algorithm>

namespace Burdockspur
{
namespace
{
// Number of ids in the row: enough to find a change after a burst of later ones while its result is being determined.
constexpr std::size_t maxChangeIds = 16;

[[nodiscard]] auto firstRow(std::vector<TableRow> &&rows) -> std::optional<TableRow>
{
    return rows.empty() || rows.front().m_version == 0 ? std::nullopt : std::optional<TableRow>(std::move(rows.front()));
}

[[nodiscard]] auto versionOf(const std::optional<TableRow> &row) noexcept -> ConfigVersion
{
    return row ? row->m_version : 0;
}
}

ConfigurationChange::ConfigurationChange(
    TableStore &store, ConfigVersion expectedVersion, Edit edit, std::string id, const ReadBackLimits &readBackLimits, DoneCallback callback)
    : m_store(&store)
    , m_expectedVersion(expectedVersion)
    , m_edit(std::move(edit))
    , m_id(std::move(id))
    , m_readBackLimits(readBackLimits)
    , m_callback(std::move(callback))
{
}

auto ConfigurationChange::begin() -> void
{
    m_store->read(configurationKey, [change = weak_from_this()](Result<std::vector<TableRow>> &&rows) {
        if (const auto self = change.lock()) {
            self->handleCurrentRows(std::move(rows));
        }
    });
}

auto ConfigurationChange::handleCurrentRows(Result<std::vector<TableRow>> &&rows) -> void
{
    if (!rows) {
        finish(std::unexpected(std::move(rows.error())));
        return;
    }
    const auto row = firstRow(std::move(*rows));
    if (versionOf(row) != m_expectedVersion) {
        finish(conflictError(versionOf(row)));
        return;
    }
    std::optional<ConfigurationDocument> current;
    if (row) {
        auto document = ConfigurationDocument::parse(row->m_value, row->m_version);
        if (!document) {
            // The shard count of an invalid document is unknown, so no change can be checked against it.
            finish(failure(ErrorCode::Internal, "the stored configuration is not valid: " + document.error().m_message));
            return;
        }
        current = std::move(*document);
    }
    applyEdit(current);
}

auto ConfigurationChange::applyEdit(const std::optional<ConfigurationDocument> &current) -> void
{
    auto edited = m_edit(current ? std::optional<Configuration>(current->m_configuration) : std::nullopt);
    if (!edited) {
        finish(std::unexpected(std::move(edited.error())));
        return;
    }
    m_document.m_configuration = std::move(*edited);
    m_document.m_configuration.m_version = m_expectedVersion + 1;
    m_document.m_changeIds = {m_id};
    if (current) {
        const auto kept = std::min(current->m_changeIds.size(), maxChangeIds - 1);
        m_document.m_changeIds.insert(
            m_document.m_changeIds.end(), current->m_changeIds.begin(), current->m_changeIds.begin() + static_cast<std::ptrdiff_t>(kept));
    }
    write();
}

auto ConfigurationChange::write() -> void
{
    const std::string key(configurationKey);
    const Transaction transaction{{{key, m_expectedVersion}}, {{key, m_document.rowBytes()}}, {}};
    m_store->commit(transaction, [change = weak_from_this()](CommitResult &&result) {
        if (const auto self = change.lock()) {
            self->handleCommitResult(std::move(result));
        }
    });
}

auto ConfigurationChange::handleCommitResult(CommitResult &&result) -> void
{
    switch (result.m_status) {
    case CommitResult::Status::Committed:
        finish(std::move(m_document.m_configuration));
        return;
    case CommitResult::Status::Conflict:
        // After a repeated write, the conflict may be with the first write of this change.
        resolveOutcome(firstRow(std::move(result.m_rows)));
        return;
    case CommitResult::Status::NotApplied:
        if (!m_hasUnknownWrite) {
            finish(std::unexpected(std::move(result.m_error)));
            return;
        }
        break;
    case CommitResult::Status::Unknown:
        m_hasUnknownWrite = true;
        break;
    }
    readBackLater();
}

auto ConfigurationChange::readBackLater() -> void
{
    if (m_readBackLimits.m_attempts-- <= 0) {
        finish(failure(ErrorCode::OutcomeUnknown,
                       "the table service did not confirm the change of version " + std::to_string(m_expectedVersion) + "; it may take effect"));
        return;
    }
    QTimer::singleShot(m_readBackLimits.m_pause, [change = weak_from_this()] {
        if (const auto self = change.lock()) {
            self->readBack();
        }
    });
}

auto ConfigurationChange::readBack() -> void
{
    m_store->read(configurationKey, [change = weak_from_this()](Result<std::vector<TableRow>> &&rows) {
        if (const auto self = change.lock()) {
            self->handleReadBackRows(std::move(rows));
        }
    });
}

auto ConfigurationChange::handleReadBackRows(Result<std::vector<TableRow>> &&rows) -> void
{
    if (!rows) {
        readBackLater();
        return;
    }
    const auto row = firstRow(std::move(*rows));
    if (versionOf(row) == m_expectedVersion) {
        write();
        return;
    }
    resolveOutcome(row);
}

auto ConfigurationChange::resolveOutcome(const std::optional<TableRow> &row) -> void
{
    const auto document = row ? ConfigurationDocument::parse(row->m_value, row->m_version) : failure(ErrorCode::Conflict, "");
    if (document && std::ranges::find(document->m_changeIds, m_id) != document->m_changeIds.end()) {
        finish(std::move(m_document.m_configuration));
        return;
    }
    // The row lists only the latest changes, so an older change cannot be distinguished from one that was refused.
    const bool isOlderThanList = versionOf(row) > m_expectedVersion + maxChangeIds;
    if (m_hasUnknownWrite && (!document || isOlderThanList)) {
        finish(
            failure(ErrorCode::OutcomeUnknown, "the change of version " + std::to_string(m_expectedVersion) + " cannot be distinguished from later changes"));
        return;
    }
    finish(conflictError(versionOf(row)));
}

auto ConfigurationChange::finish(Result<Configuration> &&result) -> void
{
    // The callback makes the owner release its reference to this object.
    const auto self = shared_from_this();
    m_callback(std::move(result));
}

auto ConfigurationChange::conflictError(ConfigVersion current) const -> std::unexpected<Error>
{
    return failure(ErrorCode::Conflict, "the configuration has version " + std::to_string(current) + ", not the expected " + std::to_string(m_expectedVersion));
}
}

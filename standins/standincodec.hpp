#pragma once

#include "standins/countentry.hpp"
#include "standins/fault.hpp"

#include "burdockspur/core/error.hpp"

#include <QJsonObject>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace Burdockspur::Standins
{
class ExecutionJournal;

/// @brief Fault setting sent by a test, with the name of the fault.
struct NamedFault {
    std::string m_name;
    Fault m_fault;
};

/// @brief Decodes `{"name","value","count","match"}`.
/// @returns the fault, or ErrorCode::BadRequest
[[nodiscard]] auto decodeFault(std::string_view body) -> Result<NamedFault>;

/// @brief Encodes the setting of one fault.
[[nodiscard]] auto encodeFault(const Fault &fault) -> QJsonObject;

/// @brief Encodes the entries of a journal.
/// @param journal of one worker
/// @param after only entries with a greater sequence number are encoded
/// @param limit maximum number of entries
[[nodiscard]] auto encodeJournal(const ExecutionJournal &journal, std::uint64_t after, std::size_t limit) -> QJsonObject;

/// @brief Applies the fault setting in a body to a struct of faults.
/// @returns ErrorCode::BadRequest for a malformed body or an unknown name
template<typename Faults, std::size_t size>
[[nodiscard]] auto applyFault(std::span<const FaultEntry<Faults>, size> table, Faults &faults, std::string_view body) -> Result<void>
{
    auto named = decodeFault(body);
    if (!named) {
        return std::unexpected(std::move(named.error()));
    }
    const auto entry = std::ranges::find(table, named->m_name, &FaultEntry<Faults>::m_name);
    if (entry == table.end()) {
        return failure(ErrorCode::BadRequest, "unknown fault " + named->m_name);
    }
    faults.*entry->m_fault = std::move(named->m_fault);
    return {};
}

/// @brief Encodes all faults of a table, by name.
template<typename Faults, std::size_t size>
[[nodiscard]] auto encodeFaults(std::span<const FaultEntry<Faults>, size> table, const Faults &faults) -> QJsonObject
{
    QJsonObject object;
    for (const auto &entry : table) {
        object.insert(QLatin1String(entry.m_name.data(), static_cast<qsizetype>(entry.m_name.size())), encodeFault(faults.*entry.m_fault));
    }
    return object;
}

/// @brief Encodes all counts of a table, by name.
template<typename Counts, std::size_t size>
[[nodiscard]] auto encodeCounts(std::span<const CountEntry<Counts>, size> table, const Counts &counts) -> QJsonObject
{
    QJsonObject object;
    for (const auto &entry : table) {
        object.insert(QLatin1String(entry.m_name.data(), static_cast<qsizetype>(entry.m_name.size())), static_cast<qint64>(counts.*entry.m_count));
    }
    return object;
}
}

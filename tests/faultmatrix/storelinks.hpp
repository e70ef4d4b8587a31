#pragma once

#include "burdockspur/port/objectstore.hpp"
#include "burdockspur/port/tablestore.hpp"
#include "faultmatrix/simulatedplatform.hpp"

namespace Burdockspur::FaultMatrix
{
/// @brief Connection of one host to the simulated table service.
class TableLink : public TableStore
{
public:
    TableLink(SimulatedPlatform &platform, Process &host)
        : m_platform(platform)
        , m_host(host)
    {
    }

    auto commit(const Transaction &transaction, CommitCallback callback) -> void override;
    auto read(std::string_view key, RowsCallback callback) -> void override;
    auto scan(std::string_view prefix, std::string_view after, std::uint32_t limit, RowsCallback callback) -> void override;

private:
    using Query = std::function<std::vector<TableRow>()>;
    auto query(const Query &rows, const RowsCallback &callback) -> void;

    SimulatedPlatform &m_platform;
    Process &m_host;
};

/// @brief Connection of one host to the simulated object store.
class ObjectLink : public ObjectStore
{
public:
    ObjectLink(SimulatedPlatform &platform, Process &host)
        : m_platform(platform)
        , m_host(host)
    {
    }

    auto put(std::string_view name, std::string bytes, DoneCallback callback) -> void override;
    auto get(std::string_view name, BytesCallback callback) -> void override;
    auto remove(std::string_view name, DoneCallback callback) -> void override;

private:
    SimulatedPlatform &m_platform;
    Process &m_host;
};
}

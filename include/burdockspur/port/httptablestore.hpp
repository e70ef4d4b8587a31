#pragma once

#include "burdockspur/port/serviceport.hpp"
#include "burdockspur/port/tablestore.hpp"

namespace Burdockspur
{
/// @brief TableStore over the platform's HTTP protocol.
///
/// Values are sent in JSON as base64, because rows hold arbitrary bytes. A commit is sent once. It is
/// NotApplied only when no byte was sent or the answer is 429 or 503; every other answer that is neither
/// a complete 200 nor a complete 409 makes it Unknown.
class HttpTableStore final : public TableStore
{
public:
    /// @param client must live in the same thread and outlive the store
    /// @param endpoint address of the table service
    /// @param timeout longest duration of each call
    HttpTableStore(HttpClient &client, HttpEndpoint endpoint, Duration timeout);

    auto commit(const Transaction &transaction, CommitCallback callback) -> void override;
    auto read(std::string_view key, RowsCallback callback) -> void override;
    auto scan(std::string_view prefix, std::string_view after, std::uint32_t limit, RowsCallback callback) -> void override;

private:
    ServicePort m_port;
};
}

#pragma once

#include "burdockspur/port/objectstore.hpp"
#include "burdockspur/port/serviceport.hpp"

namespace Burdockspur
{
/// @brief ObjectStore over the platform's HTTP protocol.
///
/// For an absent object, get() fails with UnknownRoute, the code for status 404, and remove() succeeds.
class HttpObjectStore final : public ObjectStore
{
public:
    /// @param client must live in the same thread and outlive the store
    /// @param endpoint address of the object store
    /// @param timeout longest duration of each call
    HttpObjectStore(HttpClient &client, HttpEndpoint endpoint, Duration timeout);

    auto put(std::string_view name, std::string bytes, DoneCallback callback) -> void override;
    auto get(std::string_view name, BytesCallback callback) -> void override;
    auto remove(std::string_view name, DoneCallback callback) -> void override;

private:
    ServicePort m_port;
};
}

#pragma once

#include "burdockspur/core/error.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace Burdockspur
{
/// @brief The platform's object store; each object is written once, under a new name.
///
/// Lives in the thread of the platform duty. Callbacks run there, exactly once, never from within the call.
class ObjectStore
{
public:
    using DoneCallback = std::function<void(Result<void> &&)>;
    using BytesCallback = std::function<void(Result<std::string> &&)>;

    ObjectStore() = default;
    virtual ~ObjectStore() = default;
    ObjectStore(const ObjectStore &) = delete;
    ObjectStore(ObjectStore &&) = delete;
    auto operator=(const ObjectStore &) -> ObjectStore & = delete;
    auto operator=(ObjectStore &&) -> ObjectStore & = delete;

    virtual auto put(std::string_view name, std::string bytes, DoneCallback callback) -> void = 0;
    virtual auto get(std::string_view name, BytesCallback callback) -> void = 0;
    virtual auto remove(std::string_view name, DoneCallback callback) -> void = 0;
};
}

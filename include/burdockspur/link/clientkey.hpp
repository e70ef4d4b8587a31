#pragma once

#include <cstdint>

namespace Burdockspur
{
/// @brief Identifies a client's connection among those of all servers that share a budget.
struct ClientKey {
    std::uint32_t m_server = 0;
    std::uint64_t m_connection = 0;

    [[nodiscard]] auto operator==(const ClientKey &) const noexcept -> bool = default;
};
}

#pragma once

#include <cstddef>

namespace Burdockspur
{
/// @brief What all clients of a process may hold together.
struct ClientLimits {
    std::size_t m_totalBytes = std::size_t{256} * 1024 * 1024; ///< connections, input, requests under way and unread answers
    std::size_t m_keptBytes = std::size_t{32} * 1024 * 1024; ///< part of the total that connections beyond m_ordinaryBytes cannot use
    std::size_t m_ordinaryBytes = std::size_t{96} * 1024; ///< memory up to which a connection counts as ordinary: one job and its answer
};
}

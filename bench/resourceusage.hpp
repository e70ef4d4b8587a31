#pragma once

#include <cstddef>

namespace Burdockspur::Bench
{
/// @brief Processor time used by the calling thread, in nanoseconds.
[[nodiscard]] auto threadCpuNanoseconds() noexcept -> double;

/// @brief Bytes that the process currently has allocated from the heap.
[[nodiscard]] auto heapBytes() noexcept -> std::size_t;
}

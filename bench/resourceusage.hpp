#pragma once

#include <cstddef>

namespace Burdockspur::Bench
{
/// @brief Processor time of the calling thread in nanoseconds.
[[nodiscard]] auto threadCpuNanoseconds() noexcept -> double;

/// @brief Bytes that the process has allocated from the heap.
[[nodiscard]] auto heapBytes() noexcept -> std::size_t;
}

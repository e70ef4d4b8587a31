#include "resourceusage.hpp"

#include <ctime>
#include <malloc.h>

namespace Burdockspur::Bench
{
auto threadCpuNanoseconds() noexcept -> double
{
    constexpr double nanosecondsPerSecond = 1e9;
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * nanosecondsPerSecond + static_cast<double>(time.tv_nsec);
}

auto heapBytes() noexcept -> std::size_t
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}
}

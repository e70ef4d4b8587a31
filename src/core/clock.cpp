#include "burdockspur/core/clock.hpp"

#include <ctime>

namespace Burdockspur
{
auto Clock::now() noexcept -> time_point
{
    timespec time{};
    // Cannot fail for a clock that the kernel has had since 2.6.39.
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}
}

#include "burdockspur/fleet/knowncapacity.hpp"

namespace Burdockspur
{
auto KnownCapacity::after(Milliseconds passed, const HostCapacity &seen) const noexcept -> KnownCapacity
{
    const Milliseconds age = m_age + passed;
    if (age >= lifetime || seen.isAtLeast(m_capacity)) {
        return {seen, Milliseconds{0}};
    }
    return {m_capacity, age};
}
}

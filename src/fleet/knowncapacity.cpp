#include "burdockspur/fleet/knowncapacity.hpp"

namespace Burdockspur
{
auto KnownCapacity::updated(Milliseconds passed, const HostCapacity &observed) const noexcept -> KnownCapacity
{
    const Milliseconds age = m_age + passed;
    if (age >= lifetime || observed.isAtLeast(m_capacity)) {
        return {observed, Milliseconds{0}};
    }
    return {m_capacity, age};
}
}

#include "burdockspur/core/wakedescriptor.hpp"

#include "burdockspur/core/invariant.hpp"

#include <sys/eventfd.h>
#include <unistd.h>

namespace Burdockspur
{
WakeDescriptor::WakeDescriptor()
    : m_descriptor(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    requireInvariant(m_descriptor >= 0, "eventfd_created", "eventfd failed");
}

WakeDescriptor::~WakeDescriptor()
{
    ::close(m_descriptor);
}

auto WakeDescriptor::signal() const noexcept -> void
{
    // A full counter leaves the descriptor readable, so a failed write needs no handling.
    [[maybe_unused]] const int result = ::eventfd_write(m_descriptor, 1);
}

auto WakeDescriptor::clear() const noexcept -> void
{
    eventfd_t value = 0;
    [[maybe_unused]] const int result = ::eventfd_read(m_descriptor, &value);
}
}

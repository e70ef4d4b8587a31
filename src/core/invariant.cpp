#include "burdockspur/core/invariant.hpp"

#include <cstdio>
#include <cstdlib>

namespace Burdockspur
{
auto requireInvariant(bool holds, std::string_view name, std::string_view detail) noexcept -> void
{
    if (holds) {
        return;
    }
    // Written directly to standard error, because abort() would lose a buffered log line.
    std::fprintf(stderr,
                 "level=fatal event=invariant_broken name=%.*s detail=\"%.*s\"\n",
                 static_cast<int>(name.size()),
                 name.data(),
                 static_cast<int>(detail.size()),
                 detail.data());
    std::abort();
}
}

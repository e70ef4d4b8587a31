#pragma once

#include <string>

namespace Burdockspur
{
/// @brief Where a machine stands: region, availability zone and rack.
struct Place {
    std::string m_region;
    std::string m_zone;
    std::string m_rack;

    [[nodiscard]] auto operator==(const Place &) const -> bool = default;
};
}

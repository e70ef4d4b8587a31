#pragma once

#include <string>

namespace Burdockspur
{
/// @brief Location of a machine: region, availability zone and rack.
struct Place {
    std::string m_region;
    std::string m_zone;
    std::string m_rack;

    [[nodiscard]] auto operator==(const Place &) const -> bool = default;
};
}

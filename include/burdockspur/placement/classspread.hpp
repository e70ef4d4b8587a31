#pragma once

#include "burdockspur/zone/place.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Burdockspur
{
/// @brief Counts the running jobs of each class by zone and by rack.
class ClassSpread
{
public:
    /// @brief Counts a job that starts.
    auto add(std::string_view jobClass, const Place &place) -> void;

    /// @brief Removes a job that add() has counted.
    auto remove(std::string_view jobClass, const Place &place) -> void;

    /// @brief Share of the class's jobs in the zone plus their share in the rack, 0 to 2.
    [[nodiscard]] auto concentration(std::string_view jobClass, const Place &place) const noexcept -> double;

private:
    using Counts = std::map<std::string, std::int64_t, std::less<>>;
    struct Jobs {
        std::int64_t m_total = 0;
        Counts m_zones;
        Counts m_racks;
    };

    std::map<std::string, Jobs, std::less<>> m_classes;
};
}

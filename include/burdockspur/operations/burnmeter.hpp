#pragma once

#include "burdockspur/contract/configuration.hpp"
#include "burdockspur/contract/requestanswer.hpp"
#include "burdockspur/operations/burnreport.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace Burdockspur
{
/// @brief Counts how the requests of an entry host meet the targets of their services.
///
/// A request is bad when it was not answered, or answered later than the target. Mistakes of the caller, such as a
/// key that was used for another request, do not count.
///
/// @code
/// meter.setConfiguration(configuration);
/// meter.note("check", answer, elapsed, now);
/// const auto report = meter.report(now, zoneOfWorker);
/// @endcode
class BurnMeter
{
public:
    using ZoneOf = std::function<std::string(std::string_view worker)>;

    /// @brief Takes targets, objectives and the preset; services that no longer exist are forgotten.
    auto setConfiguration(const Configuration &configuration) -> void;

    /// @brief Counts a request; one for a service that the configuration does not name is ignored.
    /// @param elapsed from the arrival at this host to the answer
    auto note(std::string_view service, const RequestAnswer &answer, Duration elapsed, TimePoint now) -> void;

    /// @brief Levels and causes of the recent past.
    /// @param zoneOf zone of a worker, or an empty text
    [[nodiscard]] auto report(TimePoint now, const ZoneOf &zoneOf) const -> BurnReport;

private:
    using CauseKey = std::pair<std::string_view, std::string>; ///< kind and name

    struct Level {
        ServiceDefinition m_definition;
        BurnWindow m_short;
        BurnWindow m_long;
        std::map<CauseKey, BurnWindow> m_causes;
    };

    auto noteCause(Level &level, std::string_view kind, std::string_view name, const BurnCount &count, TimePoint now) -> void;

    std::string m_preset;
    std::map<std::string, Level, std::less<>> m_levels;
};
}

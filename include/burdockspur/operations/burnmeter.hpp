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
/// @brief Counts the requests of an entry host that use up the error budget of their service, and the causes.
///
/// A request is bad when it was not answered, or was answered later than the latency target of its service. Requests that
/// failed by a mistake of the caller, such as an idempotency key of another request, are not counted.
///
/// @code
/// meter.setConfiguration(configuration);
/// meter.record("check", answer, elapsed, now);
/// const auto report = meter.report(now, zoneOfWorker);
/// @endcode
class BurnMeter
{
public:
    /// @brief Returns the zone of a worker, or an empty text when it is not known.
    using ZoneLookup = std::function<std::string(std::string_view worker)>;

    /// @brief Applies the latency targets, objectives and preset of a configuration; drops the counts of services that it no longer names.
    auto setConfiguration(const Configuration &configuration) -> void;

    /// @brief Counts a request; ignores a request for a service that the configuration does not name.
    /// @param elapsed time from the arrival at this host to the answer
    auto record(std::string_view service, const RequestAnswer &answer, Duration elapsed, TimePoint now) -> void;

    /// @brief Counts and causes of each service over the windows that end now.
    /// @param zoneLookup attributes the bad requests of a worker to its zone
    [[nodiscard]] auto report(TimePoint now, const ZoneLookup &zoneLookup) const -> BurnReport;

private:
    using CauseKey = std::pair<std::string_view, std::string>; ///< kind and name

    struct ServiceLevel {
        ServiceDefinition m_definition;
        BurnWindow m_short;
        BurnWindow m_long;
        std::map<CauseKey, BurnWindow> m_causes;
    };

    auto recordCause(ServiceLevel &level, std::string_view kind, std::string_view name, const BurnCount &count, TimePoint now) -> void;

    std::string m_preset;
    std::map<std::string, ServiceLevel, std::less<>> m_levels; ///< by service
};
}

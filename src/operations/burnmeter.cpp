#include "burdockspur/operations/burnmeter.hpp"

#include <algorithm>
#include <array>

namespace Burdockspur
{
namespace
{
constexpr std::size_t shortPeriods = 30;
constexpr Milliseconds shortPeriod{10'000};
constexpr std::size_t longPeriods = 60;
constexpr Milliseconds longPeriod{60'000};
// Each of up to 256 causes of a service has a window of its own, so these windows have only a few periods.
constexpr std::size_t causePeriods = 6;
constexpr Milliseconds causePeriod{600'000};
constexpr std::size_t maxCauses = 256; // for each service
constexpr std::size_t maxReportedCauses = 10; // for each service

/// Error codes of mistakes of the caller, which do not count as failures of the service.
constexpr std::array<ErrorCode, 3> callerCodes{ErrorCode::UnknownService, ErrorCode::IdempotencyConflict, ErrorCode::BadRequest};

[[nodiscard]] auto newShortWindow() -> BurnWindow
{
    return {shortPeriods, shortPeriod};
}

[[nodiscard]] auto newLongWindow() -> BurnWindow
{
    return {longPeriods, longPeriod};
}
}

auto BurnMeter::setConfiguration(const Configuration &configuration) -> void
{
    m_preset = configuration.m_presetInForce;
    std::map<std::string, ServiceLevel, std::less<>> levels;
    for (const auto &service : configuration.m_services) {
        auto known = m_levels.extract(service.m_name);
        if (known.empty()) {
            levels.emplace(service.m_name, ServiceLevel{service, newShortWindow(), newLongWindow(), {}});
        } else {
            known.mapped().m_definition = service;
            levels.insert(std::move(known));
        }
    }
    m_levels = std::move(levels);
}

auto BurnMeter::record(std::string_view service, const RequestAnswer &answer, Duration elapsed, TimePoint now) -> void
{
    const auto found = m_levels.find(service);
    const bool isAnswered = answer.m_outcome == Outcome::Answered;
    if (found == m_levels.end() || (!isAnswered && std::ranges::find(callerCodes, answer.m_code) != callerCodes.end())) {
        return;
    }
    ServiceLevel &level = found->second;
    const Milliseconds target(level.m_definition.m_latencyTargetMs);
    BurnCount count{.m_requests = 1, .m_slow = 0, .m_failed = 0};
    count.m_failed = isAnswered ? 0 : 1;
    count.m_slow = isAnswered && target > Milliseconds::zero() && elapsed > target ? 1 : 0;
    level.m_short.add(count, now);
    level.m_long.add(count, now);
    if (count.bad() > 0) {
        recordCause(level, "worker", answer.m_worker, count, now);
        recordCause(level, "preset", m_preset, count, now);
        recordCause(level, "code", isAnswered ? "slow" : errorName(answer.m_code), count, now);
    }
}

auto BurnMeter::recordCause(ServiceLevel &level, std::string_view kind, std::string_view name, const BurnCount &count, TimePoint now) -> void
{
    if (name.empty()) {
        return;
    }
    const CauseKey key{kind, std::string(name)};
    auto cause = level.m_causes.find(key);
    if (cause == level.m_causes.end()) {
        if (level.m_causes.size() >= maxCauses) {
            std::erase_if(level.m_causes, [now](const auto &entry) {
                return entry.second.sum(now).bad() == 0;
            });
        }
        if (level.m_causes.size() >= maxCauses) {
            return;
        }
        cause = level.m_causes.emplace(key, BurnWindow(causePeriods, causePeriod)).first;
    }
    cause->second.add(count, now);
}

auto BurnMeter::report(TimePoint now, const ZoneLookup &zoneLookup) const -> BurnReport
{
    BurnReport report;
    report.m_shortWindow = std::chrono::duration_cast<Milliseconds>(newShortWindow().length());
    report.m_longWindow = std::chrono::duration_cast<Milliseconds>(newLongWindow().length());
    for (const auto &[name, level] : m_levels) {
        ServiceBurn burn;
        burn.m_service = name;
        burn.m_latencyTargetMs = level.m_definition.m_latencyTargetMs;
        burn.m_objectivePercent = level.m_definition.m_objectivePercent;
        burn.m_short = level.m_short.sum(now);
        burn.m_long = level.m_long.sum(now);
        burn.m_periods = level.m_long.periods(now);
        ServiceBurn causes;
        for (const auto &[key, window] : level.m_causes) {
            const auto count = window.sum(now);
            if (count.bad() == 0) {
                continue;
            }
            ServiceBurn cause;
            cause.m_causes.push_back({std::string(key.first), key.second, count});
            if (const auto zone = key.first == "worker" ? zoneLookup(key.second) : std::string(); !zone.empty()) {
                cause.m_causes.push_back({"zone", zone, count});
            }
            causes.merge(cause);
        }
        burn.m_causes = std::move(causes.m_causes);
        burn.m_causes.resize(std::min(burn.m_causes.size(), maxReportedCauses));
        report.m_services.push_back(std::move(burn));
    }
    return report;
}
}

#pragma once

#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace prometheus
{
class Counter;
class Gauge;
class Histogram;
}

namespace Burdockspur
{
/// @brief Registers and exports the metrics of one process.
///
/// The returned references are valid as long as this object and may be used by any thread.
///
/// @code
/// auto &answered = metrics.counter("burdockspur_requests_total", "Requests by outcome", {{"outcome", "answered"}});
/// answered.Increment();
/// @endcode
class Metrics
{
public:
    using Labels = std::map<std::string, std::string>;

    Metrics();

    [[nodiscard]] auto counter(std::string_view name, std::string_view help, const Labels &labels = {}) -> prometheus::Counter &;
    [[nodiscard]] auto gauge(std::string_view name, std::string_view help, const Labels &labels = {}) -> prometheus::Gauge &;

    /// @brief Histogram of durations in seconds, from 100 microseconds to 30 s.
    [[nodiscard]] auto durationHistogram(std::string_view name, std::string_view help, const Labels &labels = {}) -> prometheus::Histogram &;

    /// @brief All metrics in the text format of Prometheus.
    [[nodiscard]] auto text() const -> std::string;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
};
}

#include "burdockspur/operations/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/text_serializer.h>

namespace Burdockspur
{
Metrics::Metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
{
}

auto Metrics::counter(std::string_view name, std::string_view help, const Labels &labels) -> prometheus::Counter &
{
    return prometheus::BuildCounter().Name(std::string(name)).Help(std::string(help)).Register(*m_registry).Add(labels);
}

auto Metrics::gauge(std::string_view name, std::string_view help, const Labels &labels) -> prometheus::Gauge &
{
    return prometheus::BuildGauge().Name(std::string(name)).Help(std::string(help)).Register(*m_registry).Add(labels);
}

auto Metrics::durationHistogram(std::string_view name, std::string_view help, const Labels &labels) -> prometheus::Histogram &
{
    const prometheus::Histogram::BucketBoundaries boundaries{
        0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0};
    return prometheus::BuildHistogram().Name(std::string(name)).Help(std::string(help)).Register(*m_registry).Add(labels, boundaries);
}

auto Metrics::text() const -> std::string
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}
}

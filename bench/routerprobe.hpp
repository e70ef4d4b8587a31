#pragma once

#include "capacityprobe.hpp"

#include <array>

namespace Burdockspur::Bench
{
/// @brief Processor time that the router spends on one request, from arrival to answer.
class RouterCpuProbe : public CapacityProbe
{
public:
    [[nodiscard]] auto name() const noexcept -> std::string_view override;
    [[nodiscard]] auto unit() const noexcept -> std::string_view override;
    [[nodiscard]] auto sizeName() const noexcept -> std::string_view override;
    [[nodiscard]] auto sizes() const noexcept -> std::span<const double> override;
    [[nodiscard]] auto measure(double size) -> double override;
};

/// @brief Memory that the router needs for the workers it knows.
class RouterWorkerMemoryProbe : public CapacityProbe
{
public:
    [[nodiscard]] auto name() const noexcept -> std::string_view override;
    [[nodiscard]] auto unit() const noexcept -> std::string_view override;
    [[nodiscard]] auto sizeName() const noexcept -> std::string_view override;
    [[nodiscard]] auto sizes() const noexcept -> std::span<const double> override;
    [[nodiscard]] auto measure(double size) -> double override;
};

/// @brief Memory that the router needs for requests in progress.
class RouterRequestMemoryProbe : public CapacityProbe
{
public:
    [[nodiscard]] auto name() const noexcept -> std::string_view override;
    [[nodiscard]] auto unit() const noexcept -> std::string_view override;
    [[nodiscard]] auto sizeName() const noexcept -> std::string_view override;
    [[nodiscard]] auto sizes() const noexcept -> std::span<const double> override;
    [[nodiscard]] auto measure(double size) -> double override;
};
}

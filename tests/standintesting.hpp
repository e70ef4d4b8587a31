#pragma once

#include "standins/readyring.hpp"

#include "burdockspur/core/duty.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <vector>

namespace Burdockspur::Testing
{
/// @brief Starts the duty of a stand-in and returns the ports that it reports, in order.
[[nodiscard]] inline auto startAndReadPorts(Duty &duty, Standins::ReadyRing &ready) -> std::vector<std::uint16_t>
{
    duty.start();
    std::vector<Result<std::string>> lines;
    while (!ready.isClosed()) {
        ready.takeUntil(Clock::now() + std::chrono::seconds(1), lines);
    }
    ready.drain(lines);
    std::vector<std::uint16_t> ports;
    for (const auto &line : lines) {
        EXPECT_TRUE(line) << line.error().m_message;
        const auto text = line.value_or("port=0");
        ports.push_back(static_cast<std::uint16_t>(std::stoi(text.substr(text.rfind('=') + 1))));
    }
    return ports;
}
}

#pragma once

#include "standins/platformfaults.hpp"
#include "standins/readyring.hpp"

#include "burdockspur/core/eventloopduty.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace Burdockspur::Standins
{
class PlatformServer;

/// @brief What a platform stand-in serves.
struct PlatformPlan {
    std::string m_address = "127.0.0.1";
    std::uint16_t m_port = 0; ///< 0 picks a free one
    std::uint64_t m_seed = 1;
    PlatformFaults m_faults; ///< in force from the start
};

/// @brief Thread that serves the platform.
class PlatformDuty : public EventLoopDuty
{
public:
    /// @param plan what to serve
    /// @param ready takes the line of the open port; must outlive the duty
    PlatformDuty(PlatformPlan plan, ReadyRing &ready);
    ~PlatformDuty() override;
    PlatformDuty(const PlatformDuty &) = delete;
    PlatformDuty(PlatformDuty &&) = delete;
    auto operator=(const PlatformDuty &) -> PlatformDuty & = delete;
    auto operator=(PlatformDuty &&) -> PlatformDuty & = delete;

protected:
    auto setUp() -> void override;
    auto tearDown() -> void override;

private:
    PlatformPlan m_plan;
    ReadyRing &m_ready;
    std::unique_ptr<PlatformServer> m_server;
};
}

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

/// @brief Address, seed and initial faults of a platform stand-in.
struct PlatformOptions {
    std::string m_address = "127.0.0.1";
    std::uint16_t m_port = 0; ///< 0 picks a free port
    std::uint64_t m_seed = 1;
    PlatformFaults m_faults; ///< in force from the start
};

/// @brief Thread that runs a PlatformServer.
class PlatformDuty : public EventLoopDuty
{
public:
    /// @param ready receives the line with the open port, or the error; must outlive the duty
    PlatformDuty(PlatformOptions options, ReadyRing &ready);
    ~PlatformDuty() override;
    PlatformDuty(const PlatformDuty &) = delete;
    PlatformDuty(PlatformDuty &&) = delete;
    auto operator=(const PlatformDuty &) -> PlatformDuty & = delete;
    auto operator=(PlatformDuty &&) -> PlatformDuty & = delete;

protected:
    auto setUp() -> void override;
    auto tearDown() -> void override;

private:
    PlatformOptions m_options;
    ReadyRing &m_ready;
    std::unique_ptr<PlatformServer> m_server;
};
}

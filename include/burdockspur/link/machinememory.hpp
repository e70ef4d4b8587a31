#pragma once

#include "burdockspur/link/clientlimits.hpp"

#include <cstddef>
#include <cstdint>

namespace Burdockspur
{
/// @brief Memory of the machine that a process runs on, and the parts of it that its peers may hold.
class MachineMemory
{
public:
    /// Memory of the smallest machines, for a process whose settings do not tell its own.
    static constexpr std::uint64_t assumedMb = 160;
    /// Default part for all clients, in percent.
    static constexpr std::uint64_t clientPercent = 33;
    /// Default part for the incomplete answers of one HttpClient, in percent.
    static constexpr std::uint64_t answerPercent = 12;

    /// @param megabytes 0 when not known
    constexpr explicit MachineMemory(std::uint64_t megabytes = 0) noexcept
        : m_megabytes(megabytes == 0 ? assumedMb : megabytes)
    {
    }

    /// @brief A part of the memory.
    /// @param percent part of the whole, in percent
    /// @returns bytes
    [[nodiscard]] constexpr auto share(std::uint64_t percent) const noexcept -> std::size_t
    {
        constexpr std::uint64_t bytesPerMb = std::uint64_t{1024} * 1024;
        constexpr std::uint64_t whole = 100;
        return static_cast<std::size_t>(m_megabytes * bytesPerMb * percent / whole);
    }

    /// @brief Limits of clients that may hold a number of bytes together.
    [[nodiscard]] static constexpr auto clientLimits(std::size_t totalBytes) noexcept -> ClientLimits
    {
        /// Part that only ordinary connections use.
        constexpr std::size_t keptPart = 8;
        ClientLimits limits;
        limits.m_totalBytes = totalBytes;
        limits.m_keptBytes = totalBytes / keptPart;
        return limits;
    }

private:
    std::uint64_t m_megabytes;
};
}

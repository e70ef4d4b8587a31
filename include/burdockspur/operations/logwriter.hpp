#pragma once

#include "burdockspur/core/boundedring.hpp"
#include "burdockspur/core/duty.hpp"

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

namespace Burdockspur
{
/// @brief Thread that writes log lines to a descriptor.
///
/// It gathers the lines of a short time into one write, because a wake-up and a system call for each line cost a busy program more than the lines
/// themselves. A slow reader never blocks the program: lines are dropped while the buffer is full, and counted in `log_dropped`.
class LogWriter final : public Duty
{
public:
    /// @param descriptor open for writing
    explicit LogWriter(int descriptor);

    /// @brief Writes what waits.
    ~LogWriter() override;

    /// @brief Adds a line, which ends with a line break.
    auto add(std::string &&line) -> void;

protected:
    auto run() -> void override;
    auto requestStop() -> void override;

private:
    auto write(std::string_view lines) const -> void;

    int m_descriptor;
    BoundedRing<std::string> m_lines;
    std::atomic<std::uint64_t> m_dropped{0}; ///< lines since the last write
};
}

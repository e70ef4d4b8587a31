#pragma once

#include "burdockspur/core/error.hpp"
#include "burdockspur/link/httpclient.hpp"
#include "burdockspur/operations/programoptions.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief Values of the flags of burdockspurctl.
struct ControlOptions {
    HttpEndpoint m_entry; ///< port 0 when `--entry` was not given
    std::string m_caller;
    std::string m_state;
    std::string m_key;
    std::string m_body;
    std::string m_bodyFile;
    std::uint64_t m_expectedVersion = 0;
    std::vector<HttpEndpoint> m_moreEntries; ///< burn: further entry daemons whose counts are added
    std::vector<std::string> m_logs; ///< explain: files with log lines
    std::string m_html; ///< burn: path of the HTML page
    std::string m_after; ///< jobs list: id of the last job of the previous page
    std::uint32_t m_limit = 0; ///< jobs list: maximum number of jobs
    std::uint32_t m_deadlineMs = 0;
    bool m_idempotent = false;
    bool m_json = false;
    bool m_toml = false;
    Milliseconds m_followInterval{1'000}; ///< jobs follow: pause between two reads of the job

    /// @brief Reads the values of the flags from gflags and validates them.
    /// @returns the options, or ErrorCode::BadRequest with a message that names the flag and the expected value
    [[nodiscard]] static auto fromFlags() -> Result<ControlOptions>;
};

/// @brief The flags of burdockspurctl, for its command line and help text.
[[nodiscard]] auto controlFlags() -> std::span<const ProgramFlag>;
}

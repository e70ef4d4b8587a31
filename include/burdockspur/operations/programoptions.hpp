#pragma once

#include "burdockspur/core/error.hpp"

#include <array>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief Exit code of a program whose command line or settings are wrong.
inline constexpr int exitBadUsage = 2;

/// @brief One flag in the help text of a program; a gflags flag of the same name holds its value.
struct ProgramFlag {
    std::string_view m_name;
    std::string_view m_placeholder; ///< name of the value in the help text, e.g. `FILE`; empty for a switch
    std::string_view m_help;
};

/// @brief Flags of every daemon; programoptions.cpp defines them with gflags.
inline constexpr std::array<ProgramFlag, 3> daemonFlags{{
    {"settings", "FILE", "settings file in TOML; required"},
    {"check", "", "validate the settings, print the errors and exit (exit code 0: valid, 2: not valid)"},
    {"print_defaults", "", "print a commented settings file with the defaults and exit"},
}};

/// @brief Name, usage, summary and flags of a program, for its help text.
struct ProgramDescription {
    std::string_view m_name;
    std::string_view m_usage; ///< the part after the name, e.g. `--settings FILE`
    std::string_view m_summary; ///< one or more lines
    std::span<const ProgramFlag> m_flags; ///< without `help` and `version`, which every program has
};

/// @brief The command line of a program, parsed into gflags.
///
/// Accepts only the flags of the description and refuses gflags' own flags, which read files and the environment.
/// Returns an Error for a wrong flag, where gflags would exit the process with code 1.
///
/// @code
/// const auto options = ProgramOptions::parse(description, std::span(argv, argc));
/// @endcode
class ProgramOptions
{
public:
    /// @param description the flags that are accepted
    /// @param arguments as given to main(), with the program's name first
    /// @returns the options, or ErrorCode::BadRequest with a message that names the flag and the expected value
    [[nodiscard]] static auto parse(const ProgramDescription &description, std::span<char *const> arguments) -> Result<ProgramOptions>;

    /// @brief Arguments that are not flags, as views of the arguments of main().
    [[nodiscard]] auto positional() const noexcept -> std::span<const std::string_view>
    {
        return m_positional;
    }

    /// @brief True when a flag was given, unless it is a switch with the value `false`.
    [[nodiscard]] auto has(std::string_view flag) const noexcept -> bool;

private:
    // Returns the number of arguments consumed: 2 when the value is a separate argument, otherwise 1.
    [[nodiscard]] auto parseFlag(const ProgramDescription &description, std::span<char *const> arguments) -> Result<std::size_t>;

    std::vector<std::string_view> m_positional;
    std::vector<std::string_view> m_given;
};

/// @brief Text of `--help`: usage, summary and the program's flags, without those of gflags.
[[nodiscard]] auto helpText(const ProgramDescription &description) -> std::string;

/// @brief Text of `--version`.
[[nodiscard]] auto versionText(const ProgramDescription &description) -> std::string;

/// @brief Value of `--settings`.
[[nodiscard]] auto settingsFlag() -> std::string_view;
}

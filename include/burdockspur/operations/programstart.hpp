#pragma once

#include "burdockspur/operations/programoptions.hpp"
#include "burdockspur/operations/settingstable.hpp"

#include <expected>
#include <ostream>
#include <span>

namespace Burdockspur
{
/// @brief Handles the flags that end a program at once.
/// @param description of the program
/// @param arguments as given to main()
/// @param table rows for `--print_defaults`
/// @param out for texts that were asked for
/// @param err for errors
/// @returns the options of a program that goes on, or the exit code
[[nodiscard]] auto parseCommandLine(const ProgramDescription &description,
                                    std::span<char *const> arguments,
                                    std::span<const SettingDescription> table,
                                    std::ostream &out,
                                    std::ostream &err) -> std::expected<ProgramOptions, int>;

/// @brief Parses the command line of a daemon and loads its settings.
///
/// @code
/// const auto settings = startProgram<EntrySettings>(description, entryFields, std::span(argv, argc), std::cout, std::cerr);
/// if (!settings) { return settings.error(); }
/// @endcode
/// @returns the settings, or the exit code: 0 after `--help`, `--version`, `--print_defaults` and a
/// successful `--check`, 2 after a wrong flag or wrong settings
template<typename Settings>
[[nodiscard]] auto startProgram(const ProgramDescription &description,
                                SettingsTable<Settings> table,
                                std::span<char *const> arguments,
                                std::ostream &out,
                                std::ostream &err,
                                std::span<const SettingsCheck<Settings>> checks = {}) -> std::expected<Settings, int>
{
    const auto options = parseCommandLine(description, arguments, describeSettings<Settings>(table), out, err);
    if (!options) {
        return std::unexpected(options.error());
    }
    auto settings = loadSettings<Settings>(settingsFlag(), table, checks);
    if (!settings) {
        err << settings.error().m_message << '\n';
        return std::unexpected(exitBadUsage);
    }
    if (options->has("check")) {
        out << settingsFlag() << ": valid\n";
        return std::unexpected(0);
    }
    return std::move(*settings);
}
}

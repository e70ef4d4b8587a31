#pragma once

#include "burdockspur/core/processsignals.hpp"
#include "burdockspur/operations/programoptions.hpp"
#include "burdockspur/operations/settingstable.hpp"

#include <expected>
#include <ostream>
#include <span>

namespace Burdockspur
{
/// @brief Parses the command line of a daemon and handles `--help`, `--version` and `--print_defaults`.
/// @param description name, usage and flags of the program
/// @param arguments as given to main()
/// @param table settings for `--print_defaults`
/// @param out receives the requested text
/// @param err receives errors
/// @returns the options, or the exit code when the program must exit
[[nodiscard]] auto parseCommandLine(const ProgramDescription &description,
                                    std::span<char *const> arguments,
                                    std::span<const SettingDescription> table,
                                    std::ostream &out,
                                    std::ostream &err) -> std::expected<ProgramOptions, int>;

/// @brief Parses the command line of a daemon and loads its settings.
///
/// @code
/// const auto settings = startProgram<EntrySettings>(signals, description, entryFields, std::span(argv, argc), std::cout, std::cerr);
/// if (!settings) { return settings.error(); }
/// @endcode
/// @param signals a signal that comes while the settings are read stays pending until SignalWatcher reads it
/// @returns the settings, or the exit code: 0 after `--help`, `--version`, `--print_defaults` and a
/// successful `--check`, 2 after a wrong flag or wrong settings
template<typename Settings>
[[nodiscard]] auto startProgram(const ProcessSignals & /*signals*/,
                                const ProgramDescription &description,
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

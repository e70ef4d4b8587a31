#include "burdockspur/operations/programstart.hpp"

namespace Burdockspur
{
auto parseCommandLine(const ProgramDescription &description,
                      std::span<char *const> arguments,
                      std::span<const SettingDescription> table,
                      std::ostream &out,
                      std::ostream &err) -> std::expected<ProgramOptions, int>
{
    auto options = ProgramOptions::parse(description, arguments);
    if (!options) {
        err << description.m_name << ": " << options.error().m_message << '\n';
        return std::unexpected(exitBadUsage);
    }
    if (options->has("help")) {
        out << helpText(description);
        return std::unexpected(0);
    }
    if (options->has("version")) {
        out << versionText(description);
        return std::unexpected(0);
    }
    if (options->has("print_defaults")) {
        out << defaultSettingsText(table);
        return std::unexpected(0);
    }
    if (!options->positional().empty()) {
        err << description.m_name << ": unexpected argument '" << options->positional().front() << "', expected only flags\n";
        return std::unexpected(exitBadUsage);
    }
    if (settingsFlag().empty()) {
        err << description.m_name << ": no settings file, expected --settings FILE\n";
        return std::unexpected(exitBadUsage);
    }
    return std::move(*options);
}
}

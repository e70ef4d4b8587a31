#include "burdockspur/fleet/fleetsettings.hpp"
#include "burdockspur/host/entrysettings.hpp"
#include "burdockspur/operations/settingstable.hpp"
#include "burdockspur/shard/schedulersettings.hpp"

#include <iostream>

using namespace Burdockspur;

namespace
{
template<typename Settings>
auto printSection(std::string_view program, SettingsTable<Settings> table) -> void
{
    std::cout << "\n## " << program << "\n\n" << settingsMarkdown(describeSettings<Settings>(table));
}
}

/// @brief Prints docs/settings.md from the settings tables of the daemons.
auto main() -> int
{
    std::cout << "# Settings\n\n"
                 "Generated from the settings tables by `settingspage`; a test compares this page with them. Each daemon\n"
                 "reads one TOML file; a dotted key such as `admin.port` is the key `port` in the section `[admin]`.\n"
                 "`--check` validates a file, `--print_defaults` prints one with the defaults. The range of a text is\n"
                 "its length.\n";
    printSection("burdockspur-entry", entrySettingsTable());
    printSection("burdockspur-scheduler", schedulerFields());
    printSection("burdockspur-host", fleetSettingsTable());
    return 0;
}

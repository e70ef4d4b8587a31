#include "burdockspur/operations/programoptions.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <optional>

DEFINE_string(settings, "", "settings file in TOML");
DEFINE_bool(check, false, "validate the settings and exit");
DEFINE_bool(print_defaults, false, "print a settings file with the defaults and exit");

namespace Burdockspur
{
namespace
{
constexpr std::array<ProgramFlag, 2> generalFlags{{
    {"help", "", "print this text and exit"},
    {"version", "", "print the version and exit"},
}};

[[nodiscard]] auto findFlag(const ProgramDescription &description, std::string_view name) noexcept -> const ProgramFlag *
{
    for (const auto flags : {description.m_flags, std::span<const ProgramFlag>(generalFlags)}) {
        const auto found = std::ranges::find(flags, name, &ProgramFlag::m_name);
        if (found != flags.end()) {
            return &*found;
        }
    }
    return nullptr;
}

struct SplitFlag {
    std::string_view m_name;
    std::optional<std::string_view> m_value;
};

[[nodiscard]] auto splitFlag(std::string_view argument) noexcept -> SplitFlag
{
    argument.remove_prefix(argument.starts_with("--") ? 2 : 1);
    const auto equals = argument.find('=');
    if (equals == std::string_view::npos) {
        return {argument, std::nullopt};
    }
    return {argument.substr(0, equals), argument.substr(equals + 1)};
}

[[nodiscard]] auto isFlag(std::string_view argument) noexcept -> bool
{
    return argument.size() > 1 && argument.starts_with('-');
}

[[nodiscard]] auto setFlag(std::string_view name, std::string_view value) -> bool
{
    // SetCommandLineOption() returns an empty text for a value of the wrong type.
    return !gflags::SetCommandLineOption(std::string(name).c_str(), std::string(value).c_str()).empty();
}

auto appendFlag(std::string &text, const ProgramFlag &flag) -> void
{
    constexpr std::size_t helpColumn = 30;
    std::string line = "  --" + std::string(flag.m_name);
    if (!flag.m_placeholder.empty()) {
        line.append(" ").append(flag.m_placeholder);
    }
    line.resize(std::max(helpColumn, line.size() + 2), ' ');
    text.append(line).append(flag.m_help).append("\n");
}
}

auto ProgramOptions::parse(const ProgramDescription &description, std::span<char *const> arguments) -> Result<ProgramOptions>
{
    ProgramOptions options;
    for (std::size_t i = 1; i < arguments.size(); ++i) {
        const std::string_view argument = arguments[i];
        if (argument == "--") {
            const auto rest = arguments.subspan(i + 1);
            options.m_positional.insert(options.m_positional.end(), rest.begin(), rest.end());
            break;
        }
        if (!isFlag(argument)) {
            options.m_positional.push_back(argument);
            continue;
        }
        const auto consumed = options.parseFlag(description, arguments.subspan(i));
        if (!consumed) {
            return std::unexpected(consumed.error());
        }
        i += *consumed - 1;
    }
    return options;
}

auto ProgramOptions::parseFlag(const ProgramDescription &description, std::span<char *const> arguments) -> Result<std::size_t>
{
    const std::string_view argument = arguments.front();
    auto [name, value] = splitFlag(argument);
    const auto *const flag = findFlag(description, name);
    if (flag == nullptr) {
        return failure(ErrorCode::BadRequest, "unknown flag " + std::string(argument) + ", expected one of those that --help shows");
    }
    const bool isSwitch = flag->m_placeholder.empty();
    const bool usesNextArgument = !value && !isSwitch && arguments.size() > 1 && !std::string_view(arguments[1]).starts_with("--");
    if (!value && isSwitch) {
        value = "true";
    } else if (usesNextArgument) {
        value = arguments[1];
    }
    const std::string expected = isSwitch ? "true or false" : std::string(flag->m_placeholder);
    if (!value) {
        return failure(ErrorCode::BadRequest, "flag --" + std::string(name) + " has no value, expected " + expected);
    }
    if (!setFlag(flag->m_name, *value)) {
        return failure(ErrorCode::BadRequest, "flag --" + std::string(name) + ": '" + std::string(*value) + "' is not valid, expected " + expected);
    }
    m_given.push_back(flag->m_name);
    return usesNextArgument ? 2 : 1;
}

auto ProgramOptions::has(std::string_view flag) const noexcept -> bool
{
    // A switch may be given with a value, e.g. --check=false.
    std::string value;
    return std::ranges::find(m_given, flag) != m_given.end() && gflags::GetCommandLineOption(std::string(flag).c_str(), &value) && value != "false";
}

auto helpText(const ProgramDescription &description) -> std::string
{
    std::string text = "usage: ";
    text.append(description.m_name).append(" ").append(description.m_usage).append("\n").append(description.m_summary).append("\n\nflags:\n");
    for (const auto &flag : description.m_flags) {
        appendFlag(text, flag);
    }
    for (const auto &flag : generalFlags) {
        appendFlag(text, flag);
    }
    return text;
}

auto versionText(const ProgramDescription &description) -> std::string
{
    return std::string(description.m_name) + " " + BURDOCKSPUR_VERSION + "\n";
}

auto settingsFlag() -> std::string_view
{
    return FLAGS_settings;
}
}

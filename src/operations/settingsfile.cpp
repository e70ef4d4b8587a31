#include "burdockspur/operations/settingsfile.hpp"

#include "burdockspur/impl/ipaddress.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cmath>
#include <fstream>
#include <sstream>
#include <system_error>

namespace Burdockspur
{
namespace
{
// A settings file has a few KB; the limit prevents a wrong path, e.g. of a device, from exhausting the memory.
constexpr std::size_t maxFileBytes = 1024UL * 1024UL;

struct FileError {
    std::size_t m_line = 1;
    std::string m_key;
    std::string m_text;
};

[[nodiscard]] auto numberText(double value) -> std::string
{
    constexpr double largestExact = 9007199254740992.0;
    if (value == std::floor(value) && std::abs(value) <= largestExact) {
        return std::to_string(static_cast<std::int64_t>(value));
    }
    std::ostringstream text;
    text << value;
    return text.str();
}

// Limits above largestShown come only from the type of the member, so they are not shown.
[[nodiscard]] auto isShown(double limit) noexcept -> bool
{
    constexpr double largestShown = 1e15;
    return std::isfinite(limit) && std::abs(limit) <= largestShown;
}

[[nodiscard]] auto rangeText(const SettingDescription &row) -> std::string
{
    const bool hasMinimum = isShown(row.m_range.m_minimum);
    const bool hasMaximum = isShown(row.m_range.m_maximum);
    std::string text;
    if (hasMinimum && hasMaximum) {
        text = numberText(row.m_range.m_minimum) + " to " + numberText(row.m_range.m_maximum);
    } else if (hasMinimum) {
        text = "at least " + numberText(row.m_range.m_minimum);
    } else if (hasMaximum) {
        text = "at most " + numberText(row.m_range.m_maximum);
    }
    if (!text.empty() && row.m_kind == SettingKind::Text) {
        text += " characters";
    }
    return text;
}

[[nodiscard]] auto isInRange(const SettingRange &range, double value) noexcept -> bool
{
    return value >= range.m_minimum && value <= range.m_maximum;
}

using Reader = std::optional<SettingValue> (*)(const toml::node &node);

[[nodiscard]] auto readText(const toml::node &node) -> std::optional<SettingValue>
{
    const auto *const value = node.as_string();
    return value == nullptr ? std::nullopt : std::optional<SettingValue>(value->get());
}

[[nodiscard]] auto readIpAddress(const toml::node &node) -> std::optional<SettingValue>
{
    auto value = readText(node);
    return value && isIpAddress(std::get<std::string>(*value)) ? value : std::nullopt;
}

[[nodiscard]] auto readInteger(const toml::node &node) -> std::optional<SettingValue>
{
    const auto *const value = node.as_integer();
    return value == nullptr ? std::nullopt : std::optional<SettingValue>(value->get());
}

[[nodiscard]] auto readNumber(const toml::node &node) -> std::optional<SettingValue>
{
    if (const auto *const value = node.as_floating_point()) {
        return SettingValue(value->get());
    }
    if (const auto *const value = node.as_integer()) {
        return SettingValue(static_cast<double>(value->get()));
    }
    return std::nullopt;
}

[[nodiscard]] auto readBoolean(const toml::node &node) -> std::optional<SettingValue>
{
    const auto *const value = node.as_boolean();
    return value == nullptr ? std::nullopt : std::optional<SettingValue>(value->get());
}

struct KindEntry {
    SettingKind m_kind;
    std::string_view m_name;
    std::string_view m_expected;
    Reader m_read;
};

constexpr auto kindTable = std::to_array<KindEntry>({
    {SettingKind::Text, "text", "text in quotes", &readText},
    {SettingKind::IpAddress, "IP address", "an IP address in quotes", &readIpAddress},
    {SettingKind::Integer, "integer", "an integer", &readInteger},
    {SettingKind::DurationMs, "milliseconds", "an integer in milliseconds", &readInteger},
    {SettingKind::Number, "number", "a number", &readNumber},
    {SettingKind::Boolean, "boolean", "true or false", &readBoolean},
});

[[nodiscard]] auto kindEntry(SettingKind kind) noexcept -> const KindEntry &
{
    return kindTable[static_cast<std::size_t>(kind)];
}

// The number that the range of a setting limits: the length of a text, or the value itself.
[[nodiscard]] auto rangedValue(const SettingValue &value) -> double
{
    if (const auto *const text = std::get_if<std::string>(&value)) {
        return static_cast<double>(text->size());
    }
    if (const auto *const integer = std::get_if<std::int64_t>(&value)) {
        return static_cast<double>(*integer);
    }
    const auto *const number = std::get_if<double>(&value);
    return number == nullptr ? 0.0 : *number;
}

[[nodiscard]] auto expectedText(const SettingDescription &row) -> std::string
{
    std::string text(kindEntry(row.m_kind).m_expected);
    const auto range = rangeText(row);
    return range.empty() ? text : text + ", " + range;
}

[[nodiscard]] auto shortened(std::string text) -> std::string
{
    constexpr std::size_t maxLength = 60;
    std::ranges::replace(text, '\n', ' ');
    if (text.size() > maxLength) {
        text.resize(maxLength);
        text += "...";
    }
    return text;
}

[[nodiscard]] auto nodeText(const toml::node &node) -> std::string
{
    if (node.is_table()) {
        return "a table";
    }
    if (node.is_array()) {
        return "an array";
    }
    std::ostringstream text;
    node.visit([&text](const auto &value) {
        text << value;
    });
    return shortened(text.str());
}

[[nodiscard]] auto isBareKey(std::string_view key) noexcept -> bool
{
    constexpr std::string_view bareCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-";
    return !key.empty() && key.find_first_not_of(bareCharacters) == std::string_view::npos;
}

[[nodiscard]] auto joinedKey(std::string_view section, std::string_view key) -> std::string
{
    std::string text(section);
    if (!text.empty()) {
        text += '.';
    }
    // Quoted, so that a key that contains a dot is not mistaken for a key in a section.
    return isBareKey(key) ? text.append(key) : text.append("\"").append(key).append("\"");
}

[[nodiscard]] auto sectionOf(std::string_view key) noexcept -> std::string_view
{
    const auto dot = key.rfind('.');
    return dot == std::string_view::npos ? std::string_view() : key.substr(0, dot);
}

[[nodiscard]] auto nameOf(std::string_view key) noexcept -> std::string_view
{
    const auto dot = key.rfind('.');
    return dot == std::string_view::npos ? key : key.substr(dot + 1);
}

class SettingsParser
{
public:
    SettingsParser(std::string_view file, std::span<const SettingDescription> table)
        : m_file(file)
        , m_table(table)
        , m_values(table.size())
    {
    }

    auto parse(std::string_view text) -> Result<SettingValues>
    {
        readDocument(text);
        if (m_errors.empty()) {
            return std::move(m_values);
        }
        std::ranges::stable_sort(m_errors, {}, &FileError::m_line);
        std::string lines;
        for (const auto &error : m_errors) {
            lines.append(lines.empty() ? "" : "\n").append(m_file).append(":").append(std::to_string(error.m_line)).append(": ");
            lines.append(error.m_key).append(error.m_key.empty() ? "" : ": ").append(error.m_text);
        }
        return failure(ErrorCode::BadSettings, std::move(lines));
    }

private:
    auto readDocument(std::string_view text) -> void
    {
        try {
            const toml::table document = toml::parse(text, m_file);
            readSection(document, "");
            requireKeys(document);
        } catch (const toml::parse_error &error) {
            const std::size_t line = error.source().begin.line;
            m_errors.push_back({line, "", "not valid TOML: " + std::string(error.description())});
        }
    }

    auto readSection(const toml::table &section, std::string_view prefix) -> void
    {
        for (const auto &[name, node] : section) {
            readNode(joinedKey(prefix, name.str()), node, name.source().begin.line);
        }
    }

    auto readNode(const std::string &key, const toml::node &node, std::size_t line) -> void
    {
        const auto row = std::ranges::find(m_table, key, &SettingDescription::m_key);
        if (row != m_table.end()) {
            readValue(static_cast<std::size_t>(row - m_table.begin()), node, line);
        } else if (isSection(key) && node.is_table()) {
            readSection(*node.as_table(), key);
        } else if (isSection(key)) {
            m_errors.push_back({line, key, "found " + nodeText(node) + ", expected a section [" + key + "]"});
        } else {
            m_errors.push_back({line, key, "unknown key, expected one of: " + knownKeys(sectionOf(key))});
        }
    }

    auto readValue(std::size_t index, const toml::node &node, std::size_t line) -> void
    {
        const auto &row = m_table[index];
        auto value = kindEntry(row.m_kind).m_read(node);
        m_presentKeys.push_back(row.m_key);
        if (!value || (row.m_kind != SettingKind::IpAddress && row.m_kind != SettingKind::Boolean && !isInRange(row.m_range, rangedValue(*value)))) {
            m_errors.push_back({line, std::string(row.m_key), "found " + nodeText(node) + ", expected " + expectedText(row)});
            return;
        }
        m_values[index] = SettingEntry{std::move(*value), line};
    }

    auto requireKeys(const toml::table &document) -> void
    {
        for (const auto &row : m_table) {
            if (row.m_presence == SettingPresence::Required && std::ranges::find(m_presentKeys, row.m_key) == m_presentKeys.end()) {
                m_errors.push_back({lineOfSection(document, sectionOf(row.m_key)), std::string(row.m_key), "missing, expected " + expectedText(row)});
            }
        }
    }

    [[nodiscard]] auto isSection(std::string_view key) const -> bool
    {
        const std::string start = std::string(key) + ".";
        return std::ranges::any_of(m_table, [&start](const auto &row) {
            return row.m_key.starts_with(start);
        });
    }

    [[nodiscard]] auto knownKeys(std::string_view section) const -> std::string
    {
        std::string keys;
        const std::string start = section.empty() ? "" : std::string(section) + ".";
        for (const auto &row : m_table) {
            if (row.m_key.starts_with(start)) {
                keys.append(keys.empty() ? "" : ", ").append(row.m_key);
            }
        }
        return keys;
    }

    [[nodiscard]] static auto lineOfSection(const toml::table &document, std::string_view section) -> std::size_t
    {
        const auto node = section.empty() ? toml::node_view<const toml::node>() : document.at_path(section);
        return node ? std::max<std::size_t>(1, node.node()->source().begin.line) : 1;
    }

    std::string_view m_file;
    std::span<const SettingDescription> m_table;
    SettingValues m_values;
    std::vector<std::string_view> m_presentKeys;
    std::vector<FileError> m_errors;
};

[[nodiscard]] auto tomlText(const SettingValue &value) -> std::string
{
    std::ostringstream text;
    std::visit(
        [&text](const auto &content) {
            text << toml::value(content);
        },
        value);
    return text.str();
}

[[nodiscard]] auto detailText(const SettingDescription &row) -> std::string
{
    std::string text(kindEntry(row.m_kind).m_name);
    const auto range = rangeText(row);
    if (!range.empty()) {
        text += ", " + range;
    }
    if (!row.m_unit.empty()) {
        text.append(" ").append(row.m_unit);
    }
    return row.m_presence == SettingPresence::Required ? text + "; required" : text;
}

auto appendDefault(std::string &text, const SettingDescription &row) -> void
{
    text.append("# ").append(row.m_help).append(" (").append(detailText(row)).append(")\n");
    if (row.m_presence == SettingPresence::Required) {
        text.append("# ").append(nameOf(row.m_key)).append(" =\n");
    } else {
        text.append(nameOf(row.m_key)).append(" = ").append(tomlText(row.m_default)).append("\n");
    }
}

[[nodiscard]] auto sectionsOf(std::span<const SettingDescription> table) -> std::vector<std::string_view>
{
    // Keys without a section come first, because after a section header they would belong to that section.
    std::vector<std::string_view> sections{""};
    for (const auto &row : table) {
        if (std::ranges::find(sections, sectionOf(row.m_key)) == sections.end()) {
            sections.push_back(sectionOf(row.m_key));
        }
    }
    return sections;
}
}

auto parseSettings(std::string_view file, std::string_view text, std::span<const SettingDescription> table) -> Result<SettingValues>
{
    return SettingsParser(file, table).parse(text);
}

auto readTextFile(std::string_view path) -> Result<std::string>
{
    const std::string name(path);
    std::ifstream file(name, std::ios::binary);
    if (!file) {
        return failure(ErrorCode::BadSettings, name + ": cannot be opened: " + std::generic_category().message(errno));
    }
    std::string text(maxFileBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (file.bad()) {
        return failure(ErrorCode::BadSettings, name + ": cannot be read, expected a text file");
    }
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > maxFileBytes) {
        return failure(ErrorCode::BadSettings, name + ": larger than 1 MiB, expected a text file of a few KB");
    }
    return text;
}

auto defaultSettingsText(std::span<const SettingDescription> table) -> std::string
{
    std::string text;
    for (const auto section : sectionsOf(table)) {
        if (!section.empty()) {
            text.append(text.empty() ? "[" : "\n[").append(section).append("]\n");
        }
        for (const auto &row : table) {
            if (sectionOf(row.m_key) == section) {
                appendDefault(text, row);
            }
        }
    }
    return text;
}

auto settingsMarkdown(std::span<const SettingDescription> table) -> std::string
{
    std::string text = "| key | type | default | range | unit | meaning |\n|---|---|---|---|---|---|\n";
    for (const auto &row : table) {
        const auto defaultText = row.m_presence == SettingPresence::Required ? std::string("required") : "`" + tomlText(row.m_default) + "`";
        text.append("| `").append(row.m_key).append("` | ").append(kindEntry(row.m_kind).m_name).append(" | ").append(defaultText);
        text.append(" | ").append(rangeText(row)).append(" | ").append(row.m_unit).append(" | ").append(row.m_help).append(" |\n");
    }
    return text;
}
}

#pragma once

#include "burdockspur/operations/settingsfield.hpp"

#include <QJsonObject>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief Typed access to the members of a JSON object; each invalid member adds a line to a list of errors.
///
/// A line is `path: found ..., expected ...`, e.g. `presets[1].tail_weight: found 11, expected a number, 0 to 10`.
class JsonReader
{
public:
    /// @param object members to read
    /// @param path of the object in its document; empty for the document itself
    /// @param errors appended to; outlives the reader
    JsonReader(QJsonObject object, std::string path, std::vector<std::string> &errors);

    /// @brief Parses a text that must be one JSON object.
    /// @param text any bytes
    /// @param errors appended to
    [[nodiscard]] static auto parse(std::string_view text, std::vector<std::string> &errors) -> std::optional<JsonReader>;

    [[nodiscard]] auto has(std::string_view name) const -> bool;
    [[nodiscard]] auto text(std::string_view name, const SettingRange &length) -> std::optional<std::string>;
    [[nodiscard]] auto integer(std::string_view name, const SettingRange &range) -> std::optional<std::int64_t>;
    [[nodiscard]] auto number(std::string_view name, const SettingRange &range) -> std::optional<double>;
    [[nodiscard]] auto boolean(std::string_view name) -> std::optional<bool>;

    /// @brief Reads a text that must be one of the given names; returns its index in them.
    [[nodiscard]] auto choice(std::string_view name, std::span<const std::string_view> names) -> std::optional<std::size_t>;
    [[nodiscard]] auto object(std::string_view name) -> std::optional<JsonReader>;

    /// @brief Reads an array of objects; returns one reader for each, or none after an error.
    [[nodiscard]] auto objects(std::string_view name) -> std::vector<JsonReader>;

    /// @brief Reads an array of texts; empty after an error.
    [[nodiscard]] auto texts(std::string_view name, const SettingRange &length) -> std::vector<std::string>;

    /// @brief Reports every member that is not in the list.
    auto refuseUnknown(std::span<const std::string_view> known) -> void;

    /// @brief Adds an error about a member.
    /// @param name of the member
    /// @param expected what it should be
    auto report(std::string_view name, std::string_view expected) -> void;

private:
    [[nodiscard]] auto value(std::string_view name) const -> QJsonValue;
    [[nodiscard]] auto pathOf(std::string_view name) const -> std::string;

    QJsonObject m_object;
    std::string m_path;
    std::vector<std::string> *m_errors;
};

/// @brief Joins the errors of a document into one message.
[[nodiscard]] auto joinedErrors(std::span<const std::string> errors, std::string_view separator) -> std::string;

/// @brief Compact JSON text of an object.
[[nodiscard]] auto jsonText(const QJsonObject &object) -> std::string;

/// @brief Text as a JSON string; bytes that are not UTF-8 are replaced.
[[nodiscard]] auto jsonString(std::string_view text) -> QString;
}

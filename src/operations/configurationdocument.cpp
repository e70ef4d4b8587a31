#include "burdockspur/operations/configurationdocument.hpp"

#include "burdockspur/impl/jsonfield.hpp"

#include <QByteArray>
#include <QJsonArray>
#include <QtEndian>

#include <array>
#include <set>

namespace Burdockspur
{
namespace
{
constexpr SettingRange nameLength{1, 128};
constexpr SettingRange presetWeight{0, 10};
constexpr SettingRange teamWeight{0.01, 100};
// Keeps sums over all teams and workers far below the range of 64 bits.
constexpr SettingRange amountRange{0, 1e12};
constexpr SettingRange latencyRange{0, 3'600'000};
// Below 100%, because an objective of 100% allows no error budget.
constexpr SettingRange objectiveRange{50, 99.999};
constexpr auto optional = SettingPresence::Optional;

constexpr std::array<JsonField<Configuration>, 2> documentFields{{
    {"shards", &memberOf<Configuration, &Configuration::m_shards>, {1, 1024}},
    {"preset_in_force", &memberOf<Configuration, &Configuration::m_presetInForce>, nameLength},
}};

constexpr std::array<JsonField<Preset>, 5> presetFields{{
    {"name", &memberOf<Preset, &Preset::m_name>, nameLength},
    {"tail_weight", &memberOf<Preset, &Preset::m_tailWeight>, presetWeight, optional},
    {"batch_weight", &memberOf<Preset, &Preset::m_batchWeight>, presetWeight, optional},
    {"eviction_weight", &memberOf<Preset, &Preset::m_evictionWeight>, presetWeight, optional},
    {"accept_batch", &memberOf<Preset, &Preset::m_acceptBatch>, {}, optional},
}};

constexpr std::array<JsonField<ServiceDefinition>, 6> serviceFields{{
    {"name", &memberOf<ServiceDefinition, &ServiceDefinition::m_name>, nameLength},
    {"cpu_millis", &memberOf<ServiceDefinition, &ServiceDefinition::m_reservation, &Resources::m_cpuMillis>, amountRange, optional},
    {"memory_mb", &memberOf<ServiceDefinition, &ServiceDefinition::m_reservation, &Resources::m_memoryMb>, amountRange, optional},
    {"accelerators", &memberOf<ServiceDefinition, &ServiceDefinition::m_reservation, &Resources::m_accelerators>, amountRange, optional},
    {"latency_target_ms", &memberOf<ServiceDefinition, &ServiceDefinition::m_latencyTargetMs>, latencyRange, optional},
    {"objective_percent", &memberOf<ServiceDefinition, &ServiceDefinition::m_objectivePercent>, objectiveRange, optional},
}};

constexpr std::array<JsonField<TeamQuota>, 5> teamFields{{
    {"team", &memberOf<TeamQuota, &TeamQuota::m_team>, nameLength},
    {"cpu_millis", &memberOf<TeamQuota, &TeamQuota::m_limit, &Resources::m_cpuMillis>, amountRange},
    {"memory_mb", &memberOf<TeamQuota, &TeamQuota::m_limit, &Resources::m_memoryMb>, amountRange},
    {"accelerators", &memberOf<TeamQuota, &TeamQuota::m_limit, &Resources::m_accelerators>, amountRange, optional},
    {"weight", &memberOf<TeamQuota, &TeamQuota::m_weight>, teamWeight, optional},
}};

constexpr std::array<std::string_view, 6> documentMembers{"shards", "preset_in_force", "presets", "services", "teams", "changes"};

// Reads an array of objects with distinct names.
template<typename Object>
[[nodiscard]] auto readEntries(JsonReader &document, std::string_view member, std::span<const JsonField<Object>> table, std::string Object::*name)
    -> std::vector<Object>
{
    std::vector<Object> entries;
    if (!document.has(member)) {
        return entries;
    }
    const auto known = fieldNames<Object>(table);
    std::set<std::string> names;
    for (auto &reader : document.objects(member)) {
        Object object;
        readFields<Object>(reader, table, object);
        reader.refuseUnknown(known);
        if (!(object.*name).empty() && !names.insert(object.*name).second) {
            reader.report(known.front(), "a name that occurs once in " + std::string(member));
        }
        entries.push_back(std::move(object));
    }
    return entries;
}

[[nodiscard]] auto hasPreset(const Configuration &configuration, std::string_view name) -> bool
{
    return std::ranges::find(configuration.m_presets, name, &Preset::m_name) != configuration.m_presets.end();
}

auto checkPresetInForce(JsonReader &reader, const Configuration &configuration) -> void
{
    if (configuration.m_presetInForce.empty() || hasPreset(configuration, configuration.m_presetInForce)) {
        return;
    }
    std::string names;
    for (const auto &preset : configuration.m_presets) {
        names.append(names.empty() ? "" : ", ").append(preset.m_name);
    }
    reader.report("preset_in_force", "the name of one of the presets: " + (names.empty() ? "there is none" : names));
}

auto readConfiguration(JsonReader &reader, Configuration &configuration) -> void
{
    readFields<Configuration>(reader, documentFields, configuration);
    configuration.m_presets = readEntries<Preset>(reader, "presets", presetFields, &Preset::m_name);
    configuration.m_services = readEntries<ServiceDefinition>(reader, "services", serviceFields, &ServiceDefinition::m_name);
    configuration.m_teams = readEntries<TeamQuota>(reader, "teams", teamFields, &TeamQuota::m_team);
    reader.refuseUnknown(documentMembers);
    checkPresetInForce(reader, configuration);
}

template<typename Object>
[[nodiscard]] auto writeEntries(std::span<const JsonField<Object>> table, std::span<const Object> entries) -> QJsonArray
{
    QJsonArray array;
    for (const auto &entry : entries) {
        array.append(writeFields<Object>(table, entry));
    }
    return array;
}

[[nodiscard]] auto writeConfiguration(const Configuration &configuration) -> QJsonObject
{
    auto document = writeFields<Configuration>(documentFields, configuration);
    document.insert("presets", writeEntries<Preset>(presetFields, configuration.m_presets));
    document.insert("services", writeEntries<ServiceDefinition>(serviceFields, configuration.m_services));
    document.insert("teams", writeEntries<TeamQuota>(teamFields, configuration.m_teams));
    return document;
}

// Every daemon keeps the document in memory and reads it each second.
constexpr std::size_t maxDocumentBytes = 256UL * 1024UL;

// A compressed row starts with the size of the text in big-endian order; its first byte is 0 because of maxDocumentBytes.
[[nodiscard]] auto isCompressed(std::string_view bytes) noexcept -> bool
{
    return bytes.size() > sizeof(quint32) && bytes.front() == '\0';
}

[[nodiscard]] auto uncompressedText(std::string_view bytes) -> Result<std::string>
{
    const bool mustUncompress = isCompressed(bytes);
    const std::size_t size = mustUncompress ? qFromBigEndian<quint32>(bytes.data()) : bytes.size();
    if (size > maxDocumentBytes) {
        return failure(ErrorCode::BadRequest, "found " + std::to_string(size) + " bytes, expected at most " + std::to_string(maxDocumentBytes));
    }
    return mustUncompress ? qUncompress(QByteArray(bytes.data(), static_cast<qsizetype>(bytes.size()))).toStdString() : std::string(bytes);
}
}

auto ConfigurationDocument::parse(std::string_view text, ConfigVersion version) -> Result<ConfigurationDocument>
{
    const auto json = uncompressedText(text);
    if (!json) {
        return std::unexpected(json.error());
    }
    std::vector<std::string> errors;
    ConfigurationDocument document;
    document.m_configuration.m_version = version;
    if (auto reader = JsonReader::parse(*json, errors)) {
        readConfiguration(*reader, document.m_configuration);
        if (reader->has("changes")) {
            document.m_changeIds = reader->texts("changes", nameLength);
        }
    }
    if (!errors.empty()) {
        return failure(ErrorCode::BadRequest, joinedErrors(errors, "\n"));
    }
    return document;
}

auto ConfigurationDocument::textOf(const Configuration &configuration) -> std::string
{
    return jsonText(writeConfiguration(configuration));
}

auto ConfigurationDocument::rowBytes() const -> std::string
{
    auto document = writeConfiguration(m_configuration);
    QJsonArray changes;
    for (const auto &change : m_changeIds) {
        changes.append(jsonString(change));
    }
    document.insert("changes", changes);
    return qCompress(QByteArray::fromStdString(jsonText(document))).toStdString();
}
}

#include "burdockspur/operations/configurationdocument.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
constexpr std::string_view valid = R"({"shards": 16, "preset_in_force": "peak",
 "presets": [{"name": "ordinary"}, {"name": "peak", "tail_weight": 9.5, "batch_weight": 0, "eviction_weight": 2, "accept_batch": false}],
 "services": [{"name": "routes", "cpu_millis": 500, "memory_mb": 256, "latency_target_ms": 50}],
 "teams": [{"team": "renders", "cpu_millis": 64000, "memory_mb": 100000, "accelerators": 4, "weight": 0.5}]})";

auto replaced(std::string_view from, std::string_view to) -> std::string
{
    std::string changed(valid);
    changed.replace(changed.find(from), from.size(), to);
    return changed;
}

auto errorOf(std::string_view text) -> std::string
{
    const auto document = ConfigurationDocument::parse(text, 1);
    return document ? "valid" : document.error().m_message;
}
}

// Guards against members that are lost when a document is parsed and written again.
TEST(ConfigurationDocumentTest, ParsedAndWrittenDocumentsAreEqual)
{
    const auto document = ConfigurationDocument::parse(valid, 7);
    ASSERT_TRUE(document) << document.error().m_message;
    const Configuration expected{
        7, 16, "peak", {{"ordinary", 1, 1, 1, true}, {"peak", 9.5, 0, 2, false}}, {{"routes", {500, 256, 0}, 50}}, {{"renders", {64000, 100000, 4}, 0.5}}};
    EXPECT_EQ(document->m_configuration, expected);
    const auto again = ConfigurationDocument::parse(ConfigurationDocument::textOf(expected), 7);
    ASSERT_TRUE(again) << again.error().m_message;
    EXPECT_EQ(again->m_configuration, expected);
}

// Guards against ids of changes that are missing in the row or appear in the text for operators.
TEST(ConfigurationDocumentTest, ChangeIdsAreOnlyInTheRow)
{
    auto document = ConfigurationDocument::parse(valid, 1).value();
    document.m_changeIds = {"b", "a"};
    EXPECT_EQ(ConfigurationDocument::parse(document.rowBytes(), 1).value().m_changeIds, document.m_changeIds);
    EXPECT_EQ(ConfigurationDocument::textOf(document.m_configuration).find("changes"), std::string::npos);
}

// Guards against rows so large that polling them exceeds the limit for control traffic: 7 KB/s for each daemon, including base64 and HTTP headers.
TEST(ConfigurationDocumentTest, RowsOfTheTargetSizeAreSmall)
{
    auto document = ConfigurationDocument::parse(valid, 1).value();
    for (int i = 0; i < 28; ++i) {
        document.m_configuration.m_teams.push_back({"team-" + std::to_string(i), {64'000 + i * 977, 100'000 + i * 3'001, i % 5}, 1.0});
        document.m_configuration.m_services.push_back({"service-" + std::to_string(i), {500 + i * 37, 256 + i * 11, 0}, 50 + i});
    }
    document.m_changeIds.assign(16, "0123456789abcdef");
    const auto bytes = document.rowBytes();
    EXPECT_LT(bytes.size(), 2'500U);
    RecordProperty("row_bytes", static_cast<int>(bytes.size()));
    RecordProperty("text_bytes", static_cast<int>(ConfigurationDocument::textOf(document.m_configuration).size()));
    EXPECT_EQ(ConfigurationDocument::parse(bytes, 1).value().m_configuration, document.m_configuration);
}

// Guards against a corrupt row, and against a huge one that exhausts the memory of every daemon.
TEST(ConfigurationDocumentTest, CorruptAndHugeRowsAreErrors)
{
    EXPECT_EQ(errorOf(std::string(262'145, ' ')), "found 262145 bytes, expected at most 262144");
    EXPECT_EQ(errorOf(std::string("\0\xff\xff\xff\x78\x9c", 6)), "found 16777215 bytes, expected at most 262144");
    auto bytes = ConfigurationDocument::parse(valid, 1).value().rowBytes();
    bytes[bytes.size() / 2] = static_cast<char>(bytes[bytes.size() / 2] ^ 0x55);
    EXPECT_TRUE(errorOf(bytes).starts_with("not valid JSON"));
}

// Guards against a document without a preset in force, or with one that does not exist or is ambiguous.
TEST(ConfigurationDocumentTest, ExactlyOneExistingPresetIsInForce)
{
    EXPECT_EQ(errorOf(replaced(R"("preset_in_force": "peak",)", "")), "preset_in_force: found nothing, expected a text, 1 to 128 bytes");
    EXPECT_EQ(errorOf(replaced(R"("preset_in_force": "peak")", R"("preset_in_force": "night")")),
              "preset_in_force: found \"night\", expected the name of one of the presets: ordinary, peak");
    EXPECT_EQ(errorOf(R"({"shards": 1, "preset_in_force": "peak"})"),
              "preset_in_force: found \"peak\", expected the name of one of the presets: there is none");
    EXPECT_EQ(errorOf(replaced(R"({"name": "ordinary"})", R"({"name": "peak"})")),
              "presets[1].name: found \"peak\", expected a name that occurs once in presets");
}

// Guards against values out of range that reach the scheduling decisions, and against errors that do not name the member.
TEST(ConfigurationDocumentTest, EachInvalidMemberIsNamed)
{
    EXPECT_EQ(errorOf(replaced("16", "0")), "shards: found 0, expected an integer, 1 to 1024");
    EXPECT_EQ(errorOf(replaced("16", "1025")), "shards: found 1025, expected an integer, 1 to 1024");
    EXPECT_EQ(errorOf(replaced("9.5", "10.1")), "presets[1].tail_weight: found 10.1, expected a number, 0 to 10");
    EXPECT_EQ(errorOf(replaced("500", "-1")), "services[0].cpu_millis: found -1, expected an integer, 0 to 1000000000000");
    EXPECT_EQ(errorOf(replaced("\"routes\"", "\"\"")), "services[0].name: found \"\", expected a text, 1 to 128 bytes");
    EXPECT_EQ(errorOf(replaced("0.5", "0")), "teams[0].weight: found 0, expected a number, 0.01 to 100");
    EXPECT_EQ(errorOf(replaced("\"weight\"", "\"wieght\"")),
              "teams[0].wieght: unknown member, expected one of: team, cpu_millis, memory_mb, accelerators, weight");
    EXPECT_EQ(errorOf(replaced("false", "1")), "presets[1].accept_batch: found 1, expected true or false");
    EXPECT_EQ(errorOf(R"({"shards": "1", "presets": 3, "preset_in_force": "x"})"),
              "shards: found \"1\", expected an integer, 1 to 1024\n"
              "presets: found 3, expected an array of objects\n"
              "preset_in_force: found \"x\", expected the name of one of the presets: there is none");
    EXPECT_TRUE(errorOf("{").starts_with("not valid JSON at byte "));
    EXPECT_EQ(errorOf("[]"), "expected one JSON object");
}

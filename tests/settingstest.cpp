#include "burdockspur/operations/settingstable.hpp"

#include <gtest/gtest.h>

#include <array>
#include <filesystem>
#include <fstream>

using namespace Burdockspur;

namespace
{
struct SampleSettings {
    std::string m_name;
    std::string m_address;
    std::uint16_t m_port = 8080;
    Milliseconds m_timeout{250};
    double m_share = 0.2;
    bool m_urgent = false;
    std::int64_t m_limit = 10;
};

constexpr std::array<SettingsField<SampleSettings>, 7> sampleFields{{
    {"name", &SampleSettings::m_name, SettingKind::Text, SettingPresence::Required, {1, 8}, "", "Name of the host"},
    {"callers.address", &SampleSettings::m_address, SettingKind::IpAddress, SettingPresence::Required, {}, "", "Address for callers"},
    {"callers.port", &SampleSettings::m_port, SettingKind::Integer, SettingPresence::Optional, {1}, "", "Port for callers"},
    {"callers.timeout_ms", &SampleSettings::m_timeout, SettingKind::DurationMs, SettingPresence::Optional, {1, 60'000}, "ms", "Longest call"},
    {"budget.share", &SampleSettings::m_share, SettingKind::Number, SettingPresence::Optional, {0, 1}, "", "Share of retries"},
    {"budget.urgent", &SampleSettings::m_urgent, SettingKind::Boolean, SettingPresence::Optional, {}, "", "Retry urgent work"},
    {"budget.limit", &SampleSettings::m_limit, SettingKind::Integer, SettingPresence::Optional, {}, "", "Most retries"},
}};

class SettingsTest : public testing::Test
{
protected:
    SettingsTest()
        : m_path(std::filesystem::path(testing::TempDir()) / ("settingstest-" + std::to_string(::getpid()) + ".toml"))
    {
    }

    ~SettingsTest() override
    {
        std::error_code ignored;
        std::filesystem::remove(m_path, ignored);
    }

    auto load(std::string_view text) -> Result<SampleSettings>
    {
        std::ofstream(m_path) << text;
        return loadSettings<SampleSettings>(m_path.string(), sampleFields);
    }

    // Message without the name of the file.
    auto errorsOf(std::string_view text) -> std::string
    {
        const auto settings = load(text);
        if (settings) {
            return "valid";
        }
        EXPECT_EQ(settings.error().m_code, ErrorCode::BadSettings);
        std::string message = settings.error().m_message;
        const std::string file = m_path.string();
        for (auto at = message.find(file); at != std::string::npos; at = message.find(file)) {
            message.erase(at, file.size());
        }
        return message;
    }

    std::filesystem::path m_path;
};
}

// Guards against a value that is stored in the wrong member, and against a lost default.
TEST_F(SettingsTest, GivenValuesAreStoredAndOthersKeepTheirDefaults)
{
    const auto settings = load("name = 'h1'\n[callers]\naddress = '::1'\ntimeout_ms = 90\n[budget]\nshare = 1\nurgent = true\nlimit = -3\n");
    ASSERT_TRUE(settings) << settings.error().m_message;
    EXPECT_EQ(settings->m_name, "h1");
    EXPECT_EQ(settings->m_address, "::1");
    EXPECT_EQ(settings->m_port, 8080);
    EXPECT_EQ(settings->m_timeout, Milliseconds(90));
    EXPECT_EQ(settings->m_share, 1.0);
    EXPECT_TRUE(settings->m_urgent);
    EXPECT_EQ(settings->m_limit, -3);
}

// Guards against a report of the first mistake only, which costs a restart for each mistake, and against ignored mistakes.
TEST_F(SettingsTest, EveryErrorOfAFileIsReportedWithItsLineInOrder)
{
    EXPECT_EQ(errorsOf("name = ''\n[callers]\naddress = 'localhost'\nport = 70000\ntimeout_ms = '5'\nprot = 1\n[budget]\nshare = nan\n"),
              ":1: name: found '', expected text in quotes, 1 to 8 characters\n"
              ":3: callers.address: found 'localhost', expected an IP address in quotes\n"
              ":4: callers.port: found 70000, expected an integer, 1 to 65535\n"
              ":5: callers.timeout_ms: found '5', expected an integer in milliseconds, 1 to 60000\n"
              ":6: callers.prot: unknown key, expected one of: callers.address, callers.port, callers.timeout_ms\n"
              ":8: budget.share: found nan, expected a number, 0 to 1");
}

// Guards against a daemon that starts without a setting it needs.
TEST_F(SettingsTest, MissingRequiredKeysAreNamed)
{
    EXPECT_EQ(errorsOf("\n[callers]\nport = 1\n"),
              ":1: name: missing, expected text in quotes, 1 to 8 characters\n"
              ":2: callers.address: missing, expected an IP address in quotes");
}

// Guards against values of the wrong type: an exception of the TOML library would end the process.
TEST_F(SettingsTest, WrongTypesAreErrors)
{
    const std::string start = "name = 'h'\ncallers.address = '1.2.3.4'\n";
    EXPECT_EQ(errorsOf(start), "valid");
    EXPECT_EQ(errorsOf(start + "budget = 3\n"), ":3: budget: found 3, expected a section [budget]");
    EXPECT_EQ(errorsOf(start + "callers.port = {a = 1}\n"), ":3: callers.port: found a table, expected an integer, 1 to 65535");
    EXPECT_EQ(errorsOf(start + "budget.urgent = [true]\n"), ":3: budget.urgent: found an array, expected true or false");
    EXPECT_EQ(errorsOf(start + "budget.limit = 1.0\n"), ":3: budget.limit: found 1.0, expected an integer");
    EXPECT_TRUE(errorsOf(start + "\"budget.limit\" = 1\n").starts_with(":3: \"budget.limit\": unknown key"));
    EXPECT_TRUE(errorsOf(start + "port = \n").starts_with(":3: not valid TOML: "));
    EXPECT_TRUE(errorsOf(start + "name = 'again'\n").starts_with(":3: not valid TOML: "));
}

// Guards against a daemon that runs with defaults because its file is absent.
TEST_F(SettingsTest, AFileThatCannotBeReadIsAnError)
{
    const auto settings = loadSettings<SampleSettings>("/nonexistent/entry.toml", sampleFields);
    ASSERT_FALSE(settings);
    EXPECT_EQ(settings.error().m_message, "/nonexistent/entry.toml: cannot be opened: No such file or directory");
    EXPECT_FALSE(loadSettings<SampleSettings>(testing::TempDir(), sampleFields));
}

// Guards against values that are valid individually but contradict each other.
TEST_F(SettingsTest, ChecksOverSeveralSettingsNameTheKeyToChange)
{
    constexpr std::array<SettingsCheck<SampleSettings>, 2> checks{{
        {"callers.timeout_ms",
         [](const SampleSettings &settings) {
             return settings.m_timeout < Milliseconds(settings.m_port);
         },
         "less than callers.port"},
        {"budget.limit",
         [](const SampleSettings &settings) {
             return settings.m_limit < 0;
         },
         "a negative limit"},
    }};
    std::ofstream(m_path) << "name = 'h'\ncallers.address = '::1'\ncallers.timeout_ms = 8080\n";
    const auto refused = loadSettings<SampleSettings>(m_path.string(), sampleFields, checks);
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().m_message,
              m_path.string() + ":3: callers.timeout_ms: expected less than callers.port\n" + m_path.string() + ": budget.limit: expected a negative limit");
    std::ofstream(m_path) << "name = 'h'\ncallers.address = '::1'\nbudget.limit = -1\n";
    EXPECT_TRUE(loadSettings<SampleSettings>(m_path.string(), sampleFields, checks));
}

// Guards against a printed default file that the program itself refuses, apart from the required keys.
TEST_F(SettingsTest, DefaultFileIsValidOnceRequiredKeysAreFilled)
{
    auto text = defaultSettingsText(describeSettings<SampleSettings>(sampleFields));
    EXPECT_TRUE(text.starts_with("# Name of the host (text, 1 to 8 characters; required)\n# name =\n\n[callers]\n")) << text;
    EXPECT_NE(text.find("# Longest call (milliseconds, 1 to 60000 ms)\ntimeout_ms = 250\n"), std::string::npos) << text;
    EXPECT_TRUE(errorsOf(text).starts_with(":1: name: missing"));
    text.replace(text.find("# name ="), 8, "name = 'h'");
    text.replace(text.find("# address ="), 11, "address = '127.0.0.1'");
    const auto settings = load(text);
    ASSERT_TRUE(settings) << settings.error().m_message;
    EXPECT_EQ(settings->m_share, 0.2);
}

// Guards against a settings page that leaves out a key or its range.
TEST_F(SettingsTest, MarkdownHasOneLineForEachKey)
{
    const auto text = settingsMarkdown(describeSettings<SampleSettings>(sampleFields));
    EXPECT_EQ(std::ranges::count(text, '\n'), 9);
    EXPECT_NE(text.find("| `name` | text | required | 1 to 8 characters |  | Name of the host |\n"), std::string::npos) << text;
    EXPECT_NE(text.find("| `callers.timeout_ms` | milliseconds | `250` | 1 to 60000 | ms | Longest call |\n"), std::string::npos) << text;
}

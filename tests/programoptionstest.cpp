#include "burdockspur/operations/programstart.hpp"

#include <gflags/gflags.h>
#include <gtest/gtest.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>

DEFINE_int32(limit, 5, "most entries");

using namespace Burdockspur;

namespace
{
struct SampleSettings {
    std::string m_name;
    std::uint16_t m_port = 8080;
};

constexpr std::array<SettingsField<SampleSettings>, 2> sampleFields{{
    {"name", &SampleSettings::m_name, SettingKind::Text, SettingPresence::Optional, {}, "", "Name"},
    {"port", &SampleSettings::m_port, SettingKind::Integer, SettingPresence::Optional, {1, 9000}, "", "Port"},
}};

constexpr std::array<ProgramFlag, 2> sampleFlags{{
    {"limit", "N", "most entries"},
    {"check", "", "validate"},
}};

constexpr ProgramDescription sample{"sample", "COMMAND", "Does nothing.", sampleFlags};
constexpr ProgramDescription sampleDaemon{"sampled", "--settings FILE", "Does nothing for long.", daemonFlags};

class ProgramOptionsTest : public testing::Test
{
protected:
    using Texts = std::vector<std::string>;

    auto arguments(Texts texts) -> std::span<char *const>
    {
        m_texts = std::move(texts);
        m_texts.insert(m_texts.begin(), "sample");
        m_pointers.clear();
        for (auto &text : m_texts) {
            m_pointers.push_back(text.data());
        }
        return m_pointers;
    }

    auto errorOf(Texts texts) -> std::string
    {
        const auto options = ProgramOptions::parse(sample, arguments(std::move(texts)));
        return options ? "" : options.error().m_message;
    }

    // Exit code of a daemon, or -1 when it would start.
    auto exitCodeOf(Texts texts) -> int
    {
        const auto settings = startProgram<SampleSettings>(m_signals, sampleDaemon, sampleFields, arguments(std::move(texts)), m_out, m_err);
        return settings ? -1 : settings.error();
    }

    ProcessSignals m_signals;
    gflags::FlagSaver m_saver;
    Texts m_texts;
    std::vector<char *> m_pointers;
    std::ostringstream m_out;
    std::ostringstream m_err;
};
}

// Guards against flags that are accepted only before the positional arguments.
TEST_F(ProgramOptionsTest, FlagsAndPositionalArgumentsMayBeMixed)
{
    const auto options = ProgramOptions::parse(sample, arguments({"jobs", "--limit", "7", "list", "--check", "--", "--limit"}));
    ASSERT_TRUE(options) << options.error().m_message;
    EXPECT_EQ(FLAGS_limit, 7);
    EXPECT_TRUE(options->has("check"));
    ASSERT_EQ(options->positional().size(), 3U);
    EXPECT_EQ(options->positional()[1], "list");
    EXPECT_EQ(options->positional()[2], "--limit");
}

// Guards against mistyped flags that are ignored, and against gflags' own flags, which read files and the environment.
TEST_F(ProgramOptionsTest, WrongFlagsAreErrorsThatNameTheExpectedValue)
{
    EXPECT_EQ(errorOf({"--limt=3"}), "unknown flag --limt=3, expected one of those that --help shows");
    EXPECT_EQ(errorOf({"--flagfile=/dev/null"}), "unknown flag --flagfile=/dev/null, expected one of those that --help shows");
    EXPECT_EQ(errorOf({"--limit"}), "flag --limit has no value, expected N");
    EXPECT_EQ(errorOf({"--limit", "--check"}), "flag --limit has no value, expected N");
    EXPECT_EQ(errorOf({"--limit", "many"}), "flag --limit: 'many' is not valid, expected N");
    EXPECT_EQ(errorOf({"--check=maybe"}), "flag --check: 'maybe' is not valid, expected true or false");
}

// Guards against the many flags of its own that gflags adds to --help.
TEST_F(ProgramOptionsTest, HelpShowsOnlyTheProgramsFlags)
{
    EXPECT_EQ(helpText(sample),
              "usage: sample COMMAND\nDoes nothing.\n\nflags:\n"
              "  --limit N                   most entries\n"
              "  --check                     validate\n"
              "  --help                      print this text and exit\n"
              "  --version                   print the version and exit\n");
    EXPECT_EQ(exitCodeOf({"--help"}), 0);
    EXPECT_EQ(m_out.str(), helpText(sampleDaemon));
}

// Guards against exit codes that differ from the documented ones, on which service managers and scripts depend.
TEST_F(ProgramOptionsTest, ExitCodesOfADaemon)
{
    const auto path = std::filesystem::path(testing::TempDir()) / ("programoptionstest-" + std::to_string(::getpid()) + ".toml");
    std::ofstream(path) << "port = 80\n";
    EXPECT_EQ(exitCodeOf({"--version"}), 0);
    EXPECT_EQ(exitCodeOf({"--prnt"}), exitBadUsage);
    EXPECT_EQ(exitCodeOf({"extra"}), exitBadUsage);
    EXPECT_EQ(exitCodeOf({}), exitBadUsage);
    EXPECT_EQ(exitCodeOf({"--settings", path.string()}), -1);
    EXPECT_EQ(exitCodeOf({"--settings", path.string(), "--check"}), 0);
    EXPECT_NE(m_out.str().find(": valid\n"), std::string::npos);
    std::ofstream(path) << "port = 0\n";
    EXPECT_EQ(exitCodeOf({"--settings", path.string(), "--check"}), exitBadUsage);
    EXPECT_NE(m_err.str().find(":1: port: found 0, expected an integer, 1 to 9000\n"), std::string::npos) << m_err.str();
    EXPECT_EQ(exitCodeOf({"--settings", path.string()}), exitBadUsage);
    EXPECT_EQ(exitCodeOf({"--print_defaults"}), 0);
    std::filesystem::remove(path);
}

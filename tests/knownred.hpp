#pragma once

#include <fstream>
#include <sstream>
#include <string>
#include <string_view>

namespace Burdockspur::Testing
{
[[nodiscard]] inline auto contentOf(const std::string &path) -> std::string
{
    std::ifstream file(path);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

/// @brief Invariant that a run listed in KNOWN-RED.txt breaks, e.g. `I6`; empty when the run is not listed.
/// @param test name of the test program
/// @param run name of the run within that program
[[nodiscard]] inline auto knownRed(std::string_view test, std::string_view run) -> std::string
{
    static const std::string list = contentOf(BURDOCKSPUR_SOURCE_DIR "/KNOWN-RED.txt");
    const std::string entry = "- " + std::string(test) + " `" + std::string(run) + "` ";
    const auto position = list.find(entry);
    if (position == std::string::npos) {
        return {};
    }
    const auto begin = position + entry.size();
    return list.substr(begin, list.find('\n', begin) - begin);
}
}

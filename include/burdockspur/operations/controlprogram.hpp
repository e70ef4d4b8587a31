#pragma once

#include "burdockspur/operations/burnreport.hpp"
#include "burdockspur/operations/controloptions.hpp"

#include <expected>
#include <ostream>
#include <span>
#include <string>
#include <string_view>

class QJsonObject;

namespace Burdockspur
{
/// @brief Exit codes of burdockspurctl.
enum class ControlExit : std::uint8_t {
    Success = 0,
    Refused = 1, ///< the command was refused or failed
    BadInput = 2, ///< wrong usage, or a file that is not valid
    Unreachable = 3, ///< the entry daemon gave no answer
    Conflict = 4, ///< another change was stored first
};

/// @brief Runs the commands of burdockspurctl over the HTTP interface of an entry daemon.
///
/// Needs a thread with a Qt application; each HTTP request runs an event loop until the reply has arrived. Files and flags
/// are validated before anything is sent. `explain` only reads logs and sends nothing.
///
/// @code
/// ControlProgram program(*options, std::cout, std::cerr);
/// return static_cast<int>(program.run(positional));
/// @endcode
class ControlProgram
{
public:
    /// @param options values of the flags
    /// @param out receives results
    /// @param err receives errors
    ControlProgram(ControlOptions options, std::ostream &out, std::ostream &err);

    /// @brief Runs a command.
    /// @param words command and argument, e.g. `presets`, `switch`, `peak`
    /// @param commandLine the flags that were given
    [[nodiscard]] auto run(std::span<const std::string_view> words, const ProgramOptions &commandLine) -> ControlExit;

    /// @brief Help text with one line for each command, followed by the exit codes.
    [[nodiscard]] static auto commandHelp() -> std::string;

private:
    struct Command;
    struct Call;
    using Answer = std::expected<QJsonObject, ControlExit>;

    [[nodiscard]] static auto commands() -> std::span<const Command>;

    [[nodiscard]] auto showConfiguration(std::string_view argument) -> ControlExit;
    [[nodiscard]] auto initConfiguration(std::string_view file) -> ControlExit;
    [[nodiscard]] auto applyConfiguration(std::string_view file) -> ControlExit;
    [[nodiscard]] auto listPresets(std::string_view argument) -> ControlExit;
    [[nodiscard]] auto showPreset(std::string_view name) -> ControlExit;
    [[nodiscard]] auto switchPreset(std::string_view name) -> ControlExit;
    [[nodiscard]] auto submitJob(std::string_view file) -> ControlExit;
    [[nodiscard]] auto listJobs(std::string_view argument) -> ControlExit;
    [[nodiscard]] auto showJob(std::string_view id) -> ControlExit;
    [[nodiscard]] auto cancelJob(std::string_view id) -> ControlExit;
    [[nodiscard]] auto followJob(std::string_view id) -> ControlExit;
    [[nodiscard]] auto sendRequest(std::string_view service) -> ControlExit;
    [[nodiscard]] auto showStatus(std::string_view argument) -> ControlExit;
    [[nodiscard]] auto showBurn(std::string_view argument) -> ControlExit;
    [[nodiscard]] auto explainJob(std::string_view id) -> ControlExit;
    [[nodiscard]] auto fetchBurn(const HttpEndpoint &entry) -> std::expected<BurnReport, ControlExit>;

    [[nodiscard]] auto checkUsage(const Command &command, std::span<const std::string_view> arguments, const ProgramOptions &commandLine) -> ControlExit;
    [[nodiscard]] auto changeConfiguration(std::string_view file, std::uint64_t expectedVersion) -> ControlExit;
    [[nodiscard]] auto send(const Call &call) -> Answer;
    [[nodiscard]] auto exchange(const Call &call) const -> HttpReply;
    [[nodiscard]] auto reportFailure(const Call &call, const HttpFailure &failure) -> ControlExit;
    [[nodiscard]] auto reportErrorResponse(const HttpResponse &response) -> ControlExit;
    [[nodiscard]] auto printAnswer(const Answer &answer) -> ControlExit;
    [[nodiscard]] auto fail(ControlExit exit, std::string_view message) -> ControlExit;

    ControlOptions m_options;
    bool m_isCheckOnly = false; ///< set by `--check`: validate everything, send nothing
    std::ostream *m_out;
    std::ostream *m_err;
};

/// @brief Runs burdockspurctl.
/// @param description name, usage and flags of the program
/// @param arguments as given to main()
/// @param out receives results
/// @param err receives errors
/// @returns the exit code
[[nodiscard]] auto runControlProgram(const ProgramDescription &description, std::span<char *const> arguments, std::ostream &out, std::ostream &err) -> int;
}

#pragma once

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/machine/resources.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Burdockspur
{
/// @brief Whether a job ends by itself.
enum class JobKind : std::uint8_t {
    Batch, ///< runs to completion, may write checkpoints
    Watcher, ///< runs until it is cancelled
};

/// @brief Life cycle of a job.
enum class JobState : std::uint8_t {
    Queued,
    Assigned,
    Running,
    Completed,
    Failed,
    Cancelled,
    Unschedulable,
};

/// @brief A job as submitted by its caller.
struct JobSpec {
    JobKind m_kind = JobKind::Batch;
    std::string m_caller;
    std::string m_class; ///< jobs of a class are expected to behave alike
    std::string m_team;
    Resources m_demand;
    std::int64_t m_durationMs = 0; ///< declared run time; 0 for a watcher
    bool m_urgent = false;
    std::string m_payload;

    [[nodiscard]] auto operator==(const JobSpec &) const -> bool = default;
};

/// @brief A job with its current state.
struct Job {
    std::string m_id;
    JobSpec m_spec;
    JobState m_state = JobState::Queued;
    AttemptNumber m_attempt = 0; ///< number of the latest attempt; 0 before the first
    std::string m_worker; ///< worker of the latest attempt
    std::string m_checkpoint; ///< name of the latest checkpoint; empty when there is none
    std::string m_result; ///< result of a completed job
    std::string m_reason; ///< why the job waits, failed or cannot run

    [[nodiscard]] auto operator==(const Job &) const -> bool = default;
};

/// @brief Lower-case name of a kind, as in messages.
[[nodiscard]] auto jobKindName(JobKind kind) noexcept -> std::string_view;

/// @brief Kind with a name; nothing for an unknown name.
[[nodiscard]] auto jobKindFromName(std::string_view name) noexcept -> std::optional<JobKind>;

/// @brief Lower-case name of a state, as in messages.
[[nodiscard]] auto jobStateName(JobState state) noexcept -> std::string_view;

/// @brief State with a name; nothing for an unknown name.
[[nodiscard]] auto jobStateFromName(std::string_view name) noexcept -> std::optional<JobState>;

/// @brief True when a job in this state will not run any more.
[[nodiscard]] constexpr auto isTerminal(JobState state) noexcept -> bool
{
    return state == JobState::Completed || state == JobState::Failed || state == JobState::Cancelled;
}
}

#pragma once

#include "burdockspur/contract/taskjob.hpp"
#include "burdockspur/fleet/jobprogress.hpp"
#include "burdockspur/port/changestore.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string_view>

namespace Burdockspur
{
struct FinalRow;

/// @brief Stores, reads and cancels the jobs of callers in the store, on any entry host and without the owner.
///
/// Each callback runs exactly once, in the thread of the store. Errors: Unavailable when nothing was stored or read, OutcomeUnknown when
/// the call may have taken effect or may still do so, UnknownJob when no row of the job exists.
class JobStore
{
public:
    using PhaseCallback = std::function<void(Result<JobPhase> &&)>;

    /// @param store must outlive the object
    explicit JobStore(ChangeStore &store);

    /// @brief Stores a job. Also succeeds, without storing the submission, when a job of this id exists, has ended or was cancelled before.
    auto submit(const TaskJob &job, PhaseCallback callback) -> void;

    /// @brief Reads the state of a job.
    auto readPhase(std::string_view id, PhaseCallback callback) -> void;

    /// @brief Stores the cancellation of a job. Also succeeds, without storing anything, when the job has ended.
    /// @param callback receives ErrorCode::UnknownJob when no submission is stored; none that is in flight will be stored then
    auto cancel(std::string_view id, PhaseCallback callback) -> void;

private:
    using FinalCallback = std::function<void(Result<std::optional<FinalRow>> &&)>;

    auto confirmStored(std::string_view id, PhaseCallback callback) -> void;
    auto readSubmission(std::string_view id, PhaseCallback callback) -> void;
    auto readFinal(std::string_view id, FinalCallback callback) -> void;
    auto readFinalPhase(std::string_view id, PhaseCallback callback) -> void;
    auto storeCancellation(std::string_view id, std::uint64_t version, PhaseCallback callback) -> void;
    auto confirmEnded(std::string_view id, PhaseCallback callback) -> void;
    /// @brief Cancels a job of which no submission is stored.
    auto preventSubmission(std::string_view id, PhaseCallback callback) -> void;
    /// @brief Handles a submission whose rows exist already.
    /// @param rows current rows of the failed conditions
    auto handleRepeatedSubmission(std::string_view id, std::span<const TableRow> rows, PhaseCallback callback) -> void;
    /// @brief Shows a job as cancelled that was submitted only after its cancellation.
    auto showCancelled(std::string_view id, std::uint64_t version, PhaseCallback callback) -> void;

    ChangeStore &m_store;
};
}

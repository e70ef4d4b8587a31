#pragma once

#include "burdockspur/contract/taskjob.hpp"
#include "burdockspur/fleet/jobprogress.hpp"
#include "burdockspur/port/changestore.hpp"

#include <cstdint>
#include <functional>
#include <string_view>

namespace Burdockspur
{
/// @brief What every entry host does with jobs in the store; it needs no owner for that.
///
/// Callbacks run in the thread of the store, exactly once. Errors: Unavailable when nothing was stored,
/// OutcomeUnknown when the call may have been or may still be carried out, UnknownJob.
class JobStore
{
public:
    using PhaseCallback = std::function<void(Result<JobPhase> &&)>;

    /// @param store outlives the object
    explicit JobStore(ChangeStore &store);

    /// @brief Stores a job unless its id is known already, also as that of an ended job; both are a success.
    auto submit(const TaskJob &job, PhaseCallback callback) -> void;

    /// @brief Reads the state of a job.
    auto readPhase(std::string_view id, PhaseCallback callback) -> void;

    /// @brief Stores the cancellation of a job; that of an ended job is a success that stores nothing.
    auto cancel(std::string_view id, PhaseCallback callback) -> void;

private:
    auto confirmStored(std::string_view id, PhaseCallback callback) -> void;
    auto readSubmission(std::string_view id, PhaseCallback callback) -> void;
    auto readFinal(std::string_view id, PhaseCallback callback) -> void;
    auto storeCancellation(std::string_view id, std::uint64_t version, PhaseCallback callback) -> void;
    auto confirmEnded(std::string_view id, PhaseCallback callback) -> void;

    ChangeStore &m_store;
};
}

#pragma once

#include "burdockspur/core/identifiers.hpp"
#include "burdockspur/core/randomsource.hpp"
#include "callersession.hpp"
#include "demoplan.hpp"
#include "executionhistory.hpp"
#include "workrow.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur::Bench
{
/// @brief Runs the three kinds of work through entry daemons and compares with what the workers executed.
///
/// Every non-idempotent request and every job is given to two entry hosts under one idempotency key; each may
/// run only once.
class DemoRun
{
public:
    explicit DemoRun(const DemoPlan &plan);

    /// @brief Runs everything.
    /// @returns one row for each kind of work, or the error that ended the run
    [[nodiscard]] auto execute() -> Result<std::vector<WorkRow>>;

private:
    struct AskedRequest {
        std::string m_requestId; ///< from the answer
        std::string m_expected;
    };

    struct AskedJob {
        std::string m_id;
        std::string m_expectedResult;
        std::string m_state;
        std::string m_result;
    };

    [[nodiscard]] auto entry(std::size_t index) const -> const HttpEndpoint &;
    [[nodiscard]] auto requestCall(std::size_t entryIndex, std::string_view service, std::string_view key, std::string_view body) const -> PendingCall;
    [[nodiscard]] auto submitCall(std::size_t entryIndex, std::string_view kind, std::string_view key, std::string_view payload) const -> PendingCall;
    [[nodiscard]] auto callRepeatedly(std::span<const PendingCall> calls, int wantedStatus) -> std::vector<HttpReply>;
    [[nodiscard]] auto isStopped() const -> bool;
    [[nodiscard]] auto sendRounds(WorkRow &checks, WorkRow &holds) -> Result<void>;
    [[nodiscard]] auto sendRequests(std::string_view service, std::size_t count, std::size_t copies) -> WorkRow;
    [[nodiscard]] auto submitJobs(std::string_view kind, std::size_t count) -> Result<std::vector<AskedJob>>;
    [[nodiscard]] auto waitForState(std::span<AskedJob> jobs, std::string_view state) -> bool;
    auto refresh(std::span<AskedJob> jobs) -> void;
    [[nodiscard]] auto cancel(std::span<AskedJob> jobs) -> bool;
    [[nodiscard]] auto makeWorkerLeave() -> Result<void>;
    [[nodiscard]] auto readTruth() -> Result<void>;
    [[nodiscard]] auto jobRow(std::string_view kind, std::span<const AskedJob> jobs, std::string_view state) const -> WorkRow;
    [[nodiscard]] auto duplicateExecutions(std::span<const AskedRequest> asked) const -> std::uint64_t;

    DemoPlan m_plan;
    RandomSource m_random;
    CallerSession m_session;
    ExecutionHistory m_truth;
    std::vector<AskedRequest> m_keyed;
    std::size_t m_refreshes = 0; ///< shifts the entry hosts that are asked, so that a failed one hides no job
};
}

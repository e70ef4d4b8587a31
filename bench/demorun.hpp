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
/// @brief Sends requests, batch jobs and watchers through entry daemons and compares them with what the workers executed.
///
/// Every non-idempotent request and every job is sent to two entry hosts with the same idempotency key and must
/// run only once.
class DemoRun
{
public:
    explicit DemoRun(const DemoPlan &plan);

    /// @brief Runs the plan and evaluates the journals of the workers.
    /// @returns one row for each kind of work, or the error that ended the run
    [[nodiscard]] auto execute() -> Result<std::vector<WorkRow>>;

private:
    struct SentRequest {
        std::string m_requestId; ///< id from the reply; empty without one
        std::string m_expected;
    };

    struct SubmittedJob {
        std::string m_id;
        std::string m_expectedResult;
        std::string m_state;
        std::string m_result;
    };

    [[nodiscard]] auto entry(std::size_t index) const -> const HttpEndpoint &;
    [[nodiscard]] auto requestCall(std::size_t entryIndex, std::string_view service, std::string_view key, std::string_view body) const -> PendingCall;
    [[nodiscard]] auto submitCall(std::size_t entryIndex, std::string_view kind, std::string_view key, std::string_view payload) const -> PendingCall;
    [[nodiscard]] auto callWithRetries(std::span<const PendingCall> calls, int wantedStatus) -> std::vector<HttpReply>;
    [[nodiscard]] auto isLastRound() const -> bool;
    [[nodiscard]] auto sendRounds(WorkRow &checks, WorkRow &holds) -> Result<void>;
    [[nodiscard]] auto sendRequests(std::string_view service, std::size_t count, std::size_t copies) -> WorkRow;
    [[nodiscard]] auto submitJobs(std::string_view kind, std::size_t count) -> Result<std::vector<SubmittedJob>>;
    [[nodiscard]] auto waitForState(std::span<SubmittedJob> jobs, std::string_view state) -> bool;
    auto refreshStates(std::span<SubmittedJob> jobs) -> void;
    [[nodiscard]] auto cancel(std::span<SubmittedJob> jobs) -> bool;
    [[nodiscard]] auto markWorkerLeaving() -> Result<void>;
    [[nodiscard]] auto readJournals() -> Result<void>;
    [[nodiscard]] auto makeJobRow(std::string_view kind, std::span<const SubmittedJob> jobs, std::string_view state) const -> WorkRow;
    [[nodiscard]] auto duplicateExecutions(std::span<const SentRequest> sentRequests) const -> std::uint64_t;

    DemoPlan m_plan;
    RandomSource m_random;
    CallerSession m_session;
    ExecutionHistory m_history;
    std::vector<SentRequest> m_keyedRequests;
    std::size_t m_refreshCount = 0; ///< rotates the entry hosts of status calls, so that the state of a job is still read when one of them fails
};
}

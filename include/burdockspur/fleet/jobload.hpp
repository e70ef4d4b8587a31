#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/fleetscheduler.hpp"
#include "burdockspur/fleet/pagesize.hpp"
#include "burdockspur/fleet/progressassembly.hpp"
#include "burdockspur/operations/logthrottle.hpp"
#include "burdockspur/port/changestore.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief Reads all jobs from the store, in pages of bounded size.
///
/// Reads few pages in parallel, adapts their size to the speed of the link, and retries a failed page. So the read completes
/// however large the backlog is, and leaves bandwidth for the owner's heartbeats. Rows are decoded page by page, so that a slow
/// host keeps answering its callers.
class JobLoad
{
public:
    /// @brief Rows to read.
    enum class Scope : std::uint8_t {
        Everything,
        Submissions, ///< submissions and cancellations, without progress
    };

    /// @brief Result of a read.
    struct Jobs {
        std::vector<StoredJob> m_jobs;
        std::uint64_t m_version = 0; ///< version after which the changes of the jobs table are followed
        std::vector<std::string> m_archived; ///< names of the progress rows that are left of jobs whose submission was moved to the final rows
    };

    struct Listener {
        std::function<void(Jobs &&)> m_loaded;
        std::function<void(const Error &)> m_failed; ///< no page was answered for 5 s
        std::function<void(Milliseconds, std::function<void()>)> m_runLater; ///< calls a function from the event loop after a delay
        std::function<TimePoint()> m_now = Clock::now;
    };

    /// @brief Starts the read; no callback is called after the destruction.
    /// @param store must outlive the object
    JobLoad(ChangeStore &store, Scope scope, Listener listener);
    ~JobLoad();
    JobLoad(const JobLoad &) = delete;
    JobLoad(JobLoad &&) = delete;
    auto operator=(const JobLoad &) -> JobLoad & = delete;
    auto operator=(JobLoad &&) -> JobLoad & = delete;

private:
    using DecodeMember = void (JobLoad::*)(const TableRow &);

    /// A list of rows that is read page by page, in order.
    struct PagedList {
        std::string_view m_table;
        std::string_view m_partition;
        DecodeMember m_decode = nullptr;
        std::string m_after; ///< name of the last row read
    };

    auto startReads() -> void;
    auto readPage(PagedList &&list) -> void;
    auto addPage(PagedList &&list, RowPage &&page, TimePoint sentAt) -> void;
    auto retry(PagedList &&list, const Error &error) -> void;
    auto decodeSubmission(const TableRow &row) -> void;
    auto decodeProgress(const TableRow &row) -> void;
    [[nodiscard]] auto joinRows() -> std::vector<StoredJob>;
    [[nodiscard]] auto archivedRows() -> std::vector<std::string>;
    auto log(std::string_view outcome) const -> void;

    ChangeStore &m_store;
    Listener m_listener;
    PageSize m_pageSize;
    std::deque<PagedList> m_lists; ///< lists whose next page is not requested yet
    std::size_t m_activeReads = 0; ///< lists with a page in flight or waiting for its retry
    std::map<std::string, StoredJob, std::less<>> m_jobs;
    std::vector<std::string> m_cancelled; ///< ids of jobs
    ProgressAssembly m_progress;
    std::set<std::string, std::less<>> m_corruptSubmissions; ///< ids of jobs whose submission row cannot be decoded
    LogThrottle m_corruptRowLog;
    std::optional<std::uint64_t> m_version; ///< lowest version of the pages
    TimePoint m_startedAt;
    TimePoint m_lastAnswerAt;
    std::size_t m_pages = 0;
    std::size_t m_failures = 0;
    std::size_t m_bytes = 0; ///< size of the rows' values
    bool m_isFinished = false;
    std::shared_ptr<bool> m_alive; ///< false after the destruction, for callbacks that are still pending
};
}

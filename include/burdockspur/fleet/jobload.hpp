#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/fleet/fleetscheduler.hpp"
#include "burdockspur/fleet/pagesize.hpp"
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
/// @brief Reads the jobs of the store in steps of bounded size.
///
/// Few pages are read at the same time, each as large as the link carries quickly, and a failed page is read again. So the
/// read ends however much has piled up, and leaves room on the link for the signs of life of its owner. Rows are decoded
/// page by page, so that a slow host answers its callers meanwhile.
class JobLoad
{
public:
    /// @brief Which rows are read.
    enum class Scope : std::uint8_t {
        Everything,
        Submissions, ///< submissions and cancellations, without progress
    };

    /// @brief All jobs of the store.
    struct Jobs {
        std::vector<StoredJob> m_jobs;
        std::uint64_t m_version = 0; ///< from which the table of jobs can be followed
        std::vector<std::string> m_archived; ///< jobs with final progress whose submission was moved away
    };

    struct Listener {
        std::function<void(Jobs &&)> m_loaded;
        std::function<void(const Error &)> m_failed; ///< no page was answered for a long time
        std::function<void(Milliseconds, std::function<void()>)> m_later; ///< calls after a time, from the event loop
        std::function<TimePoint()> m_now = Clock::now;
    };

    /// @brief Begins to read; the callbacks end with the object.
    /// @param store outlives the object
    JobLoad(ChangeStore &store, Scope scope, Listener listener);
    ~JobLoad();
    JobLoad(const JobLoad &) = delete;
    JobLoad(JobLoad &&) = delete;
    auto operator=(const JobLoad &) -> JobLoad & = delete;
    auto operator=(JobLoad &&) -> JobLoad & = delete;

private:
    using DecodeMember = void (JobLoad::*)(const TableRow &);

    /// A list that is read page after page.
    struct List {
        std::string_view m_table;
        std::string_view m_partition;
        DecodeMember m_decode = nullptr;
        std::string m_after; ///< name of the last row read
    };

    auto readNext() -> void;
    auto read(List &&list) -> void;
    auto take(List &&list, RowPage &&page, TimePoint sentAt) -> void;
    auto retry(List &&list, const Error &error) -> void;
    auto decodeSubmission(const TableRow &row) -> void;
    auto decodeProgress(const TableRow &row) -> void;
    [[nodiscard]] auto join() -> std::vector<StoredJob>;
    [[nodiscard]] auto archived() const -> std::vector<std::string>;
    auto log(std::string_view outcome) const -> void;

    ChangeStore &m_store;
    Listener m_listener;
    PageSize m_pageSize;
    std::deque<List> m_lists; ///< that wait for a read
    std::size_t m_open = 0; ///< reads in flight, and pauses before the next
    std::map<std::string, StoredJob, std::less<>> m_jobs;
    std::vector<std::string> m_cancelled;
    std::map<std::string, JobProgress, std::less<>> m_progress;
    std::vector<std::string> m_corrupt; ///< jobs whose progress cannot be read
    std::set<std::string, std::less<>> m_corruptJobs; ///< jobs whose submission cannot be read
    std::optional<std::uint64_t> m_version; ///< of the oldest page
    TimePoint m_beganAt;
    TimePoint m_answeredAt; ///< last page
    std::size_t m_pages = 0;
    std::size_t m_failures = 0;
    std::size_t m_bytes = 0; ///< of the rows' values
    bool m_isOver = false;
    std::shared_ptr<bool> m_alive;
};
}

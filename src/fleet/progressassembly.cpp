#include "burdockspur/fleet/progressassembly.hpp"

#include "burdockspur/fleet/fleetrows.hpp"

#include <charconv>

namespace Burdockspur
{
auto ProgressAssembly::add(std::string_view name, std::string_view value) -> Result<void>
{
    const auto separator = name.find(continuationSeparator);
    const std::string job(name.substr(0, separator));
    if (separator != std::string_view::npos) {
        const auto digits = name.substr(separator + 1);
        std::uint32_t number = 0;
        const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), number);
        const bool isNumber = parsed.ec == std::errc{} && parsed.ptr == digits.data() + digits.size();
        if (!isNumber || number == 0 || number > maxContinuationRows) {
            return failure(ErrorCode::AnswerCorrupt, "the name of a progress row does not end with the number of a continuation row");
        }
        m_continuations[job].emplace(number, value);
        return {};
    }
    auto row = decodeFirstProgressRow(value);
    if (!row) {
        m_corruptJobs.push_back(job);
        return std::unexpected(row.error());
    }
    if (row->m_continuationRows > 0) {
        m_splitJobs.emplace(job, row->m_continuationRows);
    } else {
        m_progress.emplace(job, std::move(row->m_progress));
    }
    return {};
}

auto ProgressAssembly::join() -> void
{
    for (const auto &[job, count] : m_splitJobs) {
        std::string text;
        const auto &rows = m_continuations[job];
        for (std::uint32_t number = 1; number <= count; ++number) {
            const auto row = rows.find(number);
            text += row == rows.end() ? std::string() : row->second;
        }
        if (auto row = decodeFirstProgressRow(text); row && row->m_continuationRows == 0) {
            m_progress.emplace(job, std::move(row->m_progress));
        } else {
            m_corruptJobs.push_back(job);
        }
    }
    m_splitJobs.clear();
}

auto ProgressAssembly::continuationRowsOf(std::string_view job) const noexcept -> std::uint32_t
{
    const auto rows = m_continuations.find(job);
    return rows == m_continuations.end() || rows->second.empty() ? 0 : rows->second.rbegin()->first;
}

auto ProgressAssembly::continuationNames() const -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto &[job, rows] : m_continuations) {
        for (const auto &[number, value] : rows) {
            names.push_back(progressRowName(job, number));
        }
    }
    return names;
}
}

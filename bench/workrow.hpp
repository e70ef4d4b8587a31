#pragma once

#include <cstdint>
#include <string>

namespace Burdockspur::Bench
{
/// @brief One row of the demonstration's table: counts of one kind of work.
struct WorkRow {
    std::string m_kind;
    std::uint64_t m_submitted = 0; ///< requests sent or jobs submitted
    std::uint64_t m_executed = 0; ///< distinct requests or jobs that a worker executed
    std::uint64_t m_answered = 0; ///< requests with an answer, or jobs that reached the expected end state
    std::uint64_t m_resumed = 0; ///< jobs with more than one attempt
    std::uint64_t m_duplicated = 0; ///< requests executed more than once, or jobs completed twice or run in two places at once
    std::uint64_t m_lost = 0; ///< requests without an answer, or jobs that did not reach the expected end state
    std::uint64_t m_different = 0; ///< answers or results that do not match the request or job

    /// @brief Adds the counts of another round of the same kind of work.
    auto add(const WorkRow &round) noexcept -> void
    {
        m_submitted += round.m_submitted;
        m_executed += round.m_executed;
        m_answered += round.m_answered;
        m_resumed += round.m_resumed;
        m_duplicated += round.m_duplicated;
        m_lost += round.m_lost;
        m_different += round.m_different;
    }

    /// @brief Whether there was work and all of it was answered correctly and executed once.
    [[nodiscard]] auto isClean() const noexcept -> bool
    {
        return m_submitted > 0 && m_answered == m_submitted && m_duplicated == 0 && m_lost == 0 && m_different == 0;
    }
};
}

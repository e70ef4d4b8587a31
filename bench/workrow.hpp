#pragma once

#include <cstdint>
#include <string>

namespace Burdockspur::Bench
{
/// @brief One row of the demonstration's table: what was asked, run and answered of one kind of work.
struct WorkRow {
    std::string m_kind;
    std::uint64_t m_asked = 0;
    std::uint64_t m_ran = 0; ///< distinct requests or jobs that a worker executed
    std::uint64_t m_answered = 0; ///< requests with an answer, jobs that reached their end state
    std::uint64_t m_resumed = 0; ///< jobs with more than one attempt
    std::uint64_t m_doubled = 0; ///< executed twice, or in two places at once
    std::uint64_t m_lost = 0; ///< without an answer or end state
    std::uint64_t m_different = 0; ///< answers or results that belong to something else

    /// @brief Adds the counts of a further round of the same kind.
    auto add(const WorkRow &round) noexcept -> void
    {
        m_asked += round.m_asked;
        m_ran += round.m_ran;
        m_answered += round.m_answered;
        m_resumed += round.m_resumed;
        m_doubled += round.m_doubled;
        m_lost += round.m_lost;
        m_different += round.m_different;
    }

    [[nodiscard]] auto isClean() const noexcept -> bool
    {
        return m_asked > 0 && m_answered == m_asked && m_doubled == 0 && m_lost == 0 && m_different == 0;
    }
};
}

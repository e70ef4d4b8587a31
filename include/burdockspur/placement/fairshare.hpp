#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/machine/resources.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
struct TeamQuota;

/// @brief A queued job as FairShare sees it.
struct FairJob {
    std::string_view m_team;
    Resources m_demand; ///< what its attempt would reserve
    bool m_urgent = false;
    std::uint64_t m_submission = 0;
    TimePoint m_queuedAt;
};

/// @brief Orders queued jobs by urgency, waiting time and the weighted dominant-resource shares of their teams.
class FairShare
{
public:
    /// @param starvation a job that has waited longer comes before all but urgent jobs
    explicit FairShare(Milliseconds starvation) noexcept;

    /// @brief Sets quotas and weights; a team without an entry has weight 1 and no quota.
    /// @param teams those of the configuration
    /// @param capacity of all workers; shares are parts of it
    auto setTeams(std::span<const TeamQuota> teams, const Resources &capacity) -> void;

    /// @brief An attempt of the team reserved an amount.
    auto add(std::string_view team, const Resources &amount) -> void;

    /// @brief An attempt that add() counted has ended.
    auto remove(std::string_view team, const Resources &amount) -> void;

    /// @brief Order in which queued jobs are placed.
    ///
    /// A team above its quota waits while another team has a job that fits its own: such jobs are left out,
    /// unless they are urgent or have waited too long.
    /// @param jobs queued jobs of all teams
    /// @returns indices into jobs
    [[nodiscard]] auto order(std::span<const FairJob> jobs, TimePoint now) const -> std::vector<std::size_t>;

    /// @brief Largest part of a resource that the team uses, divided by its weight.
    [[nodiscard]] auto shareOf(std::string_view team) const noexcept -> double;

private:
    struct Team {
        Resources m_used;
        Resources m_limit;
        double m_weight = 1.0;
        bool m_hasLimit = false;
    };
    using Teams = std::map<std::string, Team, std::less<>>;

    [[nodiscard]] auto shareOf(const Team &team) const noexcept -> double;
    [[nodiscard]] static auto fits(const Team &team, const Resources &demand) noexcept -> bool;
    auto fill(std::span<const FairJob> jobs, std::vector<std::size_t> &waiting, Teams &teams, std::vector<std::size_t> &order) const -> void;

    Milliseconds m_starvation;
    Resources m_capacity;
    Teams m_teams;
};
}

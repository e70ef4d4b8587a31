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

/// @brief The properties of a queued job that decide its place in the order.
struct FairJob {
    std::string_view m_team;
    Resources m_demand; ///< resources that its attempt would reserve
    bool m_urgent = false;
    std::uint64_t m_submission = 0; ///< rises in the order of submission
    TimePoint m_queuedAt;
};

/// @brief Orders queued jobs by urgency, starvation and the weighted dominant-resource shares of their teams.
class FairShare
{
public:
    /// @param starvation waiting time after which a job goes before all but urgent jobs
    explicit FairShare(Milliseconds starvation) noexcept;

    /// @brief Sets quotas and weights; a team without an entry has weight 1 and no quota.
    /// @param teams quotas from the configuration
    /// @param capacity total capacity of all workers, to which the shares relate
    auto setTeams(std::span<const TeamQuota> teams, const Resources &capacity) -> void;

    /// @brief Adds the reservation of an attempt to the team's usage.
    auto add(std::string_view team, const Resources &amount) -> void;

    /// @brief Removes a reservation that add() has counted, when its attempt ends.
    auto remove(std::string_view team, const Resources &amount) -> void;

    /// @brief Computes the order in which queued jobs are placed.
    ///
    /// Jobs that would exceed their team's quota are left out while another team has a job within its own quota, unless they are
    /// urgent or starving.
    /// @param jobs queued jobs of all teams
    /// @returns indices into jobs, first to be placed first
    [[nodiscard]] auto order(std::span<const FairJob> jobs, TimePoint now) const -> std::vector<std::size_t>;

    /// @brief Dominant share of a team, the largest share of any resource that it uses, divided by its weight.
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
    /// Moves jobs within the quotas from waiting to order, and adds their demands to the usage of the teams.
    auto appendFairly(std::span<const FairJob> jobs, std::vector<std::size_t> &waiting, Teams &teams, std::vector<std::size_t> &order) const -> void;

    Milliseconds m_starvation;
    Resources m_capacity;
    Teams m_teams;
};
}

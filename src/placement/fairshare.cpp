#include "burdockspur/placement/fairshare.hpp"

#include "burdockspur/contract/configuration.hpp"
#include "burdockspur/core/invariant.hpp"

#include <algorithm>

namespace Burdockspur
{
FairShare::FairShare(Milliseconds starvation) noexcept
    : m_starvation(starvation)
{
}

auto FairShare::setTeams(std::span<const TeamQuota> teams, const Resources &capacity) -> void
{
    m_capacity = capacity;
    for (auto &[name, team] : m_teams) {
        team.m_hasLimit = false;
        team.m_weight = 1.0;
    }
    for (const auto &quota : teams) {
        Team &team = m_teams[quota.m_team];
        team.m_limit = quota.m_limit;
        team.m_hasLimit = true;
        team.m_weight = quota.m_weight;
    }
}

auto FairShare::add(std::string_view team, const Resources &amount) -> void
{
    m_teams[std::string(team)].m_used += amount;
}

auto FairShare::remove(std::string_view team, const Resources &amount) -> void
{
    const auto found = m_teams.find(team);
    requireInvariant(found != m_teams.end(), "team_of_a_reservation", team);
    found->second.m_used -= amount;
    requireInvariant(found->second.m_used.isValid(), "team_usage_not_negative", team);
    if (found->second.m_used == Resources() && !found->second.m_hasLimit) {
        m_teams.erase(found);
    }
}

auto FairShare::shareOf(const Team &team) const noexcept -> double
{
    const auto part = [](std::int64_t used, std::int64_t whole) {
        return whole <= 0 ? 0.0 : static_cast<double>(used) / static_cast<double>(whole);
    };
    const double dominant = std::max({part(team.m_used.m_cpuMillis, m_capacity.m_cpuMillis),
                                      part(team.m_used.m_memoryMb, m_capacity.m_memoryMb),
                                      part(team.m_used.m_accelerators, m_capacity.m_accelerators)});
    constexpr double leastWeight = 1e-6; // avoids a division by zero; a team with weight 0 goes last
    return dominant / std::max(team.m_weight, leastWeight);
}

auto FairShare::shareOf(std::string_view team) const noexcept -> double
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? 0.0 : shareOf(found->second);
}

auto FairShare::fits(const Team &team, const Resources &demand) noexcept -> bool
{
    Resources after = team.m_used;
    after += demand;
    return !team.m_hasLimit || after.fitsInto(team.m_limit);
}

auto FairShare::order(std::span<const FairJob> jobs, TimePoint now) const -> std::vector<std::size_t>
{
    std::vector<std::size_t> order;
    std::vector<std::size_t> waiting;
    std::vector<std::size_t> starving;
    Teams teams = m_teams;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        auto &list = jobs[i].m_urgent ? order : (now - jobs[i].m_queuedAt > m_starvation ? starving : waiting);
        list.push_back(i);
    }
    const auto bySubmission = [&](std::size_t index) {
        return jobs[index].m_submission;
    };
    std::ranges::sort(order, {}, bySubmission);
    std::ranges::sort(starving, {}, bySubmission);
    std::ranges::sort(waiting, {}, bySubmission);
    order.insert(order.end(), starving.begin(), starving.end());
    for (const std::size_t index : order) {
        teams[std::string(jobs[index].m_team)].m_used += jobs[index].m_demand;
    }
    const std::size_t before = order.size();
    appendFairly(jobs, waiting, teams, order);
    if (order.size() == before && !waiting.empty()) {
        // No waiting job is within its team's quota, so applying the quotas would only leave capacity idle.
        for (auto &[name, team] : teams) {
            team.m_hasLimit = false;
        }
        appendFairly(jobs, waiting, teams, order);
    }
    return order;
}

auto FairShare::appendFairly(std::span<const FairJob> jobs, std::vector<std::size_t> &waiting, Teams &teams, std::vector<std::size_t> &order) const -> void
{
    // The next job is the oldest one of the team with the smallest share, counting the jobs already ordered as running.
    while (!waiting.empty()) {
        auto best = waiting.end();
        double smallest = 0.0;
        std::map<std::string_view, bool> seenTeams;
        for (auto next = waiting.begin(); next != waiting.end(); ++next) {
            const FairJob &job = jobs[*next];
            const Team &team = teams[std::string(job.m_team)];
            if (!fits(team, job.m_demand) || !seenTeams.emplace(job.m_team, true).second) {
                continue;
            }
            const double share = shareOf(team);
            if (best == waiting.end() || share < smallest) {
                best = next;
                smallest = share;
            }
        }
        if (best == waiting.end()) {
            return;
        }
        teams[std::string(jobs[*best].m_team)].m_used += jobs[*best].m_demand;
        order.push_back(*best);
        waiting.erase(best);
    }
}
}

#include "burdockspur/placement/interferencecontroller.hpp"

#include "burdockspur/placement/interferencemodel.hpp"

#include <algorithm>
#include <chrono>

namespace Burdockspur
{
namespace
{
constexpr std::int32_t fullPercent = 100;
constexpr double smoothing = 0.3; // of the ratio; the 99th percentile over a few seconds varies by about 10%

auto removeBefore(std::deque<TimePoint> &times, TimePoint first) -> void
{
    while (!times.empty() && times.front() < first) {
        times.pop_front();
    }
}
}

InterferenceController::InterferenceController(const ReactionSettings &settings)
    : m_settings(settings)
{
}

auto InterferenceController::react(std::string_view worker, double ratio, Duration lag, const InterferenceModel &model, TimePoint now) -> Reaction
{
    auto found = m_workers.find(worker);
    if (found == m_workers.end()) {
        found = m_workers.emplace(worker, State()).first;
    }
    State &state = found->second;
    state.m_ratio = state.m_ratio > 0.0 ? state.m_ratio + smoothing * (ratio - state.m_ratio) : ratio;
    if (now < state.m_nextActionAt) {
        return {};
    }
    Reaction reaction;
    if (state.m_ratio > m_settings.m_startRatio) {
        reaction = throttleOrEvict(state, model.worstClass(worker, now), now);
    } else {
        reaction = releaseClass(worker, state, model, now);
    }
    if (reaction.m_kind != Reaction::Kind::None) {
        const auto wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double, Duration::period>(lag) * m_settings.m_lagFactor);
        state.m_nextActionAt = now + std::max<Duration>(wait, m_settings.m_leastWait);
    }
    return reaction;
}

auto InterferenceController::throttleOrEvict(State &state, std::string_view jobClass, TimePoint now) -> Reaction
{
    if (jobClass.empty()) {
        return {};
    }
    const auto known = state.m_percents.find(jobClass);
    if (known == state.m_percents.end() || known->second > m_settings.m_secondPercent) {
        const std::int32_t percent = known == state.m_percents.end() ? m_settings.m_firstPercent : m_settings.m_secondPercent;
        state.m_percents.insert_or_assign(std::string(jobClass), percent);
        return {.m_kind = Reaction::Kind::Throttle, .m_class = std::string(jobClass), .m_percent = percent};
    }
    if (!mayEvict(state, now)) {
        return {};
    }
    state.m_evictions.push_back(now);
    m_evictions.push_back(now);
    ++m_evicted;
    return {.m_kind = Reaction::Kind::Evict, .m_class = std::string(jobClass), .m_percent = known->second};
}

auto InterferenceController::mayEvict(State &state, TimePoint now) -> bool
{
    removeBefore(state.m_evictions, now - m_settings.m_window);
    removeBefore(m_evictions, now - m_settings.m_window);
    return state.m_evictions.size() < m_settings.m_workerEvictions && m_evictions.size() < m_settings.m_shardEvictions;
}

auto InterferenceController::releaseClass(std::string_view worker, State &state, const InterferenceModel &model, TimePoint now) const -> Reaction
{
    for (auto throttled = state.m_percents.begin(); throttled != state.m_percents.end(); ++throttled) {
        const double growth = static_cast<double>(fullPercent) / throttled->second - 1.0;
        const double expected = state.m_ratio + growth * model.contributionOf(worker, throttled->first, now);
        if (state.m_ratio < m_settings.m_endRatio || expected < m_settings.m_releaseRatio) {
            Reaction reaction{.m_kind = Reaction::Kind::Release, .m_class = throttled->first, .m_percent = fullPercent};
            state.m_percents.erase(throttled);
            return reaction;
        }
    }
    return {};
}

auto InterferenceController::percentOf(std::string_view worker, std::string_view jobClass) const noexcept -> std::int32_t
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end()) {
        return fullPercent;
    }
    const auto known = found->second.m_percents.find(jobClass);
    return known == found->second.m_percents.end() ? fullPercent : known->second;
}

auto InterferenceController::removeWorker(std::string_view worker) -> void
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end()) {
        m_workers.erase(found);
    }
}
}

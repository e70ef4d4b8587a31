#include "burdockspur/placement/interferencemodel.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Burdockspur
{
namespace
{
// An unknown pair is assumed to be harmful enough that a known harmless one is preferred.
constexpr double prior = 0.3;
constexpr double learningRate = 0.02; // larger steps follow the noise of single samples
constexpr double firstRate = 0.3; // while little is known
constexpr double firstSamples = 100.0;
constexpr double surpriseRate = 0.02;
constexpr double surpriseLimit = 0.1; // ten times the deviation that a noise of 10% causes
// With measurements that vary by 10%, the error of an effect is then about a fifth of a ratio of 1.
constexpr double enoughInformation = 0.2;
constexpr double leastContribution = 0.03;
constexpr double baseFeature = 0.3; // the base is known better than the effects, so it moves less
constexpr double regularization = 0.05; // keeps the step small when next to nothing ran beside the service
constexpr std::chrono::minutes halfLife{30};
constexpr std::chrono::seconds keptHistory{120}; // samples later than this are dropped
constexpr double leastShare = 0.01; // a smaller share says nothing about the class
}

auto InterferenceModel::indexOf(Names &names, std::string_view name) -> std::size_t
{
    const auto found = names.find(name);
    return found != names.end() ? found->second : names.emplace(name, names.size()).first->second;
}

auto InterferenceModel::setShare(std::string_view worker, std::string_view jobClass, double share, TimePoint now) -> void
{
    const std::size_t index = indexOf(m_classNames, jobClass);
    auto found = m_workers.find(worker);
    if (found == m_workers.end()) {
        found = m_workers.emplace(worker, WorkerHistory()).first;
    }
    auto &occupancy = found->second.m_occupancy;
    if (occupancy.empty()) {
        occupancy.push_back({.m_since = now, .m_shares = {}});
    } else if (occupancy.back().m_since < now) {
        occupancy.push_back({.m_since = now, .m_shares = occupancy.back().m_shares});
    }
    auto &shares = occupancy.back().m_shares;
    shares.resize(std::max(shares.size(), index + 1));
    m_totals.resize(std::max(m_totals.size(), index + 1));
    m_totals[index] += share - shares[index];
    shares[index] = share;
    while (occupancy.size() > 1 && occupancy[1].m_since < now - keptHistory) {
        occupancy.pop_front();
    }
}

auto InterferenceModel::sharesAt(const WorkerHistory &history, TimePoint when) noexcept -> const Shares *
{
    const auto after = std::ranges::upper_bound(history.m_occupancy, when, {}, &Occupancy::m_since);
    return after == history.m_occupancy.begin() ? nullptr : &std::prev(after)->m_shares;
}

auto InterferenceModel::valueOf(const Service &service, std::size_t jobClass, TimePoint now) noexcept -> double
{
    if (jobClass >= service.m_effects.size() || service.m_effects[jobClass].m_samples == 0) {
        return prior;
    }
    const Effect &effect = service.m_effects[jobClass];
    const auto age = std::chrono::duration<double>(now - effect.m_measured);
    return prior + (effect.m_value - prior) * std::exp2(-age / std::chrono::duration<double>(halfLife));
}

auto InterferenceModel::addSample(const TailSample &sample, TimePoint now) -> void
{
    const auto found = m_workers.find(sample.m_worker);
    const Shares *const shares = found == m_workers.end() ? nullptr : sharesAt(found->second, sample.m_takenAt);
    if (shares == nullptr || sample.m_takenAt < now - keptHistory) {
        return;
    }
    const std::size_t index = indexOf(m_serviceNames, sample.m_service);
    m_services.resize(std::max(m_services.size(), index + 1));
    auto &there = found->second.m_services;
    const auto known = std::ranges::find(there, index, &ServiceThere::m_service);
    if (known == there.end()) {
        there.push_back({.m_service = index, .m_load = sample.m_load});
    } else {
        known->m_load = sample.m_load;
    }
    learn(m_services[index], *shares, sample, now);
}

auto InterferenceModel::learn(Service &service, const Shares &shares, const TailSample &sample, TimePoint now) -> void
{
    service.m_effects.resize(std::max(service.m_effects.size(), shares.size()));
    double expected = 0.0;
    double norm = regularization + baseFeature * baseFeature;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        const double feature = shares[i] * sample.m_load;
        expected += feature * valueOf(service, i, now);
        norm += feature * feature;
    }
    if (!service.m_hasBase) {
        service.m_base = std::max(0.0, sample.m_ratio - expected);
        service.m_hasBase = true;
    }
    const double error = sample.m_ratio - service.m_base - expected;
    service.m_surprise += surpriseRate * (error - service.m_surprise);
    service.m_samples += 1.0;
    const double rate = std::max(learningRate, firstRate / (1.0 + service.m_samples / firstSamples));
    const double step = rate * error / norm;
    service.m_base = std::max(0.0, service.m_base + step * baseFeature * baseFeature);
    for (std::size_t i = 0; i < shares.size(); ++i) {
        if (shares[i] >= leastShare) {
            Effect &effect = service.m_effects[i];
            effect.m_value = std::max(0.0, valueOf(service, i, now) + step * shares[i] * sample.m_load);
            effect.m_measured = now;
            ++effect.m_samples;
            effect.m_information += shares[i] * shares[i] * sample.m_load * sample.m_load;
        }
    }
    if (std::abs(service.m_surprise) > surpriseLimit) {
        forget(service);
    }
}

auto InterferenceModel::forget(Service &service) -> void
{
    for (Effect &effect : service.m_effects) {
        if (effect.m_value > prior) {
            effect = Effect();
        }
    }
    service.m_surprise = 0.0;
    service.m_samples = 0.0;
}

auto InterferenceModel::ratioOf(const ServiceThere &there, const Shares &shares, TimePoint now) const noexcept -> double
{
    const Service &service = m_services[there.m_service];
    double ratio = service.m_base;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        if (shares[i] > 0.0) {
            ratio += shares[i] * there.m_load * valueOf(service, i, now);
        }
    }
    return ratio;
}

template<typename Measure>
auto InterferenceModel::worstOver(std::string_view worker, std::string_view jobClass, double share, TimePoint now, Measure measure) const -> double
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end() || found->second.m_occupancy.empty()) {
        return 0.0;
    }
    const auto known = m_classNames.find(jobClass);
    double worst = 0.0;
    for (const auto &there : found->second.m_services) {
        const Service &service = m_services[there.m_service];
        const double effect = known == m_classNames.end() ? prior : valueOf(service, known->second, now);
        const double ratio = ratioOf(there, found->second.m_occupancy.back().m_shares, now) + share * there.m_load * effect;
        worst = std::max(worst, measure(service, ratio));
    }
    return worst;
}

auto InterferenceModel::expectedRatio(std::string_view worker, std::string_view jobClass, double share, TimePoint now) const -> double
{
    return worstOver(worker, jobClass, share, now, [](const Service & /*service*/, double ratio) {
        return ratio;
    });
}

auto InterferenceModel::expectedGrowth(std::string_view worker, std::string_view jobClass, double share, TimePoint now) const -> double
{
    return worstOver(worker, jobClass, share, now, [](const Service &service, double ratio) {
        return service.m_base > 0.0 ? ratio / service.m_base - 1.0 : 0.0;
    });
}

auto InterferenceModel::effectOf(std::string_view service, std::string_view jobClass, TimePoint now) const -> double
{
    const auto index = m_serviceNames.find(service);
    const auto known = m_classNames.find(jobClass);
    return index == m_serviceNames.end() || known == m_classNames.end() ? prior : valueOf(m_services[index->second], known->second, now);
}

auto InterferenceModel::samplesOf(std::string_view service, std::string_view jobClass) const -> std::uint32_t
{
    const auto index = m_serviceNames.find(service);
    const auto known = m_classNames.find(jobClass);
    if (index == m_serviceNames.end() || known == m_classNames.end()) {
        return 0;
    }
    const auto &effects = m_services[index->second].m_effects;
    return known->second < effects.size() ? effects[known->second].m_samples : 0;
}

auto InterferenceModel::isUnknown(std::string_view worker, std::string_view jobClass) const -> bool
{
    const auto found = m_workers.find(worker);
    const auto known = m_classNames.find(jobClass);
    if (found == m_workers.end() || known == m_classNames.end() || found->second.m_services.empty()) {
        return true;
    }
    return std::ranges::any_of(found->second.m_services, [&](const ServiceThere &there) {
        const auto &effects = m_services[there.m_service].m_effects;
        return known->second >= effects.size() || effects[known->second].m_information < enoughInformation;
    });
}

auto InterferenceModel::contributionOf(std::string_view worker, std::string_view jobClass, TimePoint now) const -> double
{
    const auto found = m_workers.find(worker);
    const auto known = m_classNames.find(jobClass);
    if (found == m_workers.end() || found->second.m_occupancy.empty() || known == m_classNames.end()) {
        return 0.0;
    }
    const auto &shares = found->second.m_occupancy.back().m_shares;
    double largest = 0.0;
    for (const auto &there : found->second.m_services) {
        const double share = known->second < shares.size() ? shares[known->second] : 0.0;
        largest = std::max(largest, share * there.m_load * valueOf(m_services[there.m_service], known->second, now));
    }
    return largest;
}

auto InterferenceModel::worstClass(std::string_view worker, TimePoint now) const -> std::string
{
    std::string worst;
    double largest = leastContribution;
    for (const auto &[name, index] : m_classNames) {
        const double contribution = contributionOf(worker, name, now);
        if (contribution > largest) {
            largest = contribution;
            worst = name;
        }
    }
    return worst;
}

auto InterferenceModel::refresh(TimePoint now) -> void
{
    for (Service &service : m_services) {
        double sum = 0.0;
        double weight = 0.0;
        for (std::size_t i = 0; i < m_totals.size(); ++i) {
            sum += m_totals[i] * valueOf(service, i, now);
            weight += m_totals[i];
        }
        service.m_mean = weight > 0.0 ? sum / weight : 0.0;
    }
}

auto InterferenceModel::meanEffect(std::string_view worker) const -> double
{
    const auto found = m_workers.find(worker);
    double worst = 0.0;
    if (found != m_workers.end()) {
        for (const auto &there : found->second.m_services) {
            worst = std::max(worst, m_services[there.m_service].m_mean * there.m_load);
        }
    }
    return worst;
}

auto InterferenceModel::removeWorker(std::string_view worker) -> void
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end()) {
        for (std::size_t i = 0; !found->second.m_occupancy.empty() && i < found->second.m_occupancy.back().m_shares.size(); ++i) {
            m_totals[i] -= found->second.m_occupancy.back().m_shares[i];
        }
        m_workers.erase(found);
    }
}
}

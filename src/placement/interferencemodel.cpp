#include "burdockspur/placement/interferencemodel.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Burdockspur
{
namespace
{
// Assumed for an unmeasured pair: high enough that a pair known to be harmless is preferred.
constexpr double priorEffect = 0.3;
constexpr double learningRate = 0.02; // larger steps would follow the noise of single samples
constexpr double initialRate = 0.3; // learning rate at the first sample, to converge faster
constexpr double initialSamples = 100.0; // the rate has halved after as many samples
constexpr double meanErrorRate = 0.02; // smoothing factor of the prediction error
constexpr double meanErrorLimit = 0.1; // ten times the standard deviation of the smoothed error at 10% noise
// A pair is known from this sum of squared features on. With a measurement noise of 10%, the error of its effect is then about 0.2.
constexpr double enoughSquaredFeatures = 0.2;
constexpr double leastContribution = 0.03; // smaller contributions are within the error of the model
constexpr double baseFeature = 0.3; // small, because the base is known better than the effects and should change less
constexpr double regularization = 0.05; // limits the step when hardly anything ran beside the service
constexpr std::chrono::minutes halfLife{30}; // of the decay of unmeasured effects towards the prior
constexpr std::chrono::seconds keptHistory{120}; // samples that arrive later are ignored
constexpr double leastShare = 0.01; // the effect of a smaller share cannot be measured
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

auto InterferenceModel::currentEffect(const Service &service, std::size_t jobClass, TimePoint now) noexcept -> double
{
    if (jobClass >= service.m_effects.size() || service.m_effects[jobClass].m_samples == 0) {
        return priorEffect;
    }
    const Effect &effect = service.m_effects[jobClass];
    const auto age = std::chrono::duration<double>(now - effect.m_measured);
    return priorEffect + (effect.m_value - priorEffect) * std::exp2(-age / std::chrono::duration<double>(halfLife));
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
    auto &localServices = found->second.m_services;
    const auto known = std::ranges::find(localServices, index, &LocalService::m_service);
    if (known == localServices.end()) {
        localServices.push_back({.m_service = index, .m_load = sample.m_load});
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
        expected += feature * currentEffect(service, i, now);
        norm += feature * feature;
    }
    if (!service.m_hasBase) {
        service.m_base = std::max(0.0, sample.m_ratio - expected);
        service.m_hasBase = true;
    }
    const double error = sample.m_ratio - service.m_base - expected;
    service.m_meanError += meanErrorRate * (error - service.m_meanError);
    service.m_samples += 1.0;
    const double rate = std::max(learningRate, initialRate / (1.0 + service.m_samples / initialSamples));
    const double step = rate * error / norm;
    service.m_base = std::max(0.0, service.m_base + step * baseFeature * baseFeature);
    for (std::size_t i = 0; i < shares.size(); ++i) {
        if (shares[i] >= leastShare) {
            Effect &effect = service.m_effects[i];
            effect.m_value = std::max(0.0, currentEffect(service, i, now) + step * shares[i] * sample.m_load);
            effect.m_measured = now;
            ++effect.m_samples;
            effect.m_squaredFeatures += shares[i] * shares[i] * sample.m_load * sample.m_load;
        }
    }
    if (std::abs(service.m_meanError) > meanErrorLimit) {
        forgetHighEffects(service);
    }
}

auto InterferenceModel::forgetHighEffects(Service &service) -> void
{
    for (Effect &effect : service.m_effects) {
        if (effect.m_value > priorEffect) {
            effect = Effect();
        }
    }
    service.m_meanError = 0.0;
    service.m_samples = 0.0;
}

auto InterferenceModel::ratioOf(const LocalService &local, const Shares &shares, TimePoint now) const noexcept -> double
{
    const Service &service = m_services[local.m_service];
    double ratio = service.m_base;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        if (shares[i] > 0.0) {
            ratio += shares[i] * local.m_load * currentEffect(service, i, now);
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
    for (const auto &local : found->second.m_services) {
        const Service &service = m_services[local.m_service];
        const double effect = known == m_classNames.end() ? priorEffect : currentEffect(service, known->second, now);
        const double ratio = ratioOf(local, found->second.m_occupancy.back().m_shares, now) + share * local.m_load * effect;
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
    return index == m_serviceNames.end() || known == m_classNames.end() ? priorEffect : currentEffect(m_services[index->second], known->second, now);
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
    return std::ranges::any_of(found->second.m_services, [&](const LocalService &local) {
        const auto &effects = m_services[local.m_service].m_effects;
        return known->second >= effects.size() || effects[known->second].m_squaredFeatures < enoughSquaredFeatures;
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
    for (const auto &local : found->second.m_services) {
        const double share = known->second < shares.size() ? shares[known->second] : 0.0;
        largest = std::max(largest, share * local.m_load * currentEffect(m_services[local.m_service], known->second, now));
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
            sum += m_totals[i] * currentEffect(service, i, now);
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
        for (const auto &local : found->second.m_services) {
            worst = std::max(worst, m_services[local.m_service].m_mean * local.m_load);
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

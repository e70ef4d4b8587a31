#pragma once

#include "burdockspur/core/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief A measurement of a service's tail latency on one worker, which arrives with a delay.
struct TailSample {
    std::string_view m_worker;
    std::string_view m_service;
    TimePoint m_takenAt; ///< time of the measurement, not of its arrival
    double m_load = 0.0; ///< load of the service on the worker, 1 at its usual peak
    double m_ratio = 0.0; ///< tail latency divided by the service's target
};

/// @brief Learns how much the tail latency of a service grows when a job class runs beside it.
///
/// The ratio of tail latency to target is modelled as a base of the service plus, for each class, its effect times its share
/// of the worker's processors times the load. Each sample corrects the effects of the classes that ran at the time of the
/// measurement (normalized least mean squares). Effects that are not measured decay to the prior. A lasting prediction error
/// means that the behaviour of a service has changed: its effects above the prior are then reset, because such pairs are
/// avoided and would not be measured again.
class InterferenceModel
{
public:
    /// @brief Records the share of a worker's processors that a class uses from now on.
    auto setShare(std::string_view worker, std::string_view jobClass, double share, TimePoint now) -> void;

    /// @brief Learns from a sample; ignores one that is older than the kept history.
    auto addSample(const TailSample &sample, TimePoint now) -> void;

    /// @brief Expected ratio of tail latency to target of a worker's worst service, with an additional job.
    /// @param worker name of the worker; without samples of it the result is 0
    /// @param jobClass class of the additional job
    /// @param share share of the worker's processors that the additional job uses
    [[nodiscard]] auto expectedRatio(std::string_view worker, std::string_view jobClass, double share, TimePoint now) const -> double;

    /// @brief Expected growth of the ratio over the base of the service, as a share of the base; for the worker's worst service.
    [[nodiscard]] auto expectedGrowth(std::string_view worker, std::string_view jobClass, double share, TimePoint now) const -> double;

    /// @brief Growth of a service's ratio at load 1 when a class uses all processors of the worker.
    [[nodiscard]] auto effectOf(std::string_view service, std::string_view jobClass, TimePoint now) const -> double;

    /// @brief Number of samples of a pair.
    [[nodiscard]] auto samplesOf(std::string_view service, std::string_view jobClass) const -> std::uint32_t;

    /// @brief Growth of the ratio that a class causes on a worker now; for the service where it is largest.
    [[nodiscard]] auto contributionOf(std::string_view worker, std::string_view jobClass, TimePoint now) const -> double;

    /// @brief Class with the largest contribution on a worker; empty when none exceeds the error of the model.
    [[nodiscard]] auto worstClass(std::string_view worker, TimePoint now) const -> std::string;

    /// @brief True when the class needs more samples beside some service of the worker.
    [[nodiscard]] auto isUnknown(std::string_view worker, std::string_view jobClass) const -> bool;

    /// @brief Recomputes the results of meanEffect(); to be called once before each round of placements.
    auto refresh(TimePoint now) -> void;

    /// @brief Mean effect of all classes, weighted by their shares of all workers, on the worker's worst service.
    ///
    /// A worker with a low mean suits most classes, so jobs that also suit other workers should not take it.
    [[nodiscard]] auto meanEffect(std::string_view worker) const -> double;

    auto removeWorker(std::string_view worker) -> void;

private:
    using Shares = std::vector<double>; ///< by class
    /// Shares of the classes on a worker from m_since until the next entry.
    struct Occupancy {
        TimePoint m_since;
        Shares m_shares;
    };
    struct LocalService {
        std::size_t m_service = 0; ///< index into m_services of the model
        double m_load = 0.0; ///< of the last sample
    };
    struct WorkerHistory {
        std::deque<Occupancy> m_occupancy; ///< oldest first
        std::vector<LocalService> m_services;
    };
    struct Effect {
        double m_value = 0.0;
        TimePoint m_measured; ///< last sample
        std::uint32_t m_samples = 0;
        double m_squaredFeatures = 0.0; ///< sum over the samples of (share x load)^2; samples of a small share carry little information
    };
    struct Service {
        double m_base = 0.0;
        bool m_hasBase = false;
        double m_mean = 0.0; ///< mean of the effects, weighted by the shares of the classes
        double m_meanError = 0.0; ///< smoothed prediction error
        double m_samples = 0.0; ///< number of samples since the start or the last change of behaviour
        std::vector<Effect> m_effects; ///< by class
    };
    using Names = std::map<std::string, std::size_t, std::less<>>;

    [[nodiscard]] static auto indexOf(Names &names, std::string_view name) -> std::size_t;
    /// Effect of a class, decayed towards the prior by its age.
    [[nodiscard]] static auto currentEffect(const Service &service, std::size_t jobClass, TimePoint now) noexcept -> double;
    /// Shares at a time; nullptr when it is before the kept history.
    [[nodiscard]] static auto sharesAt(const WorkerHistory &history, TimePoint when) noexcept -> const Shares *;
    [[nodiscard]] auto ratioOf(const LocalService &local, const Shares &shares, TimePoint now) const noexcept -> double;

    /// @brief Largest value of a measure over the services of a worker; 0 for an unknown worker.
    /// @param measure called with a service and its expected ratio with the additional job
    template<typename Measure>
    [[nodiscard]] auto worstOver(std::string_view worker, std::string_view jobClass, double share, TimePoint now, Measure measure) const -> double;
    /// Resets the effects above the prior after a change of the service's behaviour.
    static auto forgetHighEffects(Service &service) -> void;
    auto learn(Service &service, const Shares &shares, const TailSample &sample, TimePoint now) -> void;

    Names m_classNames;
    Names m_serviceNames;
    std::vector<Service> m_services;
    Shares m_totals; ///< sums over all workers
    std::map<std::string, WorkerHistory, std::less<>> m_workers;
};
}

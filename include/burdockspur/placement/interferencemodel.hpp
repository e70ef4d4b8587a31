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
/// @brief A delayed measurement of a service's tail latency on one worker.
struct TailSample {
    std::string_view m_worker;
    std::string_view m_service;
    TimePoint m_takenAt; ///< when it was measured, not when it arrived
    double m_load = 0.0; ///< load of the service there, 1 at its usual peak
    double m_ratio = 0.0; ///< tail latency divided by the service's target
};

/// @brief Learns how much the tail latency of a service grows when a job class runs beside it.
///
/// The ratio of tail latency to target is modelled as a base of the service plus, for each class, its
/// effect times its share of the worker's processors times the load. Each sample corrects the effects of the
/// classes that ran at the time of the measurement (normalized least mean squares). Effects that are not
/// measured decay to the prior. When the expectation for a service stays wrong, its behaviour has changed: effects
/// above the prior are forgotten, because such pairs are avoided and would not be measured again.
class InterferenceModel
{
public:
    /// @brief Sets the share of a worker's processors that a class uses from now on.
    auto setShare(std::string_view worker, std::string_view jobClass, double share, TimePoint now) -> void;

    /// @brief Learns from a sample; one older than the kept history is dropped.
    auto addSample(const TailSample &sample, TimePoint now) -> void;

    /// @brief Expected ratio of tail latency to target on a worker; the worst of its services.
    /// @param worker a worker without samples has no services, and the result is 0
    /// @param jobClass class of an additional job
    /// @param share share of the additional job
    [[nodiscard]] auto expectedRatio(std::string_view worker, std::string_view jobClass, double share, TimePoint now) const -> double;

    /// @brief Expected growth over the service alone on a worker, as a share of the base; the worst of its services.
    [[nodiscard]] auto expectedGrowth(std::string_view worker, std::string_view jobClass, double share, TimePoint now) const -> double;

    /// @brief Growth of the ratio per full worker of a class at load 1.
    [[nodiscard]] auto effectOf(std::string_view service, std::string_view jobClass, TimePoint now) const -> double;

    /// @brief Samples of a pair, to find pairs that need exploration.
    [[nodiscard]] auto samplesOf(std::string_view service, std::string_view jobClass) const -> std::uint32_t;

    /// @brief What a class adds to the ratio on a worker now; the worst of its services.
    [[nodiscard]] auto contributionOf(std::string_view worker, std::string_view jobClass, TimePoint now) const -> double;

    /// @brief The class with the largest contribution on a worker; empty when none adds more than the errors of the model.
    [[nodiscard]] auto worstClass(std::string_view worker, TimePoint now) const -> std::string;

    /// @brief True when a service of the worker has not been measured enough beside the class.
    [[nodiscard]] auto isUnknown(std::string_view worker, std::string_view jobClass) const -> bool;

    /// @brief Computes the mean effects that meanEffect() returns; call once before a pass of placements.
    auto refresh(TimePoint now) -> void;

    /// @brief Mean effect on a worker's services over the classes, weighted by their shares of all workers.
    ///
    /// A worker with a low mean suits most jobs, so a job that suits many workers leaves it to others.
    [[nodiscard]] auto meanEffect(std::string_view worker) const -> double;

    auto removeWorker(std::string_view worker) -> void;

private:
    using Shares = std::vector<double>; ///< by class
    struct Occupancy {
        TimePoint m_since;
        Shares m_shares;
    };
    struct ServiceThere {
        std::size_t m_service = 0;
        double m_load = 0.0;
    };
    struct WorkerHistory {
        std::deque<Occupancy> m_occupancy; ///< oldest first
        std::vector<ServiceThere> m_services;
    };
    struct Effect {
        double m_value = 0.0;
        TimePoint m_measured;
        std::uint32_t m_samples = 0;
        double m_information = 0.0; ///< sum of the squared features; many samples of a small share say little
    };
    struct Service {
        double m_base = 0.0;
        bool m_hasBase = false;
        double m_mean = 0.0; ///< of the effects, weighted by the shares of the classes
        double m_surprise = 0.0; ///< smoothed error of the expectation
        double m_samples = 0.0; ///< since the start or the last change of behaviour
        std::vector<Effect> m_effects; ///< by class
    };
    using Names = std::map<std::string, std::size_t, std::less<>>;

    [[nodiscard]] static auto indexOf(Names &names, std::string_view name) -> std::size_t;
    [[nodiscard]] static auto valueOf(const Service &service, std::size_t jobClass, TimePoint now) noexcept -> double;
    [[nodiscard]] static auto sharesAt(const WorkerHistory &history, TimePoint when) noexcept -> const Shares *;
    [[nodiscard]] auto ratioOf(const ServiceThere &there, const Shares &shares, TimePoint now) const noexcept -> double;

    /// @brief Largest value of a measure over the services of a worker; 0 for a worker that is not known.
    /// @param measure takes a service and the ratio that is expected with the job
    template<typename Measure>
    [[nodiscard]] auto worstOver(std::string_view worker, std::string_view jobClass, double share, TimePoint now, Measure measure) const -> double;
    static auto forget(Service &service) -> void;
    auto learn(Service &service, const Shares &shares, const TailSample &sample, TimePoint now) -> void;

    Names m_classNames;
    Names m_serviceNames;
    std::vector<Service> m_services;
    Shares m_totals; ///< of all workers
    std::map<std::string, WorkerHistory, std::less<>> m_workers;
};
}

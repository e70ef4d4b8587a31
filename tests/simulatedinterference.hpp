#pragma once

#include "burdockspur/core/clock.hpp"
#include "burdockspur/core/randomsource.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace Burdockspur::Testing
{
struct SimulatedRun;
struct SimulatedWorker;

/// @brief Processors that filling runs get, and the tail latencies of the serving runs beside them.
///
/// The headroom of a serving run is its tail target divided by its tail:
/// headroom = headroom without filling runs - sum over the filling runs of weight x share of the worker's processors in use.
/// Weights are random for each pair of images: about half are near 0, the others are large. The headroom without filling runs varies in
/// a wave that the tasks of a job have in common. Weights and waves depend only on the seed and on names, not on the order of decisions.
class SimulatedInterference
{
public:
    explicit SimulatedInterference(std::uint64_t seed);

    /// @brief Replaces the random weight of a pair of images.
    auto setWeight(std::string_view fill, std::string_view serving, double weight) -> void;

    /// @brief Replaces the random wave of a serving job.
    /// @param headroom constant headroom without filling runs
    auto setHeadroom(std::string_view job, double headroom) -> void;

    /// @brief Advances the filling runs of a worker, and updates the headrooms of its serving runs.
    auto advance(SimulatedWorker &worker, TimePoint now, Milliseconds elapsed) -> void;

    /// @brief Load of a run as a worker reports it, see RunningTask::m_load; tails have a random error.
    [[nodiscard]] auto reportedLoad(const SimulatedRun &run) -> double;

private:
    /// Headroom without filling runs of the serving tasks of a job: mean + amplitude x sin(time / period + phase).
    struct Wave {
        double m_mean = 0;
        double m_amplitude = 0;
        double m_periodSeconds = 1;
        double m_phase = 0;

        [[nodiscard]] auto at(TimePoint now) const noexcept -> double;
    };

    [[nodiscard]] auto weight(std::string_view fill, std::string_view serving) -> double;
    [[nodiscard]] auto waveOf(std::string_view job) -> const Wave &;
    /// @brief Divides the processors that the other runs leave among the filling runs.
    auto shareProcessors(SimulatedWorker &worker, TimePoint now) -> void;

    std::uint64_t m_seed;
    RandomSource m_noise; ///< separate from the other random numbers of a simulation, so that its faults do not depend on it
    std::map<std::pair<std::string, std::string>, double> m_weights; ///< by images of the filling and the serving task
    std::map<std::string, Wave, std::less<>> m_waves; ///< by job
};
}

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief Number of an image within a PressureModel.
using ImageId = std::uint32_t;

/// @brief Processors that filling tasks of one image use on a worker.
struct FillUse {
    ImageId m_image = 0;
    double m_share = 0; ///< of the worker's processors
};

/// @brief What was learned of one pair of images, to be kept over a change of the owner.
struct PressurePair {
    std::string m_fill;
    std::string m_serving;
    double m_weight = 0; ///< see PressureModel::weight()
    double m_variance = 0; ///< of the weight; the smaller, the more was seen of the pair

    [[nodiscard]] auto operator==(const PressurePair &) const -> bool = default;
};

/// @brief Learns how much each image of filling tasks presses on each image of serving tasks.
///
/// The headroom of a serving task is its target divided by its tail: 1 at the target, more when it is better. A queue's
/// delay grows with the inverse of the capacity that is left, so the headroom falls in a straight line with what presses
/// on the task: headroom = free headroom - sum of weight x share.
class PressureModel
{
public:
    /// @brief Number of an image; the same name gives the same number.
    [[nodiscard]] auto imageId(std::string_view image) -> ImageId;

    /// @brief Headroom that a serving task loses for each full share of a worker's processors.
    [[nodiscard]] auto weight(ImageId fill, ImageId serving) const noexcept -> double;

    /// @brief Headroom that a serving task loses in all.
    [[nodiscard]] auto pressure(std::span<const FillUse> fills, ImageId serving) const noexcept -> double;

    /// @brief Takes a comparison of two samples of serving tasks that differ by what presses on them.
    /// @param fills what presses on one task more than on the other; shares below 0 for what presses on it less
    /// @param serving image of both
    /// @param lost headroom by which the one is behind the other
    auto learn(std::span<const FillUse> fills, ImageId serving, double lost) -> void;

    /// @brief All pairs of which something was seen.
    [[nodiscard]] auto pairs() const -> std::vector<PressurePair>;

    /// @brief Takes what a previous owner has learned, for pairs of which this one has seen less.
    auto restore(std::span<const PressurePair> pairs) -> void;

private:
    /// A Kalman filter of the weights of all filling images on one serving image.
    struct Victim {
        bool m_isKnown = false; ///< something has pressed on it
        std::vector<double> m_weights; ///< by index of the filling image
        std::vector<double> m_covariance; ///< square, row by row
    };

    /// Index of a filling image within the filters; all filters grow with a new one.
    [[nodiscard]] auto indexOf(ImageId fill) -> std::size_t;
    [[nodiscard]] auto victimOf(ImageId serving) -> Victim &;

    std::map<std::string, ImageId, std::less<>> m_ids;
    std::vector<std::string> m_names; ///< by id
    std::vector<ImageId> m_fills; ///< filling images by index
    std::vector<std::optional<std::size_t>> m_indexes; ///< of filling images, by id
    std::vector<Victim> m_victims; ///< by id
};
}

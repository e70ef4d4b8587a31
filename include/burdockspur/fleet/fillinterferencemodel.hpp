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
/// @brief Number that a FillInterferenceModel assigns to an image.
using ImageId = std::uint32_t;

/// @brief Processor use of the filling tasks of one image on a worker.
struct FillUse {
    ImageId m_image = 0;
    double m_share = 0; ///< share of the worker's processors
};

/// @brief Learned interference between two images, stored so that it survives a change of the owner.
struct InterferencePair {
    std::string m_fill; ///< image of filling tasks
    std::string m_serving; ///< image of serving tasks
    double m_weight = 0; ///< see FillInterferenceModel::weight()
    double m_variance = 0; ///< variance of the weight; falls with each sample of the pair

    [[nodiscard]] auto operator==(const InterferencePair &) const -> bool = default;
};

/// @brief Learns how much headroom filling tasks of each image cost serving tasks of each image.
///
/// The headroom of a serving task is its tail target divided by its tail latency: 1 at the target, larger when latency is lower.
/// A queue's delay grows with the inverse of the remaining capacity, so headroom falls linearly with the processor shares of the
/// filling tasks: headroom = headroom without filling tasks - sum of weight x share.
class FillInterferenceModel
{
public:
    /// @brief Number of an image, assigned when its name is first used.
    [[nodiscard]] auto imageId(std::string_view image) -> ImageId;

    /// @brief Headroom that a serving task would lose if the filling image used all of the worker's processors.
    [[nodiscard]] auto weight(ImageId fill, ImageId serving) const noexcept -> double;

    /// @brief Headroom that a serving task loses to all filling tasks together.
    [[nodiscard]] auto headroomLoss(std::span<const FillUse> fills, ImageId serving) const noexcept -> double;

    /// @brief Updates the weights from two samples of serving tasks that run beside different filling tasks.
    /// @param difference filling shares beside the first task minus those beside the second; may be negative
    /// @param serving image of both serving tasks
    /// @param loss headroom of the second task minus that of the first
    auto learn(std::span<const FillUse> difference, ImageId serving, double loss) -> void;

    /// @brief All pairs with at least one sample.
    [[nodiscard]] auto pairs() const -> std::vector<InterferencePair>;

    /// @brief Adopts the weights that a previous owner has learned, for pairs where their variance is smaller.
    auto restore(std::span<const InterferencePair> pairs) -> void;

private:
    /// Kalman filter for the weights of all filling images on one serving image.
    struct WeightFilter {
        bool m_isInitialized = false; ///< false until the first sample; then the vectors have their full size
        std::vector<double> m_weights; ///< by fill index
        std::vector<double> m_covariance; ///< square matrix, row by row
    };

    /// Index of a filling image within the filters; a new image enlarges all initialized filters.
    [[nodiscard]] auto indexOf(ImageId fill) -> std::size_t;
    [[nodiscard]] auto filterOf(ImageId serving) -> WeightFilter &;

    std::map<std::string, ImageId, std::less<>> m_ids;
    std::vector<std::string> m_names; ///< by image id
    std::vector<ImageId> m_fillImages; ///< filling images, by fill index
    std::vector<std::optional<std::size_t>> m_fillIndexes; ///< fill index by image id; nothing for images that never filled
    std::vector<WeightFilter> m_filters; ///< by id of the serving image
};
}

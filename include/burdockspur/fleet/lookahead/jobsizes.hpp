#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Burdockspur
{
/// @brief Size of a job compared with the recent jobs of its queue.
enum class JobSize : std::uint8_t {
    Rest,
    NextFifth, ///< among the largest three tenths, but not the largest tenth
    LargestTenth,
};

/// Names in metrics, in the order of JobSize.
constexpr std::array<std::string_view, 3> jobSizeNames{"rest", "next_fifth", "largest_tenth"};

/// @brief Tells the size of a job from the declared work of the recent jobs of its queue.
class JobSizes
{
public:
    /// @brief Records a job.
    /// @param work declared work of all of its tasks
    /// @returns its size; JobSize::Rest until some jobs of the queue are known
    auto record(std::string_view queue, double work) -> JobSize;

private:
    struct Queue {
        std::vector<double> m_works; ///< latest works, as a ring
        std::size_t m_next = 0; ///< place of the next one
        std::size_t m_sinceSorted = 0;
        double m_largestTenth = 0; ///< least work of the largest tenth
        double m_nextFifth = 0; ///< least work of the fifth below it
    };
    std::map<std::string, Queue, std::less<>> m_queues;
};
}

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Burdockspur
{
/// @brief Learns how much work a job of each queue has on average; a job's weight follows its work relative to that.
///
/// The first jobs count alike, so that an owner that has only the jobs of its takeover weighs them much as the former owner did.
class QueueWorkMeans
{
public:
    /// @brief Records a job.
    /// @param queue name of its queue
    /// @param coreSeconds its total work
    auto add(std::string_view queue, double coreSeconds) -> void;

    /// @brief Mean total work of a job in core seconds; nothing when no job of the queue is known.
    [[nodiscard]] auto mean(std::string_view queue) const -> std::optional<double>;

private:
    struct Mean {
        double m_coreSeconds = 0;
        std::uint32_t m_jobs = 0;
    };

    std::map<std::string, Mean, std::less<>> m_means;
};
}

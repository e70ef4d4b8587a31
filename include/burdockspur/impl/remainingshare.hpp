#pragma once

namespace Burdockspur
{
struct JobSpec;
struct PlacementCandidate;

/// @brief Smaller of the shares of a worker's processors and memory that would stay free with the job.
[[nodiscard]] auto remainingShare(const JobSpec &spec, const PlacementCandidate &candidate) noexcept -> double;
}

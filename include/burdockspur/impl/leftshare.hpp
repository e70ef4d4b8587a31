#pragma once

namespace Burdockspur
{
struct JobSpec;
struct PlacementCandidate;

/// @brief Share of a worker's scarcer capacity, processors or memory, that a job would leave free there.
[[nodiscard]] auto leftShare(const JobSpec &spec, const PlacementCandidate &candidate) noexcept -> double;
}

#pragma once

#include "burdockspur/placement/classspread.hpp"
#include "burdockspur/placement/interferencecontroller.hpp"
#include "burdockspur/placement/interferencemodel.hpp"
#include "burdockspur/placement/scoredpolicy.hpp"
#include "burdockspur/placement/sizeestimator.hpp"

#include <memory>
#include <string_view>

namespace Burdockspur::Bench
{
/// @brief A placement policy to evaluate, with the objects that it bases its decisions on.
struct PolicySetup {
    /// @param name name of the policy: `alone` (no batch work), `random`, `leastloaded`, `bestfit`, `bestfitspread` or `scored`
    explicit PolicySetup(std::string_view name);

    SizeEstimator m_sizes;
    InterferenceModel m_model;
    InterferenceController m_controller;
    ClassSpread m_spread;
    std::unique_ptr<PlacementPolicy> m_policy; ///< null when no batch work runs
    ScoredPolicy *m_scored = nullptr; ///< set when the policy is a ScoredPolicy, the only one that uses reports of the workers
};
}

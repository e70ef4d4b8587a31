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
/// @brief A policy under measurement with the decision objects that it uses.
struct PolicySetup {
    /// @param name `alone` (no batch work), `random`, `leastloaded`, `bestfit`, `bestfitspread` or `scored`
    explicit PolicySetup(std::string_view name);

    SizeEstimator m_sizes;
    InterferenceModel m_model;
    InterferenceController m_controller;
    ClassSpread m_spread;
    std::unique_ptr<PlacementPolicy> m_policy; ///< none when no batch work runs
    ScoredPolicy *m_scored = nullptr; ///< the policy, when it is this one; the others learn nothing
};
}

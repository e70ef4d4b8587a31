#include "policysetup.hpp"

#include "burdockspur/placement/bestfit.hpp"
#include "burdockspur/placement/leastloaded.hpp"
#include "burdockspur/placement/randompolicy.hpp"
#include "burdockspur/shard/bestfitspread.hpp"

namespace Burdockspur::Bench
{
PolicySetup::PolicySetup(std::string_view name)
    : m_controller(ReactionSettings())
{
    if (name == "random") {
        m_policy = std::make_unique<RandomPolicy>();
    } else if (name == "leastloaded") {
        m_policy = std::make_unique<LeastLoaded>();
    } else if (name == "bestfit") {
        m_policy = std::make_unique<BestFit>();
    } else if (name == "bestfitspread") {
        m_policy = std::make_unique<BestFitSpread>();
    } else if (name == "scored") {
        auto scored = std::make_unique<ScoredPolicy>(m_model, m_spread);
        m_scored = scored.get();
        m_policy = std::move(scored);
    }
}
}

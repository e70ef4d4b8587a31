#include "burdockspur/fleet/fillinterferencemodel.hpp"
#include "burdockspur/core/randomsource.hpp"

#include <gtest/gtest.h>

using namespace Burdockspur;

namespace
{
/// True weights of the two filling images, beside the same serving image.
constexpr double heavy = 8.0;
constexpr double light = 0.5;

auto addComparisons(FillInterferenceModel &model, ImageId heavyFill, ImageId lightFill, ImageId serving, int samples) -> void
{
    RandomSource random(5);
    for (int i = 0; i < samples; ++i) {
        const std::array<FillUse, 2> use{{{heavyFill, 0.05 + 0.2 * random.unit()}, {lightFill, 0.05 + 0.2 * random.unit()}}};
        const double noise = 0.3 * (random.unit() - 0.5);
        model.learn(use, serving, heavy * use[0].m_share + light * use[1].m_share + noise);
    }
}
}

// Guards against a model that attributes the loss to all filling images equally, so that no worker would accept light images.
TEST(FillInterferenceModelTest, AttributesTheLossToTheHeavyImage)
{
    FillInterferenceModel model;
    const auto heavyImage = model.imageId("guilty");
    const auto lightImage = model.imageId("innocent");
    const auto serving = model.imageId("serving");
    addComparisons(model, heavyImage, lightImage, serving, 60);
    EXPECT_NEAR(model.weight(heavyImage, serving), heavy, 1.5);
    EXPECT_NEAR(model.weight(lightImage, serving), light, 1.0);
}

// Guards against treating a pair without samples as harmless, and against refusing it forever.
TEST(FillInterferenceModelTest, PairsWithoutSamplesHaveAMediumWeight)
{
    FillInterferenceModel model;
    const auto weight = model.weight(model.imageId("a"), model.imageId("b"));
    EXPECT_GT(weight, light);
    EXPECT_LT(weight, heavy);
}

// Guards against a new owner that starts without the weights that its predecessor has learned.
TEST(FillInterferenceModelTest, RestoresLearnedWeights)
{
    FillInterferenceModel first;
    addComparisons(first, first.imageId("guilty"), first.imageId("innocent"), first.imageId("serving"), 60);
    FillInterferenceModel second;
    static_cast<void>(second.imageId("other"));
    second.restore(first.pairs());
    const auto serving = second.imageId("serving");
    EXPECT_NEAR(second.weight(second.imageId("guilty"), serving), heavy, 1.5);
    // The next sample changes the restored weight instead of the initial one.
    const std::array<FillUse, 1> use{{{second.imageId("guilty"), 0.1}}};
    second.learn(use, serving, heavy * 0.1);
    EXPECT_NEAR(second.weight(second.imageId("guilty"), serving), heavy, 1.5);
}

// Guards against learning from tiny shares, where the noise of the samples would dominate the weights.
TEST(FillInterferenceModelTest, IgnoresTinyShares)
{
    FillInterferenceModel model;
    const auto fill = model.imageId("fill");
    const auto serving = model.imageId("serving");
    const double before = model.weight(fill, serving);
    const std::array<FillUse, 1> use{{{fill, 0.001}}};
    model.learn(use, serving, 5.0);
    EXPECT_DOUBLE_EQ(model.weight(fill, serving), before);
}

// Guards against a restored weight that the next sample of another image changes: what was learned of both together before the restore
// stayed in the filter, and after a takeover filling tasks were slowed and held back for many seconds.
TEST(FillInterferenceModelTest, ARestoredWeightIsIndependentOfEarlierSamples)
{
    FillInterferenceModel model;
    const auto known = model.imageId("known");
    const auto other = model.imageId("other");
    const auto serving = model.imageId("serving");
    const std::array<FillUse, 2> both{{{known, 0.4}, {other, 0.4}}};
    for (int i = 0; i < 5; ++i) {
        model.learn(both, serving, 1.0);
    }
    const std::vector<InterferencePair> stored{{"known", "serving", light, 0.05}};
    model.restore(stored);
    const std::array<FillUse, 1> alone{{{other, 0.4}}};
    for (int i = 0; i < 5; ++i) {
        model.learn(alone, serving, heavy * 0.4);
    }
    EXPECT_NEAR(model.weight(known, serving), light, 0.05);
    EXPECT_NEAR(model.weight(other, serving), heavy, 1.0);
}

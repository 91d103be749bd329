#include "packages/dispatch/headroom_regression.h"

#include <cmath>
#include <random>

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr size_t kInterfering = 0;
constexpr size_t kHarmless = 1;
constexpr double kShare = 0.12;
constexpr double kTrueLoss = 8;

// Adds samples of an image whose baseline headroom oscillates between 1.4
// and 3.4 under a random mix of an interfering and a harmless source.
void ObserveMixes(HeadroomRegression* regression, int count) {
  std::mt19937_64 random(7);
  std::bernoulli_distribution present(0.5);
  for (int i = 0; i < count; ++i) {
    std::vector<HeadroomRegression::Pressure> pressures;
    double headroom = 2.4 + std::sin(0.7 * i);
    if (present(random)) {
      pressures.push_back({kInterfering, kShare});
      headroom -= kShare * kTrueLoss;
    }
    if (present(random)) {
      pressures.push_back({kHarmless, kShare});
    }
    regression->Observe(pressures, headroom, 1);
  }
}

TEST_GROUP(HeadroomRegression){};

// Fails when a harmless source is assigned the loss that an interfering source
// on the same worker causes.
TEST(HeadroomRegression, SeparatesInterferingFromHarmlessSources) {
  HeadroomRegression regression;
  ObserveMixes(&regression, 200);
  DOUBLES_EQUAL(kTrueLoss, regression.LossOf(kInterfering).mean, 2);
  CHECK(regression.LossOf(kHarmless).mean < 2);
  CHECK(regression.LossOf(kInterfering).deviation < 2);
}

// Fails when a source without samples gets a loss or a small deviation.
TEST(HeadroomRegression, UnknownSourceIsUncertainAndHasNoLoss) {
  HeadroomRegression regression;
  ObserveMixes(&regression, 200);
  DOUBLES_EQUAL(0, regression.LossOf(5).mean, 0);
  CHECK(regression.LossOf(5).deviation > 4);
}

// Fails when the low baseline headroom ignores the spread of the samples and
// equals the mean.
TEST(HeadroomRegression, LowBaselineHeadroomIsBelowTheMean) {
  HeadroomRegression regression;
  ObserveMixes(&regression, 400);
  CHECK(regression.LowBaselineHeadroom() < 2.1);
  CHECK(regression.LowBaselineHeadroom() > 1.2);
}

// Fails when saturation lowers a learned loss, because a saturated queue shows
// less loss than several interfering sources would cause together.
TEST(HeadroomRegression, SaturatedSamplesDoNotLowerALoss) {
  HeadroomRegression regression;
  ObserveMixes(&regression, 200);
  const double before = regression.LossOf(kInterfering).mean;
  for (int i = 0; i < 200; ++i) {
    const HeadroomRegression::Pressure pressure{kInterfering, 4 * kShare};
    regression.Observe({&pressure, 1}, 0.1, 1);
  }
  CHECK(regression.LossOf(kInterfering).mean > 0.8 * before);
}

// Fails when the estimate keeps an old loss after a program has changed.
TEST(HeadroomRegression, FollowsASourceThatBecomesHarmless) {
  HeadroomRegression regression;
  ObserveMixes(&regression, 200);
  for (int i = 0; i < 3'000; ++i) {
    const HeadroomRegression::Pressure pressure{kInterfering, kShare};
    regression.Observe({&pressure, i % 2 == 0 ? 1U : 0U}, 2.4, 1);
  }
  CHECK(regression.LossOf(kInterfering).mean < kTrueLoss / 2);
}

}  // namespace
}  // namespace bramleyrail

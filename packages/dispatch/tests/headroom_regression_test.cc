#include "packages/dispatch/headroom_regression.h"

#include <cmath>
#include <random>

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr size_t kDisturber = 0;
constexpr size_t kHarmless = 1;
constexpr double kShare = 0.12;
constexpr double kTrueLoss = 8;

// Figures of an image whose calm headroom swings between 1.4 and 3.4, beside a
// random mix of a disturber and a harmless source.
void ObserveMixes(HeadroomRegression* regression, int count) {
  std::mt19937_64 random(7);
  std::bernoulli_distribution present(0.5);
  for (int i = 0; i < count; ++i) {
    std::vector<HeadroomRegression::Pressure> pressures;
    double headroom = 2.4 + std::sin(0.7 * i);
    if (present(random)) {
      pressures.push_back({kDisturber, kShare});
      headroom -= kShare * kTrueLoss;
    }
    if (present(random)) {
      pressures.push_back({kHarmless, kShare});
    }
    regression->Observe(pressures, headroom, 1);
  }
}

TEST_GROUP(HeadroomRegression){};

// Guards against a harmless source that is blamed for what stands beside it.
TEST(HeadroomRegression, TellsADisturberFromAHarmlessNeighbour) {
  HeadroomRegression regression;
  ObserveMixes(&regression, 200);
  DOUBLES_EQUAL(kTrueLoss, regression.LossOf(kDisturber).mean, 2);
  CHECK(regression.LossOf(kHarmless).mean < 2);
  CHECK(regression.LossOf(kDisturber).deviation < 2);
}

// Guards against confidence in a source that was never seen.
TEST(HeadroomRegression, UnknownSourceIsUncertainAndTakesNothing) {
  HeadroomRegression regression;
  ObserveMixes(&regression, 200);
  DOUBLES_EQUAL(0, regression.LossOf(5).mean, 0);
  CHECK(regression.LossOf(5).deviation > 4);
}

// Guards against a worst case that is as good as the mean.
TEST(HeadroomRegression, LowHeadroomIsInTheWorsePartOfTheTime) {
  HeadroomRegression regression;
  ObserveMixes(&regression, 400);
  CHECK(regression.LowCalmHeadroom() < 2.1);
  CHECK(regression.LowCalmHeadroom() > 1.2);
}

// Guards against losses that are forgotten because a saturated queue shows less
// loss than several disturbers together would cause.
TEST(HeadroomRegression, SaturatedFiguresDoNotLowerALoss) {
  HeadroomRegression regression;
  ObserveMixes(&regression, 200);
  const double before = regression.LossOf(kDisturber).mean;
  for (int i = 0; i < 200; ++i) {
    const HeadroomRegression::Pressure pressure{kDisturber, 4 * kShare};
    regression.Observe({&pressure, 1}, 0.1, 1);
  }
  CHECK(regression.LossOf(kDisturber).mean > 0.8 * before);
}

// Guards against a program that changes while the old experience stays.
TEST(HeadroomRegression, FollowsASourceThatBecomesHarmless) {
  HeadroomRegression regression;
  ObserveMixes(&regression, 200);
  for (int i = 0; i < 3'000; ++i) {
    const HeadroomRegression::Pressure pressure{kDisturber, kShare};
    regression.Observe({&pressure, i % 2 == 0 ? 1U : 0U}, 2.4, 1);
  }
  CHECK(regression.LossOf(kDisturber).mean < kTrueLoss / 2);
}

}  // namespace
}  // namespace bramleyrail

// Durations of runs that are learned from those that have ended.

#include "packages/dispatch/run_time_estimator.h"

#include "absl/strings/str_cat.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr Milliseconds kActual{600};
// Of a quarter of an octave, in which the durations are counted.
constexpr double kPrecision = 1.2;

TEST_GROUP(RunTimeEstimator) {
  RunTimeEstimator estimator_;

  void Record(Milliseconds actual, int runs, Milliseconds submitted = kActual) {
    for (int run = 0; run < runs; ++run) {
      estimator_.Record("queue", "image", submitted, actual);
    }
  }
  RunTimeEstimate Estimate(Milliseconds submitted = kActual) const {
    return estimator_.Estimate("queue", "image", submitted);
  }
  static bool IsNear(Milliseconds estimate, Milliseconds actual) {
    const auto ratio = static_cast<double>(estimate.count()) /
                       static_cast<double>(actual.count());
    return ratio >= 1 / kPrecision && ratio <= kPrecision;
  }
};

// Fails when submitted estimates that are wrong by nine tenths, either way, are
// not corrected by the runs.
TEST(RunTimeEstimator, CorrectsSubmittedEstimates) {
  for (const Milliseconds submitted : {kActual / 10, 10 * kActual}) {
    estimator_ = {};
    Record(kActual, 20, submitted);
    const RunTimeEstimate estimate = Estimate(submitted);
    CHECK(IsNear(estimate.low, kActual));
    CHECK(IsNear(estimate.expected, kActual));
    CHECK(IsNear(estimate.high, kActual));
  }
}

// Fails when a new leader, which has no data, takes submitted estimates for
// exact.
TEST(RunTimeEstimator, IsUncertainWithoutData) {
  Record(kActual, 2);
  const RunTimeEstimate estimate = Estimate();
  CHECK(estimate.low <= kActual / 10);
  CHECK(estimate.expected == kActual);
  CHECK(estimate.high >= 10 * kActual);
}

// Pattern: 3% of the runs take seven times as long. Fails when these few decide
// what all others are expected to take.
TEST(RunTimeEstimator, TailDoesNotDecideTheEstimates) {
  for (int round = 0; round < 10; ++round) {
    Record(7 * kActual, 1);
    Record(kActual, 32);
  }
  CHECK(IsNear(Estimate().high, kActual));
}

// Pattern: a few workers slow down to a fifth for some seconds. Fails when the
// estimates don't come back afterwards.
TEST(RunTimeEstimator, SlowWorkersAreForgotten) {
  Record(kActual, 100);
  Record(5 * kActual, 30);
  CHECK(!IsNear(Estimate().high, kActual));
  Record(kActual, 150);
  CHECK(IsNear(Estimate().high, kActual));
}

// Pattern: a queue whose runs vary tenfold. Fails when the spread isn't
// learned, so that long ones count as short.
TEST(RunTimeEstimator, LearnsTheSpreadOfAQueue) {
  for (int run = 0; run < 100; ++run) {
    Record(kActual * (1 + run * 7 % 10), 1);
  }
  const RunTimeEstimate estimate = Estimate();
  CHECK(estimate.low <= 2 * kActual);
  CHECK(estimate.high >= 8 * kActual);
}

// Fails when an image that has no runs yet doesn't use those of its queue, or
// when queues share their runs.
TEST(RunTimeEstimator, NewImageUsesTheRunsOfItsQueue) {
  Record(3 * kActual, 20);
  CHECK(IsNear(estimator_.Estimate("queue", "new", kActual).expected,
               3 * kActual));
  CHECK(
      IsNear(estimator_.Estimate("other", "image", kActual).expected, kActual));
}

// Fails when clients that send ever new images make the leader's memory grow.
TEST(RunTimeEstimator, ImagesAreBounded) {
  for (size_t image = 0; image < 3 * RunTimeEstimator::kMaximumImages;
       ++image) {
    estimator_.Record(absl::StrCat("queue", image % 7),
                      absl::StrCat("image", image), kActual, kActual);
  }
  LONGS_EQUAL(RunTimeEstimator::kMaximumImages, estimator_.image_count());
}

}  // namespace
}  // namespace bramleyrail

#include "packages/dispatch/short_work_history.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr ResourceAmounts kSize{1'000, 2'000, 0};

TEST_GROUP(ShortWorkHistory) {
  MonotonicTime now_{std::chrono::hours(1)};
  ShortWorkHistory history_;

  void Arrive(int steps, int64_t tasks, Milliseconds interval) {
    for (int i = 0; i < steps; ++i) {
      history_.AddReadyTasks(kSize, tasks, Milliseconds(500), now_);
      now_ += interval;
    }
  }
  int64_t Peak() {
    return history_.Need(now_).peak_processor_millis;
  }
};

// Steady arrivals: 10 processors in use at a time. Fails when the need is less,
// or so much more that it keeps room empty.
TEST(ShortWorkHistory, NeedFollowsRateAndDuration) {
  Arrive(600, 2, Milliseconds(100));
  const ShortWorkNeed need = history_.Need(now_);
  CHECK(need.mean_processor_millis > 9'000);
  CHECK(need.mean_processor_millis < 11'000);
  CHECK(need.peak_processor_millis >= 10'000);
  CHECK(need.peak_processor_millis < 25'000);
}

// Bursts between pauses. Fails when the need follows the mean.
TEST(ShortWorkHistory, BurstsCount) {
  for (int i = 0; i < 6; ++i) {
    Arrive(10, 4, Milliseconds(50));
    now_ += Milliseconds(9'500);
  }
  // 40 processors of each burst are in use at its end.
  CHECK(Peak() >= 30'000);
}

// A takeover with many open tasks. Fails when they count as a peak that may
// come again after the open tasks have ended.
TEST(ShortWorkHistory, TasksOpenAtATakeoverAreNoUsualPeak) {
  history_.AddReadyTasks(kSize, 400, Milliseconds(500), now_);
  CHECK(Peak() >= 400'000);
  now_ += Milliseconds(100);
  Arrive(100, 2, Milliseconds(100));
  CHECK(Peak() < 400'000);
}

// A single job. Fails when it counts as if such jobs came all the time.
TEST(ShortWorkHistory, OneLongJobCountsOnce) {
  history_.AddReadyTasks(kSize, 8, Milliseconds(600'000), now_);
  now_ += Milliseconds(5'000);
  CHECK(Peak() >= 8'000);
  CHECK(Peak() < 30'000);
}

// Estimates that are wrong. Fails when finished runs don't correct them.
TEST(ShortWorkHistory, FinishedRunsCorrectEstimates) {
  for (int i = 0; i < 100; ++i) {
    history_.AddFinishedRun(Milliseconds(1'000), Milliseconds(2'000), now_);
  }
  const auto expected =
      history_.ExpectedDuration(Milliseconds(500), now_).count();
  CHECK(expected > 900);
  CHECK(expected <= 1'000);
}

// Fails when work is remembered for good.
TEST(ShortWorkHistory, ForgetsWorkAfterAWhile) {
  Arrive(100, 2, Milliseconds(100));
  now_ += Milliseconds(120'000);
  CHECK(history_.IsEmpty(now_));
  CHECK(history_.Need(now_).empty());
}

}  // namespace
}  // namespace bramleyrail

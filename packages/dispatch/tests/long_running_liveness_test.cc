// Each long-running task for which a worker has room, or will have it, runs
// within a bound after the last fault, whatever faults came before. Small
// ordinary tasks fill all workers meanwhile.

#include <rapidcheck.h>

#include <string>
#include <utility>
#include <vector>

#include "packages/dispatch/tests/liveness_scenario.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

// Of the default size of a sequence. It bounds the duration of the tests.
constexpr double kSequenceScale = 0.4;

void CheckAnySequenceOfFaults(bool has_gang,
                              Fault first = Fault::kPartition,
                              bool has_accounts = false) {
  LivenessScenario scenario({.seed = *rc::gen::arbitrary<uint64_t>(),
                             .has_gang = has_gang,
                             .has_accounts = has_accounts});
  const auto faults = *rc::gen::scale(
      kSequenceScale,
      rc::gen::container<std::vector<std::pair<int, int>>>(
          rc::gen::pair(rc::gen::inRange(static_cast<int>(first),
                                         static_cast<int>(Fault::kCount)),
                        rc::gen::inRange(0, 10'000))));
  for (const auto& [fault, argument] : faults) {
    scenario.Apply(static_cast<Fault>(fault), argument);
  }
  scenario.Stop();
  const bool at_work = scenario.RunUntilAllAreAtWork(scenario.Bound());
  RC_ASSERT(scenario.pool().violation() == "");
  RC_ASSERT((at_work ? "" : scenario.DescribeStandingTasks()) == "");
}

TEST_GROUP(LongRunningLiveness){};

// LOST: fails when a long-running task stands still after the last fault for
// longer than the leases, the calls, the attribution of crashes and the
// ordinary runs on the workers allow.
TEST(LongRunningLiveness, EachTaskRunsWithinABoundAfterTheLastFault) {
  CHECK(rc::check("faults", [] { CheckAnySequenceOfFaults(false); }));
}

// LOST: the same without a silent worker, when no task has to wait for a lease.
TEST(LongRunningLiveness, EachTaskRunsWithinAShorterBoundWithoutSilence) {
  CHECK(rc::check("faults without silence", [] {
    CheckAnySequenceOfFaults(false, kFirstFaultWithoutSilence);
  }));
}

// LOST: fails when a gang does, or a task because of one.
TEST(LongRunningLiveness, EachTaskBesideAGangRunsWithinABound) {
  CHECK(rc::check("gang", [] { CheckAnySequenceOfFaults(true); }));
}

// QUOTA, LOST: fails when an account exceeds its limit, or when a long-running
// task stands still although the limit has room for it.
TEST(LongRunningLiveness, EachTaskWithinALimitRunsWithinABound) {
  CHECK(rc::check("accounts", [] {
    CheckAnySequenceOfFaults(true, Fault::kPartition, /*has_accounts=*/true);
  }));
}

// LOST: fails when a task never gets its room because so many ordinary tasks
// wait that no pass of the leader tries all steps.
TEST(LongRunningLiveness, EachTaskBesideManyOrdinaryOnesRunsWithinABound) {
  LivenessScenario scenario({.has_many_ordinary_tasks = true});
  scenario.Stop();
  const bool at_work = scenario.RunUntilAllAreAtWork(scenario.Bound());
  STRCMP_EQUAL("", scenario.pool().violation().c_str());
  STRCMP_EQUAL("", (at_work ? "" : scenario.DescribeStandingTasks()).c_str());
}

}  // namespace
}  // namespace bramleyrail

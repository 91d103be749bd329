// Batches of finished runs that become durable together.

#include <vector>

#include "packages/dispatch/tests/one_worker_fixture.h"

namespace bramleyrail {
namespace {

TEST_GROUP_BASE(FinishedRunBatch, OneWorkerFixture){};

// Fails when ends of a batch that is not durable are acknowledged, because the
// batches before and after it are: the next leader would never receive them.
TEST(FinishedRunBatch, EndsBetweenDurableBatchesAreNotAcknowledged) {
  StepToRenewal(Milliseconds(0));
  std::vector<uint64_t> batches;
  for (int64_t number = 1; number <= 3; ++number) {
    ListFinished(5'000 + number, {number});
    batches.push_back(dispatcher_->TakeFinishedRuns().number);
  }
  dispatcher_->MarkFinishedRunsDurable(batches[2]);
  dispatcher_->MarkFinishedRunsDurable(batches[0]);
  LONGS_EQUAL(1, StepToRenewal(Milliseconds(1'000)).acknowledged_through);
  ListFinished(6'100, {});
  dispatcher_->MarkFinishedRunsDurable(batches[1]);
  LONGS_EQUAL(3, StepToRenewal(Milliseconds(10)).acknowledged_through);
}

}  // namespace
}  // namespace bramleyrail

// Tasks whose last attempt has failed.

#include "packages/dispatch/tests/one_worker_fixture.h"

namespace bramleyrail {
namespace {

TEST_GROUP_BASE(AttemptLimit, OneWorkerFixture) {
  int64_t clock_ms_ = 15'000;
  int64_t last_number_ = 0;

  // Submits a job whose second and third step each wait for the first one and
  // have one task with one attempt. Returns the starts of the two tasks, which
  // the worker has confirmed.
  std::vector<StartOrder> StartTwoSteps() {
    now_ += Milliseconds(10'000);  // The lease of an earlier leader is over.
    List({}, {});
    SubmitJob job;
    job.id = "job";
    job.queue = "queue";
    job.pool = "pool";
    job.maximum_attempts = 1;
    job.specification = FakePool::Job(1, 3);
    job.specification.steps[2].predecessors = {0};
    Apply(job);
    const std::vector<StartOrder> first = Step<StartOrder>(Milliseconds(10));
    LONGS_EQUAL(1, first.size());
    List({}, {{first.front(), RunOutcome::kDone}});
    std::vector<StartOrder> starts = Step<StartOrder>(Milliseconds(10));
    LONGS_EQUAL(2, starts.size());
    for (const StartOrder& start : starts) {
      dispatcher_->HandleStartResponse(Address(), start.task, start.run,
                                       OrderOutcome::kAccepted, now_);
    }
    return starts;
  }

  // The worker lists these running and these newly finished runs.
  void List(const std::vector<StartOrder>& running,
            const std::vector<std::pair<StartOrder, RunOutcome>>& finished) {
    LeaseRenewalResponse response{.clock_ms = clock_ms_};
    for (const StartOrder& start : running) {
      response.running.push_back({start.task, start.run, "", 50, std::nullopt});
    }
    for (const auto& [start, outcome] : finished) {
      response.finished.push_back(
          {++last_number_, {start.task, start.run, outcome, ""}, "end"});
    }
    dispatcher_->HandleLeaseRenewalResponse(Address(), OrderOutcome::kAccepted,
                                            response, now_, now_);
  }
};

// BUDGET: while the end of a task's last attempt was being recorded, the last
// task of another step ended. That made the tasks of all steps ready whose
// predecessors were done, and the task started once more.
TEST(AttemptLimit, TaskDoesNotStartAfterItsLastAttemptWhenAnotherStepEnds) {
  const std::vector<StartOrder> starts = StartTwoSteps();
  List({starts[1]}, {{starts[0], RunOutcome::kFailed}});
  LONGS_EQUAL(0, Step<StartOrder>(Milliseconds(100)).size());
  List({}, {{starts[1], RunOutcome::kDone}});
  LONGS_EQUAL(0, Step<StartOrder>(Milliseconds(100)).size());
  LONGS_EQUAL(0, Step<StartOrder>(Milliseconds(1'000)).size());
}

// BUDGET: the same, when one list names both ends.
TEST(AttemptLimit, TaskDoesNotStartWhenOneListEndsItsLastAttemptAndAStep) {
  const std::vector<StartOrder> starts = StartTwoSteps();
  List({}, {{starts[1], RunOutcome::kFailed}, {starts[0], RunOutcome::kDone}});
  LONGS_EQUAL(0, Step<StartOrder>(Milliseconds(100)).size());
  LONGS_EQUAL(0, Step<StartOrder>(Milliseconds(1'000)).size());
}

}  // namespace
}  // namespace bramleyrail

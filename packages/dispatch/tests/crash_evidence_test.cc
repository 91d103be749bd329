// Which crashes of a worker count against the runs that were ordered there.

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "packages/dispatch/tests/one_worker_fixture.h"

namespace bramleyrail {
namespace {

struct CrashEvidenceFixture : public OneWorkerFixture {
  const TaskName task_{"job", 0, 0, 0};
  int replacements_ = 0;

  // The run of the only start that is ordered next, within 3 s.
  RunKey NextStart() {
    for (int i = 0; i < 30; ++i) {
      const auto starts = Step<StartOrder>(Milliseconds(100));
      if (!starts.empty()) {
        LONGS_EQUAL(1, starts.size());
        return {starts.front().task, starts.front().run};
      }
      RespondFrom(Address());
    }
    FAIL("no start is ordered");
    return {};
  }

  void Respond(const RunKey& run, OrderOutcome outcome) {
    dispatcher_->HandleStartResponse(Address(), run.first, run.second, outcome,
                                     now_);
  }

  // Another process registers at the address of the worker.
  void Replace() {
    registration_.id = absl::StrCat("successor", ++replacements_);
    ++registration_.started_unix_ms;
    Apply(PutWorker{registration_});
    RespondFrom(Address());
  }

  // The process starts again under its id.
  void Restart() {
    ++registration_.started_unix_ms;
    Apply(PutWorker{registration_});
  }

  void FinishInterrupted(const RunKey& run) {
    ReportedFinishedRun end;
    end.number = 1;
    end.finished_run = {run.first, run.second, RunOutcome::kInterrupted, ""};
    LeaseRenewalResponse response;
    response.clock_ms =
        std::chrono::floor<Milliseconds>(now_.time_since_epoch()).count();
    response.finished = {end};
    dispatcher_->HandleLeaseRenewalResponse(Address(), OrderOutcome::kAccepted,
                                            response, now_, now_);
  }

  // Records what has ended, so that the state may close the job.
  std::vector<FinishedRun> RecordEnds() {
    Dispatcher::FinishedRunBatch batch = dispatcher_->TakeFinishedRuns();
    Apply(RecordFinishedRuns{batch.finished_runs});
    dispatcher_->MarkFinishedRunsDurable(batch.number);
    return batch.finished_runs;
  }

  JobOutcome Outcome() const { return state_.FindJob("job")->outcome; }
};

TEST_GROUP_BASE(CrashEvidence, CrashEvidenceFixture){};

// LOST: a start was ordered from a worker that had already lost its power. The
// end of the worker counted as a crash under the task.
TEST(CrashEvidence, UnansweredStartDoesNotCount) {
  SubmitOneTask();
  Respond(NextStart(), OrderOutcome::kUnknown);
  Replace();
  CHECK(TakeCrashes().empty());
}

// LOST: a job was given up after one crash under its task and one start that
// its worker had not carried out.
TEST(CrashEvidence, JobSurvivesACrashAndAnUnansweredStart) {
  SubmitOneTask();
  Respond(NextStart(), OrderOutcome::kAccepted);
  Replace();
  LONGS_EQUAL(1, RecordEnds().size());
  Respond(NextStart(), OrderOutcome::kUnknown);
  Replace();
  RecordEnds();
  CHECK(Outcome() == JobOutcome::kOpen);
  NextStart();
}

// Fails when a confirmed start counts only once a list has named the run, so
// that a task that ends its worker within that time is never found out.
TEST(CrashEvidence, ConfirmedStartCountsWithoutAList) {
  SubmitOneTask();
  Respond(NextStart(), OrderOutcome::kAccepted);
  Replace();
  const std::vector<FinishedRun> crashes = TakeCrashes();
  LONGS_EQUAL(1, crashes.size());
  CHECK(crashes.front().outcome == RunOutcome::kCrashAttributed);
}

// Fails when the confirmation of a stop counts as that of the start: the worker
// may have rejected the start, or never received it.
TEST(CrashEvidence, ConfirmedStopDoesNotShowThatTheRunBegan) {
  SubmitOneTask();
  const RunKey run = NextStart();
  Respond(run, OrderOutcome::kUnknown);
  LONGS_EQUAL(1, Step<StartOrder>(Milliseconds(110)).size());
  Respond(run, OrderOutcome::kConnectionRefused);
  dispatcher_->HandleStopResponse(Address(), run.first, run.second,
                                  OrderOutcome::kAccepted, now_);
  Replace();
  CHECK(TakeCrashes().empty());
}

// TWICE, BUDGET: the outcome of a start is unknown, and the second one, of the
// same run, is rejected. Fails when that counts for the first one, too, which
// may have been executed, so that the task starts again before a stop.
TEST(CrashEvidence, RejectionOfASecondStartLeavesTheFirstOneOpen) {
  int attempt = 0;
  for (const OrderOutcome rejection :
       {OrderOutcome::kNoRoom, OrderOutcome::kLeaseTooOld,
        OrderOutcome::kUnhealthy, OrderOutcome::kInvalid,
        OrderOutcome::kNoTicket, OrderOutcome::kNotSent,
        OrderOutcome::kConnectionRefused}) {
    SubmitTaskThatFillsTheWorker(absl::StrCat("job", ++attempt));
    const RunKey run = NextStart();
    Respond(run, OrderOutcome::kUnknown);
    const auto second = Step<StartOrder>(Milliseconds(110));
    LONGS_EQUAL(1, second.size());
    CHECK(second.front().run == run.second);
    Respond(run, rejection);
    CHECK(Step<StartOrder>(Milliseconds(10)).empty());
    CHECK(Step<StartOrder>(Milliseconds(1'200)).empty());
    dispatcher_->HandleStopResponse(Address(), run.first, run.second,
                                    OrderOutcome::kAccepted, now_);
    RespondFrom(Address());
    Apply(CancelQueuedJob{absl::StrCat("job", attempt)});
  }
}

// Fails when a run that the worker calls too old counts as never begun: an
// earlier start order, whose confirmation was lost, has been executed.
TEST(CrashEvidence, RunThatIsTooOldHasBegun) {
  SubmitOneTask();
  const RunKey run = NextStart();
  Respond(run, OrderOutcome::kUnknown);
  LONGS_EQUAL(1, Step<StartOrder>(Milliseconds(110)).size());
  Respond(run, OrderOutcome::kRunTooOld);
  Replace();
  LONGS_EQUAL(1, TakeCrashes().size());
}

// LOST: the same while the worker is unreachable for longer than its lease, so
// that the run counts as lost before the end of the worker is known.
TEST(CrashEvidence, UnansweredStartDoesNotCountAfterTheRunWasLost) {
  SubmitOneTask();
  StepInSilence(Milliseconds(10));
  LONGS_EQUAL(1, starts_);
  StepInSilence(Milliseconds(12'000));
  registration_.id = "successor";
  ++registration_.started_unix_ms;
  Apply(PutWorker{registration_});
  CHECK(TakeCrashes().empty());
}

// BUDGET: fails when a task is never given up that ends each worker before the
// worker confirms its start. After three crashes, it may start twice more.
TEST(CrashEvidence, TaskThatEndsItsWorkersBeforeTheConfirmationIsGivenUp) {
  SubmitOneTask();
  int starts = 0;
  while (Outcome() == JobOutcome::kOpen && starts < 10) {
    Respond(NextStart(), OrderOutcome::kUnknown);
    ++starts;
    Replace();
    RecordEnds();
  }
  CHECK(Outcome() == JobOutcome::kFailed);
  LONGS_EQUAL(5, starts);
}

// LOST: fails when unanswered starts add up although a run of the task has
// begun in between, which shows that it does not end its workers so soon.
TEST(CrashEvidence, RunThatBeginsEndsASeriesOfUnansweredStarts) {
  SubmitOneTask();
  for (int i = 0; i < 4; ++i) {
    Respond(NextStart(), OrderOutcome::kUnknown);
    Replace();
  }
  const RunKey run = NextStart();
  Respond(run, OrderOutcome::kAccepted);
  now_ += Milliseconds(100);
  FinishInterrupted(run);
  for (int i = 0; i < 4; ++i) {
    Respond(NextStart(), OrderOutcome::kUnknown);
    Replace();
  }
  CHECK(TakeCrashes().empty());
}

// LOST: an order names only the id of a worker, so a run whose start has no
// response is stopped on each later incarnation. Fails when its unanswered
// start counts once for each.
TEST(CrashEvidence, UnansweredStartCountsOnceOverSeveralRestarts) {
  SubmitOneTask();
  Respond(NextStart(), OrderOutcome::kUnknown);
  for (int i = 0; i < 8; ++i) {
    Restart();
    Step<StopOrder>(Milliseconds(100));
  }
  CHECK(TakeCrashes().empty());
}

// LOST: the same for a run that has begun on the first incarnation only.
TEST(CrashEvidence, CrashOfOneRunCountsOnceOverSeveralRestarts) {
  SubmitOneTask();
  Respond(NextStart(), OrderOutcome::kAccepted);
  for (int i = 0; i < 8; ++i) {
    Restart();
    Step<StopOrder>(Milliseconds(100));
  }
  LONGS_EQUAL(1, TakeCrashes().size());
}

// BUDGET: fails when a start that was never carried out takes the blame for a
// crash that another run of the worker may have caused.
TEST(CrashEvidence, UnansweredStartDoesNotHideAnEarlierRun) {
  SubmitOneTask();
  const RunKey run = NextStart();
  Respond(run, OrderOutcome::kAccepted);
  for (int second = 1; second <= 5; ++second) {
    now_ += Milliseconds(1'000);
    ListRunning(
        std::chrono::floor<Milliseconds>(now_.time_since_epoch()).count(),
        {run});
  }
  SubmitJob other;
  other.id = "other";
  other.pool = "pool";
  other.specification = FakePool::Job(1, 1);
  Apply(other);
  const auto starts = Step<StartOrder>(Milliseconds(10));
  LONGS_EQUAL(1, starts.size());
  Respond({starts.front().task, starts.front().run}, OrderOutcome::kUnknown);
  Replace();
  const std::vector<FinishedRun> crashes = TakeCrashes();
  LONGS_EQUAL(1, crashes.size());
  STRCMP_EQUAL("job", crashes.front().task.job.c_str());
  CHECK(crashes.front().outcome == RunOutcome::kCrashSuspected);
}

}  // namespace
}  // namespace bramleyrail

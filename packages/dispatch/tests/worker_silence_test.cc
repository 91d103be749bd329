// When the runs of a silent worker count as lost.

#include "packages/dispatch/tests/one_worker_fixture.h"

namespace bramleyrail {
namespace {

TEST_GROUP_BASE(WorkerContact, OneWorkerFixture){};

// A leader that saw an old clock first granted a lease that ended before the
// one of its predecessor. It counted the worker's runs as lost by its own lease
// and started them elsewhere, while the worker still ran them.
TEST(WorkerContact, LeaseOfTheEarlierLeaderOutlivesAShorterOne) {
  SubmitOneTask();
  WorkerRegistration other = registration_;
  other.id = "other";
  other.address = "10.0.0.2:80";
  Apply(PutWorker{other});
  dispatcher_ = std::make_unique<Dispatcher>(Dispatcher::Options(), 2, now_);
  dispatcher_->Synchronize(state_, now_);
  dispatcher_->ObserveClock("w", kUnixMs, 2'000, now_);  // 3 s old.
  Step<LeaseRenewalOrder>(Milliseconds(0));
  LeaseRenewalResponse list;
  list.clock_ms = 2'000;
  list.running.push_back({{"job", 0, 0, 0}, 1, "", 50, std::nullopt});
  dispatcher_->HandleLeaseRenewalResponse(Address(), OrderOutcome::kAccepted,
                                          list, now_, now_);
  const MonotonicTime takeover = now_;
  const auto step_without_contact = [&] {
    dispatcher_->HandleLeaseRenewalResponse(
        {other.id, other.started_unix_ms, other.address},
        OrderOutcome::kAccepted, {.clock_ms = 9'000}, now_, now_);
    FailRenewal();
    return Step<StartOrder>(Milliseconds(100)).size();
  };
  // The lease that this leader granted ends 5.5 s after the takeover, the
  // longest of an earlier leader 6.72 s after it.
  while (now_ < takeover + Milliseconds(6'600)) {
    LONGS_EQUAL(0, step_without_contact());
  }
  size_t starts = 0;
  while (now_ < takeover + Milliseconds(7'000)) {
    starts += step_without_contact();
  }
  LONGS_EQUAL(1, starts);
}

// A leader that lagged judged by its clock before it had read the responses
// that waited for it: a task that was done counted as lost and was started
// again.
TEST(WorkerContact, LaggingLeaderReadsResponsesBeforeRunsCountAsLost) {
  SubmitOneTask();
  const auto starts = Step<StartOrder>(Milliseconds(10));
  LONGS_EQUAL(1, starts.size());
  const MonotonicTime sent = now_;
  Step<StartOrder>(Milliseconds(8'000));
  LONGS_EQUAL(0, dispatcher_->counters().runs_lost);
  ReportedFinishedRun finished;
  finished.number = 1;
  finished.finished_run = {starts.front().task, starts.front().run,
                           RunOutcome::kDone, ""};
  dispatcher_->HandleLeaseRenewalResponse(
      Address(), OrderOutcome::kAccepted,
      {.clock_ms = 6'000, .finished = {finished}}, sent, now_);
  Step<StartOrder>(Milliseconds(200));
  LONGS_EQUAL(0, dispatcher_->counters().runs_lost);
  LONGS_EQUAL(1, dispatcher_->counters().runs_completed);
  LONGS_EQUAL(0, dispatcher_->ready_task_count());
}

// A leader that lagged discarded each answer of a sound worker. It started a
// task again after the lease, by its clock alone, although the next answer
// listed the task as done.
TEST(WorkerContact, AnswerAfterTheLeaseKeepsADoneRunFromCountingAsLost) {
  StartOneTask();
  StepInSilence(Milliseconds(5'900));
  LONGS_EQUAL(0, dispatcher_->counters().runs_lost);
  ReportedFinishedRun finished;
  finished.number = 1;
  finished.finished_run = {{"job", 0, 0, 0}, 1, RunOutcome::kDone, ""};
  dispatcher_->HandleLeaseRenewalResponse(
      Address(), OrderOutcome::kAccepted,
      {.clock_ms = 20'900, .finished = {finished}}, open_renewals_.back().first,
      now_);
  StepInSilence(Milliseconds(3'000));
  LONGS_EQUAL(0, dispatcher_->counters().runs_lost);
  LONGS_EQUAL(1, dispatcher_->counters().runs_completed);
  LONGS_EQUAL(1, starts_);
}

// Fails when the runs of a silent worker wait for an earlier renewal or for the
// pause after a failure, or when the renewal that asks whether they have ended
// extends the lease or makes the worker discard finished runs.
TEST(WorkerContact, ExpiredLeaseIsFollowedByARenewalAtOnce) {
  ListFinished(5'000, {7});
  dispatcher_->MarkFinishedRunsDurable(dispatcher_->TakeFinishedRuns().number);
  StartOneTask();
  StepInSilence(Milliseconds(5'500));
  const MonotonicTime expiry = now_;
  LONGS_EQUAL(1, open_renewals_.size());
  StepInSilence(Milliseconds(30));
  LONGS_EQUAL(2, open_renewals_.size());
  CHECK(open_renewals_.back().first > expiry);
  const LeaseRenewalOrder& renewal = open_renewals_.back().second;
  CHECK(!renewal.lease_until_ms.has_value());
  LONGS_EQUAL(0, renewal.acknowledged_through);
  LONGS_EQUAL(0, renewal.wait.count());
}

// Fails when the runs of a worker that stays silent never count as lost, or
// count as lost by the failure of a renewal that was sent before the end of
// the lease.
TEST(WorkerContact, RunsOfASilentWorkerCountAsLost) {
  StartOneTask();
  StepInSilence(Milliseconds(6'450));
  LONGS_EQUAL(0, dispatcher_->counters().runs_lost);
  StepInSilence(Milliseconds(150));
  LONGS_EQUAL(1, dispatcher_->counters().runs_lost);
}

// The loop of the leader was late by more than the time-out of the renewal that
// followed the lease. Fails when the task starts again although the leader had
// no time to read the answer.
TEST(WorkerContact, RenewalThatTimesOutWhileTheLeaderLagsDecidesNothing) {
  StartOneTask();
  StepInSilence(Milliseconds(5'700));
  now_ += Milliseconds(900);
  StepInSilence(Milliseconds(500));
  LONGS_EQUAL(0, dispatcher_->counters().runs_lost);
  ReportedFinishedRun finished;
  finished.number = 1;
  finished.finished_run = {{"job", 0, 0, 0}, 1, RunOutcome::kDone, ""};
  dispatcher_->HandleLeaseRenewalResponse(
      Address(), OrderOutcome::kAccepted,
      {.clock_ms = 22'000, .finished = {finished}}, open_renewals_.back().first,
      now_);
  StepInSilence(Milliseconds(3'000));
  LONGS_EQUAL(0, dispatcher_->counters().runs_lost);
  LONGS_EQUAL(1, dispatcher_->counters().runs_completed);
  LONGS_EQUAL(1, starts_);
}

// Fails when a leader that always lags never counts the runs of a silent worker
// as lost.
TEST(WorkerContact, LaggingLeaderCountsRunsOfASilentWorkerAsLost) {
  StartOneTask();
  const MonotonicTime start = now_;
  while (now_ < start + Milliseconds(14'000)) {
    now_ += Milliseconds(390);
    StepInSilence(Milliseconds(10));
  }
  LONGS_EQUAL(1, dispatcher_->counters().runs_lost);
}

// Fails when runs count as lost although the worker could not be asked for want
// of a connection, or wait for ever for a connection.
TEST(WorkerContact, RunsCountAsLostAfterRenewalsThatWereNotSent) {
  StartOneTask();
  StepInSilence(Milliseconds(7'000), OrderOutcome::kNotSent);
  LONGS_EQUAL(0, dispatcher_->counters().runs_lost);
  StepInSilence(Milliseconds(1'000), OrderOutcome::kNotSent);
  LONGS_EQUAL(1, dispatcher_->counters().runs_lost);
}

// Fails when a queue of calls that is full for a moment makes runs count as
// lost.
TEST(WorkerContact, RunsAreNotLostByAFewRenewalsThatFailWithoutDelay) {
  StartOneTask();
  StepInSilence(Milliseconds(7'400), OrderOutcome::kNotSent, Milliseconds(0));
  LONGS_EQUAL(0, dispatcher_->counters().runs_lost);
  StepInSilence(Milliseconds(600), OrderOutcome::kNotSent, Milliseconds(0));
  LONGS_EQUAL(1, dispatcher_->counters().runs_lost);
}

// Fails when the runs of a worker on whose machine nobody listens wait longer
// than those of a silent one.
TEST(WorkerContact, RefusedRenewalAfterTheLeaseShowsThatRunsAreLost) {
  StartOneTask();
  StepInSilence(Milliseconds(5'500), OrderOutcome::kConnectionRefused,
                Milliseconds(0));
  LONGS_EQUAL(0, dispatcher_->counters().runs_lost);
  StepInSilence(Milliseconds(300), OrderOutcome::kConnectionRefused,
                Milliseconds(0));
  LONGS_EQUAL(1, dispatcher_->counters().runs_lost);
}

// A new leader that lagged discarded each answer of a sound worker. Fails when
// it starts the tasks of its predecessor by its clock alone, although the next
// answer lists a task as done.
TEST(WorkerContact, NewLeaderAsksAWorkerWithoutContactAfterTheLease) {
  SubmitOneTask();
  dispatcher_ = std::make_unique<Dispatcher>(Dispatcher::Options(), 2, now_);
  dispatcher_->Synchronize(state_, now_);
  AddOtherWorker();
  // The longest lease of the predecessor ends after 6,720 ms.
  StepInSilence(Milliseconds(7'300));
  LONGS_EQUAL(0, starts_);
  ReportedFinishedRun finished;
  finished.number = 1;
  finished.finished_run = {{"job", 0, 0, 0}, 1, RunOutcome::kDone, ""};
  dispatcher_->HandleLeaseRenewalResponse(
      Address(), OrderOutcome::kAccepted,
      {.clock_ms = 12'300, .finished = {finished}}, now_, now_);
  StepInSilence(Milliseconds(3'000));
  LONGS_EQUAL(0, starts_);
  LONGS_EQUAL(1, dispatcher_->counters().runs_completed);
}

// Fails when the tasks of the predecessor wait for ever for a worker that stays
// silent, or when its withdrawn registration is forgotten before that is known.
TEST(WorkerContact, NewLeaderDoesNotWaitForASilentWorkerForEver) {
  SubmitOneTask();
  dispatcher_ = std::make_unique<Dispatcher>(Dispatcher::Options(), 2, now_);
  dispatcher_->Synchronize(state_, now_);
  StepInSilence(Milliseconds(1'000));
  Apply(RemoveWorker{"w", 0});
  StepInSilence(Milliseconds(6'600));
  LONGS_EQUAL(1, dispatcher_->worker_count());
  StepInSilence(Milliseconds(200));
  LONGS_EQUAL(0, dispatcher_->worker_count());
  AddOtherWorker();
  StepInSilence(Milliseconds(100));
  LONGS_EQUAL(1, starts_);
}

}  // namespace
}  // namespace bramleyrail

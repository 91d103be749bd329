// The record of runs that may have crashed their worker.

#include <utility>

#include "packages/queue/queue.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

// Encodes and decodes the command, as the log does.
QueueOutcome Apply(QueueState* state, QueueCommandBody body) {
  const QueueCommand command{0, std::move(body)};
  return state->Apply(DecodeQueueCommand(EncodeQueueCommand(command)).value());
}

TEST_GROUP(SuspectedRuns){};

// BUDGET: fails when the suspicion of a crash does not outlive a snapshot, or
// is changed by a leader that another one has replaced.
TEST(SuspectedRuns, AreKnownUntilTheyAreCleared) {
  auto state = std::make_unique<QueueState>();
  Apply(state.get(), BeginLeadership{.instance = "a"});
  const FinishedRun run{{"job", 0, 1, 2}, 3, RunOutcome::kCrashAttributed, ""};
  Apply(state.get(), RecordSuspectedRuns{1, {{{"w", 5}, {run}}}});
  Apply(state.get(), BeginLeadership{.instance = "b"});
  CHECK(!Apply(state.get(), RecordSuspectedRuns{1, {{{"w", 5}, {}}}}).found);
  state = QueueState::FromSnapshot(state->EncodeSnapshot()).value();
  const SuspectedRuns& suspected = state->suspected_runs().at("w");
  LONGS_EQUAL(5, suspected.worker.started_unix_ms);
  LONGS_EQUAL(1, suspected.runs.size());
  CHECK(suspected.runs.front().task == run.task);
  LONGS_EQUAL(3, suspected.runs.front().run);
  CHECK(suspected.runs.front().outcome == run.outcome);
  CHECK(Apply(state.get(), RecordSuspectedRuns{2, {{{"w", 5}, {}}}}).changed);
  CHECK(state->suspected_runs().empty());
}

}  // namespace
}  // namespace bramleyrail

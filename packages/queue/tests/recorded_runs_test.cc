#include <tuple>

#include "packages/queue/queue.h"
#include "packages/queue/queue_codec.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

const WorkerIncarnation first_worker{"first", 1};
const WorkerIncarnation second_worker{"second", 2};

QueueOutcome Apply(QueueState* state, QueueCommandBody body) {
  // Encodes and decodes the command, as the log does.
  const QueueCommand command{1'000, std::move(body)};
  return state->Apply(DecodeQueueCommand(EncodeQueueCommand(command)).value());
}

RunPlacement Placement(int64_t index,
                       uint64_t run,
                       std::optional<WorkerIncarnation> worker) {
  return {{"job", 0, 0, index}, run, std::move(worker)};
}

// An open job of two tasks, and a leader that records its placements.
TEST_GROUP(RecordedRuns) {
  QueueState state_;

  void setup() override {
    BeginLeader();
    SubmitJob job;
    job.id = "job";
    job.maximum_attempts = 2;
    job.specification.steps.resize(1);
    job.specification.steps[0].tasks = 2;
    Apply(&state_, job);
  }

  void BeginLeader(bool records = true, int64_t lease_ms = 5'000) {
    Apply(&state_, BeginLeadership{"leader", records, lease_ms});
  }

  QueueOutcome Record(const std::vector<RunPlacement>& placements,
                      int64_t epoch = 1) {
    return Apply(&state_,
                 RecordPlacements{epoch, MakePlacementList(placements)});
  }

  void Finish(int64_t index, uint64_t run, RunOutcome outcome) {
    Apply(&state_, RecordFinishedRuns{{{{"job", 0, 0, index}, run, outcome}}});
  }

  void CheckWorkerOf(int64_t index, const std::string& worker) {
    const auto& runs = state_.recorded_runs().OfJob("job");
    const auto found = runs.find({0, 0, index});
    CHECK(found != runs.end());
    STRCMP_EQUAL(worker.c_str(), found->second.worker.id.c_str());
  }

  size_t Count() {
    return state_.recorded_runs().size();
  }
};

// Fails when a leader does not learn on which workers its predecessor's runs
// may be, or waits for one whose end is recorded.
TEST(RecordedRuns, RunIsKnownUntilItsEndIsRecorded) {
  Record({Placement(0, 1, first_worker), Placement(1, 1, second_worker)});
  CheckWorkerOf(0, "first");
  CheckWorkerOf(1, "second");
  Finish(0, 1, RunOutcome::kInterrupted);
  LONGS_EQUAL(1, Count());
  Record({Placement(0, 2, second_worker)});
  CheckWorkerOf(0, "second");
  Finish(0, 2, RunOutcome::kCrashSuspected);
  LONGS_EQUAL(2, Count());
  Record({Placement(0, 2, std::nullopt)});
  LONGS_EQUAL(1, Count());
  Apply(&state_, CancelQueuedJob{"job"});
  LONGS_EQUAL(0, Count());
}

// A leader repeats a record whose outcome it does not know. Fails when the
// repeated one hides the worker of a later run.
TEST(RecordedRuns, RepeatedRecordChangesNoLaterRun) {
  Record({Placement(0, 2, second_worker)});
  Record({Placement(0, 1, first_worker)});
  CheckWorkerOf(0, "second");
  Record({Placement(0, 1, std::nullopt)});
  CheckWorkerOf(0, "second");
  Finish(0, 1, RunOutcome::kFailed);
  CheckWorkerOf(0, "second");
}

// Fails when a leader that was suspended starts tasks after its successor has
// read the records.
TEST(RecordedRuns, EarlierLeaderCannotRecord) {
  BeginLeader();
  CHECK(!Record({Placement(0, 1, first_worker)}, 1).found);
  LONGS_EQUAL(0, Count());
  CHECK(Record({Placement(0, 10'001, first_worker)}, 2).found);
}

// Fails when a leader takes the records of a predecessor that wrote none for
// complete, or when the jobs of one that wrote them count as unknown.
TEST(RecordedRuns, JobsOfALeaderWithoutRecordsAreUnknown) {
  BeginLeader();
  CHECK(!state_.HasUnrecordedRuns("job"));
  BeginLeader(/*records=*/false);
  CHECK(!state_.HasUnrecordedRuns("job"));
  BeginLeader();
  CHECK(state_.HasUnrecordedRuns("job"));
  BeginLeader();
  CHECK(state_.HasUnrecordedRuns("job"));
  Apply(&state_, CancelQueuedJob{"job"});
  CHECK(!state_.HasUnrecordedRuns("job"));
}

// Fails when a leader waits for less than a predecessor could grant.
TEST(RecordedRuns, LongestLeaseOfAllLeadersIsKnown) {
  LONGS_EQUAL(5'000, *state_.longest_lease_ms());
  BeginLeader(true, 3'000);
  LONGS_EQUAL(5'000, *state_.longest_lease_ms());
  BeginLeader(true, 0);
  CHECK(!state_.longest_lease_ms().has_value());
  BeginLeader(true, 3'000);
  CHECK(!state_.longest_lease_ms().has_value());
}

// Fails when a restored leader does not know the runs of its predecessor.
TEST(RecordedRuns, SnapshotKeepsThem) {
  Record({Placement(0, 1, first_worker), Placement(1, 3, second_worker)});
  const auto restored = QueueState::FromSnapshot(state_.EncodeSnapshot());
  CHECK(restored.has_value());
  CHECK(restored.value()->recorded_runs().List() ==
        state_.recorded_runs().List());
  LONGS_EQUAL(5'000, *restored.value()->longest_lease_ms());
}

// Fails when a state of a version without records is refused, or taken for one
// whose leaders have started nothing.
TEST(RecordedRuns, SnapshotOfAnEarlierVersionIsRead) {
  auto json = codec::FromCbor(state_.EncodeSnapshot()).value();
  constexpr size_t kFieldsOfEarlierVersion = 8;
  while (json.size() > kFieldsOfEarlierVersion) {
    json.erase(json.size() - 1);
  }
  const auto restored = QueueState::FromSnapshot(codec::ToCbor(json));
  CHECK(restored.has_value());
  Apply(restored.value().get(), BeginLeadership{"leader", true, 5'000});
  CHECK(restored.value()->HasUnrecordedRuns("job"));
  CHECK(!restored.value()->longest_lease_ms().has_value());
}

// Fails when damaged records are read as if they were none.
TEST(RecordedRuns, DamagedRecordsAreRefused) {
  Record({Placement(0, 1, first_worker)});
  auto json = codec::FromCbor(state_.EncodeSnapshot()).value();
  constexpr size_t kRecordedRunsField = 11;
  Json& list = json[kRecordedRunsField];
  list[0] = Json::array();  // The workers to which the records refer.
  CHECK(QueueState::FromSnapshot(codec::ToCbor(json)).has_error());

  PlacementList uneven = MakePlacementList({Placement(0, 2, second_worker)});
  uneven.steps[0].runs.clear();
  CHECK(!Apply(&state_, RecordPlacements{1, uneven}).found);
  CheckWorkerOf(0, "first");
}

}  // namespace
}  // namespace bramleyrail

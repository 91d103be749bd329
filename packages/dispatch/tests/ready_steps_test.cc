#include "packages/dispatch/ready_steps.h"

#include <rapidcheck.h>

#include <set>
#include <vector>

#include "absl/strings/str_cat.h"
#include "packages/dispatch/fakes/fake_pool.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr int64_t kSubmittedUnixMs = 1'000'000;
constexpr int64_t kTargetLatencyMs = 600;
// Tasks of FakePool::Job() take 400 ms, and the stretch factor is 1.
constexpr int64_t kObjectiveMs = kTargetLatencyMs + 400;

std::unique_ptr<TrackedJob> Job(const std::string& id,
                                int64_t submitted_unix_ms,
                                int tasks = 1) {
  auto job = std::make_shared<QueuedJob>();
  job->id = id;
  job->submitted_unix_ms = submitted_unix_ms;
  job->target_latency_ms = kTargetLatencyMs;
  job->specification = FakePool::Job(tasks, 1);
  return std::make_unique<TrackedJob>(std::move(job),
                                      TrackedJob::EarlierRuns::kNone);
}

TaskName FirstTask(const TrackedJob& job) {
  return {job.shared_id(), 0, 0, 0};
}

std::vector<std::string> JobsInOrder(const ReadySteps& ready) {
  std::vector<std::string> jobs;
  for (const auto& [key, job] : ready.steps()) {
    jobs.push_back(key.job);
  }
  return jobs;
}

TEST_GROUP(ReadySteps){};

// Fails when a step does not follow a change of the rank of its account, or
// when a pass visits it twice or leaves it out.
TEST(ReadySteps, StepMovesWithTheRankOfItsAccount) {
  const auto account = std::make_shared<TrackedAccount>("busy");
  account->SetShare(0.5, {10'000, 0, 0});
  const auto busy = Job("busy", kSubmittedUnixMs);
  busy->account = account;
  const auto middle = Job("middle", kSubmittedUnixMs + 1);
  const auto last = Job("last", kSubmittedUnixMs + 2);
  ReadySteps ready;
  for (TrackedJob* job : {busy.get(), middle.get(), last.get()}) {
    ready.Add(job, FirstTask(*job), kSubmittedUnixMs);
  }
  CHECK(JobsInOrder(ready) ==
        std::vector<std::string>({"busy", "middle", "last"}));
  account->AddReserved({6'000, 0, 0}, /*long_running=*/false);
  const auto next = ready.UpdateAccountRank(busy.get(), FirstTask(*busy));
  CHECK(next && (*next)->second == middle.get());
  CHECK(!ready.UpdateAccountRank(busy.get(), FirstTask(*busy)));
  CHECK(JobsInOrder(ready) ==
        std::vector<std::string>({"middle", "last", "busy"}));
  account->RemoveReserved({6'000, 0, 0}, /*long_running=*/false);
  ready.Resume(kSubmittedUnixMs);
  CHECK(JobsInOrder(ready) ==
        std::vector<std::string>({"busy", "middle", "last"}));
}

// Pattern: a fleet that lacks room for some seconds. The earliest objective
// went first, so that each job started when its objective was nearly over and
// all of them were late, for as long as the backlog lasted.
TEST(ReadySteps, JobThatCanEndInTimeGoesBeforeOneThatCannot) {
  const auto earlier = Job("earlier", kSubmittedUnixMs);
  const auto later = Job("later", kSubmittedUnixMs + 500);
  ReadySteps ready;
  ready.Add(earlier.get(), FirstTask(*earlier), kSubmittedUnixMs + 500);
  ready.Add(later.get(), FirstTask(*later), kSubmittedUnixMs + 500);
  CHECK(JobsInOrder(ready) == std::vector<std::string>({"earlier", "later"}));
  ready.Resume(kSubmittedUnixMs + kTargetLatencyMs + 1);
  CHECK(JobsInOrder(ready) == std::vector<std::string>({"later", "earlier"}));
}

// Fails when a job that is partly done goes behind others for being late: the
// work on it is lost, and many jobs are begun and few end.
TEST(ReadySteps, StartedJobKeepsItsPlaceUntilItExpires) {
  const auto started = Job("started", kSubmittedUnixMs);
  const auto waiting = Job("waiting", kSubmittedUnixMs + 1);
  started->occurrence(0).started = true;
  ReadySteps ready;
  ready.Add(started.get(), FirstTask(*started), kSubmittedUnixMs);
  ready.Add(waiting.get(), FirstTask(*waiting), kSubmittedUnixMs);
  ready.Resume(kSubmittedUnixMs + 3 * kObjectiveMs);
  CHECK(JobsInOrder(ready) == std::vector<std::string>({"started", "waiting"}));
  ready.Resume(kSubmittedUnixMs + 3 * kObjectiveMs + 1);
  CHECK(JobsInOrder(ready) == std::vector<std::string>({"waiting", "started"}));
}

// Fails when the later occurrences of a job go by the objective of the first.
TEST(ReadySteps, EachOccurrenceHasAnObjectiveOfItsOwn) {
  auto repeated =
      std::make_shared<QueuedJob>(Job("repeated", kSubmittedUnixMs)->job());
  repeated->specification.repetitions = 4;
  repeated->specification.first_start_unix_ms = kSubmittedUnixMs;
  repeated->specification.interval_ms = 2'000;
  TrackedJob job(repeated, TrackedJob::EarlierRuns::kNone);
  LONGS_EQUAL(kSubmittedUnixMs + kObjectiveMs, job.ObjectiveUnixMs(0));
  LONGS_EQUAL(kSubmittedUnixMs + kObjectiveMs + 6'000, job.ObjectiveUnixMs(3));
  const int64_t due_unix_ms = kSubmittedUnixMs + 6'000;
  CHECK(job.LatenessOf({job.shared_id(), 3, 0, 0}, due_unix_ms) ==
        Lateness::kOnTime);
  CHECK(job.LatenessOf({job.shared_id(), 0, 0, 0}, due_unix_ms) ==
        Lateness::kExpired);
}

// Fails when a ready task is lost, or a task that is not ready stays, after any
// order of changes.
TEST(ReadySteps, AnySequenceOfChangesKeepsTheReadyTasks) {
  const bool holds = rc::check([] {
    constexpr int kTasks = 3;
    std::vector<std::unique_ptr<TrackedJob>> jobs;
    for (int number = 0; number < 4; ++number) {
      jobs.push_back(Job(absl::StrCat("job-", number),
                         kSubmittedUnixMs + int64_t{300} * number, kTasks));
    }
    ReadySteps ready;
    std::set<TaskName> expected;
    int64_t unix_ms = kSubmittedUnixMs;
    const auto moves =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    for (const int move : moves) {
      unix_ms += move;
      TrackedJob* job = jobs[move % jobs.size()].get();
      TaskName task = FirstTask(*job);
      task.index = move % kTasks;
      if (move < 50) {
        ready.Add(job, task, unix_ms);
        expected.insert(task);
      } else if (move < 70) {
        ready.Remove(job, task);
        expected.erase(task);
      } else if (move < 75) {
        ready.RemoveJob(job);
        std::erase_if(expected, [&](const TaskName& name) {
          return name.job == task.job;
        });
      } else if (move < 90) {
        if (!job->step_record(task).ready_tasks.empty()) {
          ready.Defer(job, task);
        }
      } else {
        ready.Resume(unix_ms);
      }
      RC_ASSERT(ready.task_count() == expected.size());
    }
    ready.Resume(unix_ms);
    std::set<TaskName> found;
    for (const auto& [key, job] : ready.steps()) {
      for (const int64_t index :
           job->step_record(key.occurrence, key.step).ready_tasks) {
        found.insert({key.job, key.occurrence, key.step, index});
      }
    }
    RC_ASSERT(found == expected);
  });
  CHECK(holds);
}

}  // namespace
}  // namespace bramleyrail

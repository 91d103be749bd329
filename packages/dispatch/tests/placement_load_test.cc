#include <rapidcheck.h>

#include "absl/strings/str_cat.h"
#include "packages/dispatch/dispatch.h"
#include "packages/dispatch/fakes/fake_pool.h"
#include "packages/dispatch/worker_ranking.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr int64_t kUnixMs = 1'000'000;
// Size of the largest fleet that the users run.
constexpr int kWorkers = 1'100;
// A step of this many starts takes less time than the round trip of an order.
constexpr size_t kStartsPerStep = 100;

WorkerRegistration Registration(int number) {
  WorkerRegistration registration;
  registration.id = absl::StrCat("w", number);
  registration.started_unix_ms = kUnixMs;
  registration.address = absl::StrCat("10.0.0.1:", number);
  registration.pool = "pool";
  registration.failure_domain = "east";
  registration.labels = {"a", absl::StrCat("rack-", number / 8)};
  registration.capacity = {16'000, 64'000, 0};
  return registration;
}

// A leader of a large fleet, whose workers have all responded.
TEST_GROUP(PlacementLoad) {
  QueueState state_;
  MonotonicTime now_{std::chrono::hours(1)};
  Dispatcher dispatcher_{{}, 1, now_};

  void setup() override {
    for (int worker = 0; worker < kWorkers; ++worker) {
      const WorkerRegistration registration = Registration(worker);
      state_.Apply({kUnixMs, PutWorker{registration}});
      dispatcher_.Synchronize(state_, now_);
      dispatcher_.HandleLeaseRenewalResponse(
          {registration.id, registration.started_unix_ms, registration.address},
          OrderOutcome::kAccepted, {.clock_ms = 5'000}, now_, now_);
    }
  }

  void Submit(int jobs, int tasks) {
    for (int job = 0; job < jobs; ++job) {
      SubmitJob command;
      command.id = absl::StrCat("job-", job);
      command.pool = "pool";
      command.specification = FakePool::Job(tasks, 1);
      state_.Apply({kUnixMs, command});
    }
    dispatcher_.Synchronize(state_, now_);
  }

  size_t StartsOfOneStep() {
    size_t starts = 0;
    for (const WorkerOrder& order : dispatcher_.Step(state_, now_, kUnixMs)) {
      starts += std::holds_alternative<StartOrder>(order.body) ? 1 : 0;
    }
    return starts;
  }
};

// Pattern: wide jobs on a large fleet. Each task rated every worker, the leader
// read no responses for up to 0.3 s at a time, and sound workers seemed silent.
TEST(PlacementLoad, TasksOfAJobStepShareTheRatingsOfWorkers) {
  Submit(/*jobs=*/2, /*tasks=*/40);
  LONGS_EQUAL(80, StartsOfOneStep());
  LONGS_EQUAL(2 * kWorkers + 80, dispatcher_.counters().worker_ratings);
}

// Pattern: burst of wide jobs. Fails when one step starts all that is ready,
// while responses and lease renewals wait.
TEST(PlacementLoad, BurstOfTasksStartsInSeveralSteps) {
  Submit(/*jobs=*/10, /*tasks=*/60);
  for (int step = 0; step < 6; ++step) {
    LONGS_EQUAL(kStartsPerStep, StartsOfOneStep());
  }
  LONGS_EQUAL(0, StartsOfOneStep());
}

// Fails when the tasks of a step that finds no worker use up the starts of a
// step, so that tasks behind them wait although workers have room.
TEST(PlacementLoad, StepsThatWaitLeaveTheStartsToOthers) {
  SubmitJob large;
  large.pool = "pool";
  large.specification = FakePool::Job(/*tasks=*/50, /*steps=*/1);
  large.specification.steps[0].size.memory_mib = 1'000'000;
  for (int job = 0; job < 200; ++job) {
    large.id = absl::StrCat("a-large-", job);
    state_.Apply({kUnixMs, large});
  }
  Submit(/*jobs=*/1, /*tasks=*/60);
  LONGS_EQUAL(60, StartsOfOneStep());
}

TEST_GROUP(WorkerRanking){};

// Fails when a ranking that is shared by the tasks of a step selects other
// workers than one selection after the other does.
TEST(WorkerRanking, SelectsTheSameWorkersAsSeparateSelections) {
  const WorkerSelector selector{WorkerSelector::Options{}};
  const LatencyInterferenceModel model;
  QueuedJob job;
  job.pool = "pool";
  const bool same = rc::check([&](bool long_running, bool best_effort) {
    JobStep step = FakePool::Job(1, 1).steps[0];
    step.long_running = long_running;
    step.best_effort = best_effort;
    step.size.processor_millis = *rc::gen::inRange<int64_t>(500, 6'000);
    step.maximum_tasks_per_worker = *rc::gen::inRange<int64_t>(0, 3);
    TrackedWorkers workers;
    EligibleWorkers eligible;
    for (int number = 0; number < *rc::gen::inRange(1, 12); ++number) {
      auto worker = std::make_unique<TrackedWorker>(Registration(number));
      TrackedRun run;
      run.reserved = {*rc::gen::inRange<int64_t>(0, 16'000), 1'000, 0};
      worker->AddRun({{"other", 0, 0, number}, 1}, run);
      worker->consecutive_failures = *rc::gen::inRange(0, 3);
      eligible.workers.push_back(worker.get());
      workers.emplace(worker->registration().id, std::move(worker));
    }
    WorkerRequest request;
    request.job = &job;
    request.step = &step;
    request.task = {"job", 0, 0, 0};
    const auto add_run = [&](TrackedWorker* worker, int64_t index) {
      TrackedRun run;
      run.step = &step;
      run.reserved = step.size;
      worker->AddRun({{"job", 0, 0, index}, 1}, run);
    };
    constexpr int64_t kTasks = 30;
    std::vector<TrackedWorker*> separate;
    for (int64_t index = 0; index < kTasks; ++index) {
      TrackedWorker* worker = selector.Select(request, eligible, model).worker;
      separate.push_back(worker);
      if (worker != nullptr) {
        add_run(worker, index);
      }
    }
    for (int64_t index = 0; index < kTasks; ++index) {
      for (auto& [id, worker] : workers) {
        worker->RemoveRun({{"job", 0, 0, index}, 1});
      }
    }
    uint64_t ratings = 0;
    WorkerRanking ranking(&selector, &eligible, &model, request, &ratings);
    for (int64_t index = 0; index < kTasks; ++index) {
      TrackedWorker* worker = ranking.Select().worker;
      RC_ASSERT(worker == separate[index]);
      if (worker != nullptr) {
        add_run(worker, index);
        ranking.Update();
      }
    }
  });
  CHECK(same);
}

}  // namespace
}  // namespace bramleyrail

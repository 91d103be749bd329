#include <rapidcheck.h>

#include "absl/strings/str_cat.h"
#include "packages/dispatch/dispatch.h"
#include "packages/dispatch/failed_requests.h"
#include "packages/dispatch/fakes/fake_pool.h"
#include "packages/dispatch/fakes/recorded_step.h"
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
// A search for a plan looks at each worker. This many take less time than the
// pause between two of them.
constexpr uint64_t kMaximumSearches = 20;

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

  // Work that the end of one of `jobs` jobs takes while the tasks of the others
  // wait: jobs, ready tasks and runs that are looked at.
  uint64_t VisitsForAnEndedJob(int jobs, int tasks) {
    Submit(jobs, tasks);
    (void)StepAndRecord(&dispatcher_, &state_, now_, kUnixMs);
    const Dispatcher::Counters before = dispatcher_.counters();
    state_.Apply({kUnixMs, CancelQueuedJob{"job-0"}});
    dispatcher_.Synchronize(state_, now_);
    const Dispatcher::Counters& after = dispatcher_.counters();
    return after.job_visits - before.job_visits + after.ready_task_visits -
           before.ready_task_visits + after.run_visits - before.run_visits;
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
    for (const WorkerOrder& order :
         StepAndRecord(&dispatcher_, &state_, now_, kUnixMs)) {
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

// Pattern: backlog of tasks on a large fleet. The end of each job looked at all
// jobs, ready tasks and runs, so each start became dearer the more tasks
// waited, and a leader at its limit fell behind for good.
TEST(PlacementLoad, WorkForAnEndedJobDoesNotGrowWithTheBacklog) {
  const uint64_t visits = VisitsForAnEndedJob(/*jobs=*/10, /*tasks=*/100);
  CHECK(visits <= 100 + 10);
}

// The same with 50,000 tasks that wait, which may take no more.
TEST(PlacementLoad, WorkForAnEndedJobIsTheSameWithManyWaitingTasks) {
  const uint64_t visits = VisitsForAnEndedJob(/*jobs=*/500, /*tasks=*/100);
  CHECK(visits <= 100 + 10);
}

// Pattern: more waiting steps than a full fleet can take. Each of them rated
// all workers again every 75 ms, which left no time for starts elsewhere.
TEST(PlacementLoad, WaitingStepsThatNeedAsMuchShareOneFailedRating) {
  SubmitJob large;
  large.pool = "pool";
  large.specification = FakePool::Job(/*tasks=*/50, /*steps=*/1);
  for (int job = 0; job < 200; ++job) {
    large.id = absl::StrCat("large-", job);
    large.specification.steps[0].size.memory_mib = 1'000'000 + job;
    state_.Apply({kUnixMs, large});
  }
  dispatcher_.Synchronize(state_, now_);
  LONGS_EQUAL(0, StartsOfOneStep());
  LONGS_EQUAL(kWorkers, dispatcher_.counters().worker_ratings);
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

// Pattern: more large steps than a full fleet can take. Fails when the plans
// for them take more than a bounded number of searches, or hold more than a
// tenth of the workers.
TEST(PlacementLoad, PlansForManyLargeStepsAreBounded) {
  SubmitJob filling;
  filling.id = "filling";
  filling.pool = "pool";
  filling.specification = FakePool::Job(/*tasks=*/kWorkers, /*steps=*/1);
  filling.specification.steps[0].size.processor_millis = 10'000;
  state_.Apply({kUnixMs, filling});
  dispatcher_.Synchronize(state_, now_);
  for (int step = 0; step < kWorkers / static_cast<int>(kStartsPerStep);
       ++step) {
    LONGS_EQUAL(kStartsPerStep, StartsOfOneStep());
  }
  SubmitJob large;
  large.pool = "pool";
  large.specification = FakePool::Job(/*tasks=*/50, /*steps=*/1);
  large.specification.steps[0].long_running = true;
  for (int job = 0; job < 200; ++job) {
    large.id = absl::StrCat("large-", job);
    large.specification.steps[0].size.processor_millis = 15'000 - job;
    state_.Apply({kUnixMs, large});
  }
  dispatcher_.Synchronize(state_, now_);
  for (int update = 0; update < 20; ++update) {
    const Dispatcher::Counters before = dispatcher_.counters();
    LONGS_EQUAL(0, StartsOfOneStep());
    const Dispatcher::Counters& after = dispatcher_.counters();
    CHECK(after.plan_visits - before.plan_visits <=
          kMaximumSearches * kWorkers);
    // One for each size: the large ones come first.
    CHECK(after.worker_ratings - before.worker_ratings <=
          uint64_t{200} * kWorkers);
    now_ += Milliseconds(80);
  }
  LONGS_EQUAL(kWorkers / 10, dispatcher_.counters().starts_planned);
}

TEST_GROUP(FailedRequests){};

constexpr Milliseconds kDuration{1'000};

// Fails when a request is given up because of a failed one although some worker
// that could not take the failed one could take it.
TEST(FailedRequests, CoveredRequestsFailOnEveryWorker) {
  const WorkerSelector selector{WorkerSelector::Options{}};
  const LatencyInterferenceModel model;
  const bool holds = rc::check([&] {
    TrackedWorkers workers;
    EligibleWorkers eligible;
    for (int number = 0; number < *rc::gen::inRange(1, 6); ++number) {
      auto worker = std::make_unique<TrackedWorker>(Registration(number));
      TrackedRun run;
      run.reserved = {*rc::gen::inRange<int64_t>(0, 16'000),
                      *rc::gen::inRange<int64_t>(0, 64'000), 0};
      worker->AddRun({{"other", 0, 0, number}, 1}, run);
      if (*rc::gen::arbitrary<bool>()) {
        worker->planned_start = PlannedStart{
            .step = {"planned", 0, 0, 0},
            .priority = *rc::gen::inRange(0, 3),
            .size = {*rc::gen::inRange<int64_t>(0, 16'000), 1'000, 0},
            .room_kept_from =
                MonotonicTime(*rc::gen::inRange(0, 3) * kDuration)};
      }
      eligible.workers.push_back(worker.get());
      workers.emplace(worker->registration().id, std::move(worker));
    }
    std::vector<QueuedJob> jobs(3);
    for (size_t priority = 0; priority < jobs.size(); ++priority) {
      jobs[priority].pool = "pool";
      jobs[priority].priority = static_cast<int64_t>(priority);
    }
    FailedRequests failed;
    std::vector<std::shared_ptr<const JobStep>> steps;
    for (int request_number = 0; request_number < 20; ++request_number) {
      JobStep step = FakePool::Job(1, 1).steps[0];
      step.size = {*rc::gen::inRange<int64_t>(0, 20'000),
                   *rc::gen::inRange<int64_t>(0, 70'000), 0};
      step.best_effort = *rc::gen::arbitrary<bool>();
      step.long_running = *rc::gen::arbitrary<bool>();
      step.required_label = *rc::gen::element<std::string>("", "a", "b");
      step.maximum_tasks_per_worker = *rc::gen::inRange<int64_t>(0, 2);
      step.image = *rc::gen::element<std::string>("x", "y");
      const auto kept = std::make_shared<const JobStep>(step);
      steps.push_back(kept);
      WorkerRequest request;
      request.job = &jobs[*rc::gen::inRange<size_t>(0, jobs.size())];
      request.step = kept.get();
      request.task = {"job", 0, 0, request_number};
      request.longest_duration = *rc::gen::inRange(0, 3) * kDuration;
      request.waited = Milliseconds(*rc::gen::inRange(0, 8'000));
      request.lateness = Milliseconds(*rc::gen::inRange(-2'000, 4'000));
      const WorkerSelection selection =
          selector.Select(request, eligible, model);
      RC_ASSERT(failed.Find(request) == nullptr || selection.worker == nullptr);
      if (selection.worker == nullptr) {
        failed.Add(request, selection.rejections);
      }
    }
  });
  CHECK(holds);
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

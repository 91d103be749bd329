#include <rapidcheck.h>

#include <map>
#include <random>
#include <set>

#include "absl/strings/str_cat.h"
#include "packages/placement/fakes/simulated_cluster.h"
#include "packages/placement/interference_model.h"
#include "packages/placement/placement.h"
#include "packages/placement/scored_policy.h"
#include "packages/placement/usage_estimator.h"
// After the others, since CppUTest defines macros.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr ResourceAmounts kLargeQuota{10'000'000, 100'000'000, 1000};
constexpr auto kJob = ResourceKind::kBatchJob;
constexpr MonotonicTime kStart{std::chrono::hours(1)};

BatchJobSpec Job(int64_t tasks, ResourceAmounts size = {1000, 1024, 0}) {
  BatchJobSpec job;
  job.task = {"tailors", "", size, "", {}};
  job.tasks = tasks;
  return job;
}

ServiceSpec Service(int64_t replicas, ResourceAmounts size = {1000, 1024, 0}) {
  ServiceSpec service;
  service.task = {"tailors", "", size, "", {}};
  service.replicas = replicas;
  return service;
}

TEST_GROUP(Policy) {
  SimulatedCluster cluster{{}};

  void setup() override {
    cluster.DeclareTeam("tailors", kLargeQuota);
  }

  void AddWorkers(int count) {
    for (int i = 0; i < count; ++i) {
      cluster.AddWorker(absl::StrCat("w", i), i % 2 == 0 ? "north" : "south",
                        absl::StrCat("r", i % 4));
    }
    cluster.Run(Milliseconds(1000));
  }

  // Makes every live task of an owner report the same usage, then advances the
  // clock by one second.
  void ReportUsage(ResourceKind kind, const std::string& owner,
                   ResourceAmounts used, int64_t slowdown_permille) {
    for (const Task* task : cluster.TasksOf(kind, owner)) {
      if (task->HasLiveAttempt()) {
        cluster.worker(std::string(task->worker))
            .usage.push_back({std::string(task->id), task->attempt, used,
                              slowdown_permille});
      }
    }
    cluster.Run(Milliseconds(1000));
  }

  const Task* FirstTask(const std::string& job) {
    return cluster.TasksOf(kJob, job)[0];
  }
};

// Fails when reservations stay at a declared size that is far from the real
// usage, or when estimates are based on a few reports.
TEST(Policy, TheEstimateIsDeclaredUntilSeenThenAHighQuantile) {
  UsageEstimator estimator;
  const ResourceAmounts declared{4000, 8192, 1};
  for (int i = 0; i < 20; ++i) {
    estimator.Observe(1, declared, {1000, 2048, 1});
  }
  CHECK(estimator.Estimate(1, declared) == declared);
  for (int i = 0; i < 200; ++i) {
    estimator.Observe(1, declared, {i % 10 == 0 ? 2000 : 1000, 2048, 1});
  }
  const ResourceAmounts estimate = estimator.Estimate(1, declared);
  CHECK(estimate.processor_millis >= 2000);
  CHECK(estimate.processor_millis <= 2500);
  CHECK(estimate.memory_mib >= 2048);
  CHECK(estimate.memory_mib <= 2900);
  LONGS_EQUAL(1, estimate.accelerators);
  CHECK(estimator.Estimate(2, declared) == declared);
}

// Fails when the model attributes a slowdown to the wrong neighbour, trusts a
// single report, or never forgets old reports.
TEST(Policy, TheInterferenceModelFindsTheInterferingKindAndAdapts) {
  constexpr int32_t kService = 1;
  constexpr int32_t kNeutral = 2;
  constexpr int32_t kInterfering = 3;
  InterferenceModel model;
  model.Observe(kService, {{kService, 1}, {kInterfering, 1}}, 2000, kStart);
  CHECK(model.Effect(kService, kInterfering) < 0.2);
  std::mt19937_64 random(7);
  const auto learn = [&](double interfering_effect) {
    for (int i = 0; i < 400; ++i) {
      KindCounts mix{{kService, 1}};
      const auto neutral = static_cast<int32_t>(random() % 4);
      const auto interfering = static_cast<int32_t>(random() % 3);
      if (neutral > 0) {
        mix[kNeutral] = neutral;
      }
      if (interfering > 0) {
        mix[kInterfering] = interfering;
      }
      const double slowdown =
          1 + 0.01 * neutral + interfering_effect * interfering;
      model.Observe(kService, mix, static_cast<int64_t>(slowdown * 1000),
                    kStart + std::chrono::seconds(i));
    }
  };
  learn(0.4);
  DOUBLES_EQUAL(0.33, model.Effect(kService, kInterfering), 0.08);
  CHECK(model.Effect(kService, kNeutral) < 0.08);
  learn(0.0);
  CHECK(model.Effect(kService, kInterfering) < 0.05);
}

// Fails when the index loses workers or returns workers that do not fit. After
// any order of changes, the policy must find a worker exactly when one fits,
// and that one must fit.
TEST(Policy, TheScoredPolicyFindsAWorkerExactlyWhenOneFits) {
  const bool passed = rc::check([] {
    Fleet fleet(100);
    InterferenceModel model;
    ScoredPolicy policy(&model, 1);
    for (int64_t i = 0; i < 12; ++i) {
      const WorkerSpec spec{absl::StrCat("d", i % 3),
                            absl::StrCat("r", i % 5),
                            {(i % 4 + 1) * 4000, (i % 3 + 1) * 8192, i % 2},
                            false};
      fleet.PutWorker(absl::StrCat("w", i), "b", spec, i % 6 != 5);
    }
    const auto sizes =
        *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(1, 9000));
    for (size_t i = 0; i < sizes.size(); ++i) {
      PlacementRequest request;
      request.owner_uid = absl::StrCat("o", i % 4);
      request.task_kind = static_cast<int32_t>(i % 3);
      request.capacity_class =
          i % 2 == 0 ? CapacityClass::kService : CapacityClass::kBatch;
      request.size = {sizes[i], sizes[(i + 1) % sizes.size()], i % 5 == 0};
      if (i % 3 == 0) {
        request.failure_domains = {static_cast<int32_t>(i % 3)};
      }
      bool any_fits = false;
      for (uint32_t w = 0; w < fleet.worker_count(); ++w) {
        any_fits = any_fits || Fits(request, fleet.worker(w));
      }
      const auto choice = policy(request, fleet);
      RC_ASSERT(choice.has_value() == any_fits);
      if (choice) {
        RC_ASSERT(Fits(request, fleet.worker(choice->worker)));
        fleet.PutTask(
            choice->worker, absl::StrCat("t", i),
            {request.owner_uid, request.task_kind, request.capacity_class,
             Priority::kNormal, request.size, 1});
      }
      if (i % 4 == 3) {
        fleet.RemoveTask(static_cast<uint32_t>(i % 12),
                         absl::StrCat("t", i / 2));
        fleet.PutWorker("w3", "b", {"d1", "r1", {8000, 8192, 0}, false},
                        i % 8 == 3);
      }
    }
  });
  CHECK(passed);
}

// Fails when interfering work accumulates beside a service, or when it never
// runs because every worker has a service.
TEST(Policy, InterferingWorkIsLimitedBesideServicesButNotExcluded) {
  constexpr int32_t kService = 0;
  constexpr int32_t kInterfering = 1;
  Fleet fleet(100);
  InterferenceModel model;
  for (int i = 0; i < 200; ++i) {
    model.Observe(kService, {{kService, 1}, {kInterfering, 1}}, 1500, kStart);
  }
  fleet.PutWorker("w", "b", {"d", "r", {16'000, 61'440, 0}, false}, true);
  fleet.PutTask(0, "s",
                {"svc",
                 kService,
                 CapacityClass::kService,
                 Priority::kNormal,
                 {1000, 1024, 0},
                 1});
  ScoredPolicy policy(&model, 1);
  PlacementRequest request{"job",
                           kInterfering,
                           CapacityClass::kBatch,
                           Priority::kNormal,
                           {1000, 1024, 0},
                           {}};
  CHECK(policy(request, fleet).has_value());
  fleet.PutTask(0, "n",
                {"job",
                 kInterfering,
                 CapacityClass::kBatch,
                 Priority::kNormal,
                 {1000, 1024, 0},
                 1});
  CHECK(!policy(request, fleet).has_value());
  request.priority = Priority::kUrgent;
  CHECK(policy(request, fleet).has_value());
}

// Fails when all replicas are lost with one rack or failure domain.
TEST(Policy, ReplicasSpreadOverRacksAndFailureDomains) {
  AddWorkers(8);
  cluster.DeclareService("quotes", Service(4));
  cluster.Run(Milliseconds(2000));
  std::map<std::string, int> by_domain;
  std::set<std::string> racks;
  for (const Task* task : cluster.TasksOf(ResourceKind::kService, "quotes")) {
    const auto& spec = cluster.worker(std::string(task->worker)).spec;
    ++by_domain[spec.failure_domain];
    racks.insert(spec.rack);
  }
  LONGS_EQUAL(2, by_domain["north"]);
  LONGS_EQUAL(2, by_domain["south"]);
  LONGS_EQUAL(4, racks.size());
}

// Fails when batch work uses the headroom that services need to grow.
TEST(Policy, BatchWorkLeavesHeadroomForServices) {
  AddWorkers(2);
  cluster.DeclareJob("cuts", Job(100));
  cluster.Run(Milliseconds(2000));
  LONGS_EQUAL(28, cluster.starts());
  cluster.DeclareService("quotes", Service(2));
  cluster.Run(Milliseconds(1000));
  LONGS_EQUAL(30, cluster.starts());
}

// Fails when urgent work waits while batch work keeps running, or when an
// attempt is stopped before its checkpoint.
TEST(Policy, UrgentWorkEvictsBatchWorkAfterItsCheckpoint) {
  AddWorkers(1);
  BatchJobSpec batch = Job(100);
  batch.checkpointable = true;
  cluster.DeclareJob("cuts", batch);
  cluster.Run(Milliseconds(2000));
  BatchJobSpec urgent = Job(2);
  urgent.priority = Priority::kUrgent;
  cluster.DeclareJob("urgent", urgent);
  cluster.Run(Milliseconds(4300));
  for (const Task* task : cluster.TasksOf(kJob, "urgent")) {
    CHECK(task->reported == ReportedAttemptState::kRunning);
  }
  int64_t evictions = 0;
  for (const Task* task : cluster.TasksOf(kJob, "cuts")) {
    evictions += task->evictions;
    CHECK(task->evictions == 0 || !task->checkpoint.empty());
  }
  LONGS_EQUAL(2, evictions);
}

// Fails when interference leads to an eviction without throttling first, or to
// no change at all.
TEST(Policy, ASlowServiceThrottlesThenCheckpointsThenStopsBatchWork) {
  AddWorkers(1);
  cluster.DeclareService("quotes", Service(1));
  BatchJobSpec batch = Job(1);
  batch.checkpointable = true;
  cluster.DeclareJob("cuts", batch);
  cluster.Run(Milliseconds(2000));
  std::vector<DesiredAttemptState> seen;
  for (int i = 0; i < 30 && FirstTask("cuts")->evictions == 0; ++i) {
    ReportUsage(ResourceKind::kService, "quotes", {1000, 1024, 0}, 1800);
    const DesiredAttemptState desired = FirstTask("cuts")->desired;
    if (seen.empty() || seen.back() != desired) {
      seen.push_back(desired);
    }
  }
  CHECK(seen.size() >= 2);
  CHECK(seen[0] == DesiredAttemptState::kRun);
  CHECK(seen[1] == DesiredAttemptState::kThrottle);
  CHECK(!FirstTask("cuts")->checkpoint.empty());
  LONGS_EQUAL(1, FirstTask("cuts")->evictions);
}

// Fails when a task stays throttled after the service has recovered.
TEST(Policy, AThrottledTaskIsReleasedWhenTheServiceIsStable) {
  AddWorkers(1);
  cluster.DeclareService("quotes", Service(1));
  cluster.DeclareJob("cuts", Job(1));
  cluster.Run(Milliseconds(2000));
  for (int i = 0; i < 7; ++i) {
    ReportUsage(ResourceKind::kService, "quotes", {1000, 1024, 0}, 1800);
  }
  CHECK(FirstTask("cuts")->desired == DesiredAttemptState::kThrottle);
  for (int i = 0; i < 25; ++i) {
    ReportUsage(ResourceKind::kService, "quotes", {1000, 1024, 0}, 1000);
  }
  CHECK(FirstTask("cuts")->desired == DesiredAttemptState::kRun);
  LONGS_EQUAL(0, FirstTask("cuts")->evictions);
}

// Fails when a broken worker uses up the attempts of every job.
TEST(Policy, AWorkerThatFailsEverythingIsPutOnProbationWithoutCharges) {
  AddWorkers(1);
  cluster.worker("w0").fails_all = true;
  for (const char* name : {"a", "b", "c"}) {
    cluster.DeclareJob(name, Job(1));
  }
  cluster.Run(Milliseconds(5000));
  CHECK(cluster.state().FindWorkerState("w0")->on_probation);
  for (const char* name : {"a", "b", "c"}) {
    LONGS_EQUAL(0, FirstTask(name)->failures);
    CHECK(FirstTask(name)->state == TaskState::kPending);
  }
  cluster.AddWorker("w9", "north", "r9");
  cluster.Run(Milliseconds(3000));
  for (const char* name : {"a", "b", "c"}) {
    CHECK(FirstTask(name)->reported == ReportedAttemptState::kRunning);
  }
}

// Fails when the failures of a faulty job are attributed to working workers.
TEST(Policy, AJobThatFailsEverywhereIsChargedAndWorkersStayInUse) {
  AddWorkers(2);
  cluster.DeclareJob("faulty", Job(1));
  for (int i = 0; i < 3; ++i) {
    cluster.Run(Milliseconds(2000));
    cluster.Finish(std::string(FirstTask("faulty")->id),
                   ReportedAttemptState::kFailed);
    cluster.Run(Milliseconds(12'000));
  }
  CHECK(FirstTask("faulty")->state == TaskState::kFailed);
  for (const auto& [name, worker] : cluster.state().worker_states()) {
    CHECK(!worker.on_probation);
  }
}

// Fails when attempts stay on a drained worker that has no permit to start
// them.
TEST(Policy, AttemptsThatADrainCaughtBeforeTheStartMoveOn) {
  AddWorkers(2);
  cluster.worker("w0").permit_end = {};
  cluster.DeclareJob("cuts", Job(20));
  cluster.Run(Milliseconds(100));
  cluster.Apply(SetDrained{"d", ResourceKind::kWorker, "w0", true, "u"});
  cluster.worker("w0").permit_end = {};
  cluster.Run(Milliseconds(5000));
  int64_t running = 0;
  for (const Task* task : cluster.TasksOf(kJob, "cuts")) {
    running += task->reported == ReportedAttemptState::kRunning ? 1 : 0;
    CHECK(task->worker != "w0" || !task->HasLiveAttempt() ||
          task->reported == ReportedAttemptState::kRunning);
  }
  CHECK(running >= 14);
}

// Fails when a burst of cancellations delays starts.
TEST(Policy, ABurstOfCancellationsDoesNotStallStarts) {
  AddWorkers(2);
  for (int i = 0; i < 300; ++i) {
    cluster.DeclareJob(absl::StrCat("old-", i), Job(5, {40'000, 1024, 0}));
  }
  cluster.Run(Milliseconds(2000));
  for (int i = 0; i < 300; ++i) {
    cluster.Apply(CancelJob{absl::StrCat("c", i), absl::StrCat("old-", i)});
  }
  cluster.DeclareJob("zz-new", Job(5));
  cluster.Run(Milliseconds(2000));
  LONGS_EQUAL(5, cluster.TasksOf(kJob, "zz-new").size());
  for (const Task* task : cluster.TasksOf(kJob, "zz-new")) {
    CHECK(task->HasLiveAttempt());
  }
  for (const Task* task : cluster.TasksOf(kJob, "old-299")) {
    CHECK(task->state == TaskState::kCancelled);
  }
}

}  // namespace
}  // namespace bramleyrail

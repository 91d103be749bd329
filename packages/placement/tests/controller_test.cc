#include <rapidcheck.h>

#include <set>

#include "absl/strings/str_cat.h"
#include "packages/placement/fakes/simulated_cluster.h"
#include "packages/placement/placement.h"
// After the others, since CppUTest defines macros.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr ResourceAmounts kLargeQuota{10'000'000, 100'000'000, 1000};
constexpr auto kJob = ResourceKind::kBatchJob;

BatchJobSpec Job(int64_t tasks, ResourceAmounts size = {1000, 1024, 0}) {
  BatchJobSpec job;
  job.task = {"tailors", "", size, "", {}};
  job.tasks = tasks;
  return job;
}

int64_t RunningTasks(SimulatedCluster* cluster, const std::string& job) {
  int64_t running = 0;
  for (const Task* task : cluster->TasksOf(kJob, job)) {
    running += task->reported == ReportedAttemptState::kRunning &&
                       task->HasLiveAttempt()
                   ? 1
                   : 0;
  }
  return running;
}

TEST_GROUP(Controller) {
  SimulatedCluster cluster{{}};

  void setup() override {
    cluster.DeclareTeam("tailors", kLargeQuota);
    cluster.AddWorker("w1", "north", "r1");
    cluster.AddWorker("w2", "south", "r2");
    cluster.Run(Milliseconds(1000));
  }
};

// Fails when the controller registers workers but does not reconcile, start or
// complete tasks.
TEST(Controller, RunsAJobToItsEnd) {
  cluster.DeclareJob("cuts", Job(10));
  cluster.Run(Milliseconds(2000));
  LONGS_EQUAL(10, RunningTasks(&cluster, "cuts"));
  for (const Task* task : cluster.TasksOf(kJob, "cuts")) {
    cluster.Finish(std::string(task->id), ReportedAttemptState::kCompleted);
  }
  cluster.Run(Milliseconds(2000));
  for (const Task* task : cluster.TasksOf(kJob, "cuts")) {
    CHECK(task->state == TaskState::kCompleted);
  }
  LONGS_EQUAL(10, cluster.starts());
}

// Fails when a task starts on a drained, suspended or full worker.
TEST(Controller, StartsNothingOnADrainedSuspendedOrFullWorker) {
  cluster.AddWorker("w3", "south", "r3", {500, 512, 0});
  cluster.Run(Milliseconds(1000));
  cluster.Apply(SetDrained{"d", ResourceKind::kWorker, "w1", true, "u"});
  cluster.worker("w2").connected = false;
  cluster.Run(Milliseconds(6000));
  CHECK(cluster.state().FindWorkerState("w2")->suspended);
  cluster.DeclareJob("cuts", Job(3));
  cluster.Run(Milliseconds(3000));
  LONGS_EQUAL(0, cluster.starts());
  cluster.Apply(SetDrained{"u", ResourceKind::kWorker, "w1", false, "u"});
  cluster.Run(Milliseconds(1000));
  LONGS_EQUAL(3, cluster.starts());
}

// Fails when a task is started again while its first attempt may still run, or
// more than once after the worker expired. The simulated cluster aborts when a
// task runs twice.
TEST(Controller, PlacesAttemptsOfASilentWorkerAgainAfterTheWaitExactlyOnce) {
  cluster.worker("w2").connected = false;
  cluster.Run(Milliseconds(6000));
  cluster.DeclareJob("cuts", Job(4));
  cluster.Run(Milliseconds(2000));
  LONGS_EQUAL(4, RunningTasks(&cluster, "cuts"));
  cluster.worker("w2").connected = true;
  cluster.Run(Milliseconds(2000));
  cluster.worker("w1").connected = false;
  cluster.Run(kWorkerSilenceTimeout + Milliseconds(12'000));
  CHECK(!cluster.state().FindWorkerState("w1")->expired);
  LONGS_EQUAL(4, cluster.starts());
  cluster.Run(Milliseconds(3000));
  LONGS_EQUAL(8, cluster.starts());
  LONGS_EQUAL(4, RunningTasks(&cluster, "cuts"));
  cluster.Run(Milliseconds(20'000));
  LONGS_EQUAL(8, cluster.starts());
}

// Fails when a new leader counts the silence or the suspension of a worker from
// a time before its own term.
TEST(Controller, ANewLeaderGivesAFullSilencePeriodAndAFullWait) {
  cluster.worker("w1").connected = false;
  cluster.Run(Milliseconds(4500));
  cluster.ChangeLeader();
  cluster.Run(Milliseconds(4500));
  CHECK(!cluster.state().FindWorkerState("w1")->suspended);
  cluster.Run(Milliseconds(1000));
  CHECK(cluster.state().FindWorkerState("w1")->suspended);
  cluster.Run(Milliseconds(11'000));
  cluster.ChangeLeader();
  cluster.Run(kWorkerExpiryDelay - Milliseconds(200));
  CHECK(!cluster.state().FindWorkerState("w1")->expired);
  cluster.Run(Milliseconds(1000));
  CHECK(cluster.state().FindWorkerState("w1")->expired);
}

// Fails when the expiry of a worker also ends attempts that keep running during
// a partition.
TEST(Controller, AnExpiredWorkerKeepsAttemptsThatRunOn) {
  cluster.worker("w2").connected = false;
  cluster.Run(Milliseconds(6000));
  ServiceSpec service;
  service.task = {"tailors", "", {1000, 1024, 0}, "", {}};
  service.replicas = 2;
  cluster.DeclareService("quotes", service);
  cluster.Run(Milliseconds(2000));
  cluster.worker("w1").connected = false;
  cluster.worker("w2").connected = true;
  cluster.Run(Milliseconds(30'000));
  CHECK(cluster.state().FindWorkerState("w1")->expired);
  LONGS_EQUAL(2, cluster.starts());
  cluster.worker("w1").connected = true;
  cluster.Run(Milliseconds(3000));
  CHECK(!cluster.state().FindWorkerState("w1")->suspended);
  LONGS_EQUAL(2, cluster.starts());
}

// Fails when a late report of an old attempt ends the live one.
TEST(Controller, AReportOfAnOldAttemptChangesNothing) {
  cluster.DeclareJob("cuts", Job(1));
  cluster.Run(Milliseconds(2000));
  const std::string id(cluster.TasksOf(kJob, "cuts")[0]->id);
  cluster.Finish(id, ReportedAttemptState::kFailed);
  // An early failure is held back until it is known whether the worker or the
  // task caused it.
  cluster.Run(Milliseconds(12'000));
  const Task before = *cluster.state().FindTask(id);
  LONGS_EQUAL(2, before.attempt);
  for (const char* worker : {"w1", "w2"}) {
    const std::string boot = absl::StrCat("boot-", worker);
    WorkerReport report{worker, boot, cluster.worker(worker).spec, {}, {}};
    report.attempts.push_back(
        {{id, 1, ReportedAttemptState::kCompleted, "", "", true}, 5});
    cluster.EnqueueReport(report);
  }
  cluster.Run(Milliseconds(500));
  CHECK(cluster.state().FindTask(id)->state == TaskState::kAssigned);
  LONGS_EQUAL(2, cluster.state().FindTask(id)->attempt);
}

// Fails when a delayed poll of an earlier boot ends the attempts of the current
// boot.
TEST(Controller, ANewBootEndsTheOldAttemptsAndAnOldBootIsIgnored) {
  cluster.DeclareJob("cuts", Job(4));
  cluster.Run(Milliseconds(2000));
  SimulatedCluster::Worker& worker = cluster.worker("w1");
  const WorkerReport old{"w1", worker.boot_id, worker.spec, {}, {}};
  cluster.Reboot("w1");
  cluster.Run(Milliseconds(3000));
  LONGS_EQUAL(4, RunningTasks(&cluster, "cuts"));
  const int64_t starts = cluster.starts();
  cluster.EnqueueReport(old);
  cluster.Run(Milliseconds(1000));
  CHECK(cluster.state().FindWorkerState("w1")->boot_id == worker.boot_id);
  LONGS_EQUAL(starts, cluster.starts());
}

// Fails when a job that fits no worker delays other jobs, or waits without a
// reason.
TEST(Controller, AnUnplaceableJobDelaysNoOtherJobAndHasAReason) {
  // Urgent, so that it is placed first in every step.
  BatchJobSpec impossible = Job(5, {64'000, 1024, 0});
  impossible.priority = Priority::kUrgent;
  cluster.DeclareJob("aaa-huge", impossible);
  cluster.DeclareJob("cuts", Job(5));
  cluster.Run(Milliseconds(2000));
  LONGS_EQUAL(5, RunningTasks(&cluster, "cuts"));
  const Resource* huge = cluster.state().FindResource(kJob, "aaa-huge");
  const PendingReason* reason = cluster.state().FindPendingReason(huge->uid);
  CHECK(reason != nullptr);
  CHECK(reason->unplaceable);
  CHECK(reason->reason.find("64000 processor_millis") != std::string::npos);
}

// Fails when urgent work waits behind a long queue.
TEST(Controller, UrgentWorkGoesFirst) {
  cluster.DeclareJob("cuts", Job(500));
  cluster.Run(Milliseconds(2000));
  cluster.DeclareJob("more-cuts", Job(20));
  BatchJobSpec urgent = Job(2);
  urgent.priority = Priority::kUrgent;
  cluster.DeclareJob("urgent", urgent);
  int64_t finished = 0;
  for (const Task* task : cluster.TasksOf(kJob, "cuts")) {
    if (task->HasLiveAttempt() && finished < 2) {
      cluster.Finish(std::string(task->id), ReportedAttemptState::kCompleted);
      ++finished;
    }
  }
  cluster.Run(Milliseconds(4300));
  LONGS_EQUAL(2, RunningTasks(&cluster, "urgent"));
  LONGS_EQUAL(0, RunningTasks(&cluster, "more-cuts"));
}

// Fails when a team exceeds its quota, or when part of a quota stays unused
// although tasks wait.
TEST(Controller, AQuotaIsUsedUpAndNeverExceeded) {
  cluster.DeclareTeam("small", {3000, 100'000, 0});
  BatchJobSpec job = Job(10);
  job.task.team = "small";
  cluster.DeclareJob("limited", job);
  cluster.DeclareJob("cuts", Job(5));
  cluster.Run(Milliseconds(3000));
  LONGS_EQUAL(3, RunningTasks(&cluster, "limited"));
  LONGS_EQUAL(5, RunningTasks(&cluster, "cuts"));
  const Resource* limited = cluster.state().FindResource(kJob, "limited");
  const PendingReason* reason = cluster.state().FindPendingReason(limited->uid);
  CHECK(reason != nullptr);
  CHECK(!reason->unplaceable);
}

// Fails when capacity goes to the team that was declared first instead of by
// weight.
TEST(Controller, TeamsShareByWeight) {
  cluster.DeclareTeam("heavy", kLargeQuota, 3);
  BatchJobSpec heavy = Job(200);
  heavy.task.team = "heavy";
  cluster.DeclareJob("a-light", Job(200));
  cluster.DeclareJob("b-heavy", heavy);
  cluster.Run(Milliseconds(3000));
  const int64_t light_tasks = RunningTasks(&cluster, "a-light");
  const int64_t heavy_tasks = RunningTasks(&cluster, "b-heavy");
  CHECK(light_tasks + heavy_tasks >= 28);
  CHECK(heavy_tasks >= 3 * light_tasks - 3);
  CHECK(heavy_tasks <= 3 * light_tasks + 3);
}

// Fails when partitions, reboots and changes of leader in any order run a task
// twice, lose it, or leave a worker unusable. The cluster aborts when a task
// runs twice.
TEST(Controller, NoTaskIsLostOrRunTwiceUnderRandomFailures) {
  const bool passed = rc::check([] {
    SimulatedCluster cluster{{}};
    cluster.DeclareTeam("tailors", kLargeQuota);
    for (int i = 0; i < 4; ++i) {
      cluster.AddWorker(absl::StrCat("w", i), i < 2 ? "north" : "south",
                        absl::StrCat("r", i));
    }
    cluster.Run(Milliseconds(1000));
    cluster.DeclareJob("cuts", Job(12));
    const auto events =
        *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(0, 14));
    for (const int event : events) {
      const std::string name = absl::StrCat("w", event % 4);
      if (event < 8) {
        SimulatedCluster::Worker& worker = cluster.worker(name);
        worker.connected = !worker.connected;
      } else if (event < 12) {
        cluster.Reboot(name);
      } else {
        cluster.ChangeLeader();
      }
      cluster.Run(Milliseconds(1000 + event * 1700 % 9000));
    }
    for (int i = 0; i < 4; ++i) {
      cluster.worker(absl::StrCat("w", i)).connected = true;
    }
    cluster.Run(Milliseconds(25'000));
    RC_ASSERT(RunningTasks(&cluster, "cuts") == 12);
  });
  CHECK(passed);
}

}  // namespace
}  // namespace bramleyrail

#include "packages/state/fakes/state_driver.h"
#include "packages/state/state.h"

// Last, since its memory macros break the headers of the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

void CheckRefusal(ErrorKind kind, const CommandOutcome& outcome) {
  CHECK(outcome.refusal.has_value());
  STRCMP_EQUAL(std::string(ErrorKindName(kind)).c_str(),
               std::string(ErrorKindName(outcome.refusal->kind)).c_str());
  CHECK(!outcome.refusal->remedy.empty());
}

TEST_GROUP(ClusterState) {
  StateDriver driver;
  ClusterState& state = driver.state();

  CommandOutcome DeclareTeam(int64_t processor_millis,
                             const std::string& more = "",
                             const std::string& change_id = "") {
    return driver.Declare(
        R"([{"kind": "team", "name": "cutting", "spec": {"quota":
        {"processor_millis": )" +
            std::to_string(processor_millis) + R"(, "memory_mib": 100000}})" +
            more + "}]",
        change_id);
  }
  int64_t TeamRevision() {
    return state.FindResource(ResourceKind::kTeam, "cutting")->revision;
  }
};

// Fails if two operators change the same revision, and the second overwrites
// the change of the first.
TEST(ClusterState, OneOfTwoChangesOfTheSameRevisionWins) {
  const std::string expected =
      R"(, "expected_revision": )" + std::to_string(TeamRevision());
  CHECK(!DeclareTeam(5000, expected).refusal);
  const CommandOutcome second = DeclareTeam(6000, expected);
  CheckRefusal(ErrorKind::kConflict, second);
  LONGS_EQUAL(1, second.resources.size());
  LONGS_EQUAL(
      5000,
      std::get<TeamSpec>(second.resources[0].spec).quota.processor_millis);
}

// Fails if a change that was meant for a deleted resource is applied to a new
// one of the same name.
TEST(ClusterState, ChangesForAnotherUidOrAnExistingNameAreConflicts) {
  CheckRefusal(ErrorKind::kConflict,
               DeclareTeam(5000, R"(, "expected_uid": "old")"));
  CheckRefusal(ErrorKind::kConflict,
               DeclareTeam(5000, R"(, "expected_revision": 0)"));
  CheckRefusal(ErrorKind::kConflict,
               driver.Apply(DeleteResource{
                   "d1", ResourceKind::kTeam, "cutting", "old", {}}));
  CheckRefusal(ErrorKind::kConflict,
               driver.Apply(DeleteResource{
                   "d2", ResourceKind::kTeam, "gone", "old", {}}));
  CheckRefusal(
      ErrorKind::kNotFound,
      driver.Apply(DeleteResource{"d3", ResourceKind::kTeam, "gone", "", {}}));
}

// Fails if a change is sent again because its response was lost, and reverts a
// change that was made in between.
TEST(ClusterState, AResentChangeGetsTheFirstAnswerAndHasNoEffect) {
  const CommandOutcome first = DeclareTeam(5000, "", "c1");
  DeclareTeam(6000, "", "c2");
  const CommandOutcome again = DeclareTeam(5000, "", "c1");
  CHECK(EncodeOutcome(first) == EncodeOutcome(again));
  LONGS_EQUAL(6000,
              std::get<TeamSpec>(
                  state.FindResource(ResourceKind::kTeam, "cutting")->spec)
                  .quota.processor_millis);
  CheckRefusal(ErrorKind::kConflict, DeclareTeam(7000, "", "c1"));
  CheckRefusal(ErrorKind::kInvalidArgument, DeclareTeam(7000, "", "a/b"));
}

// Fails if some declarations of a set are applied although others are refused,
// or a declaration refers to a resource that does not exist.
TEST(ClusterState, UnknownReferencesRefuseTheWholeSet) {
  const CommandOutcome outcome = driver.Declare(R"([
    {"kind": "team", "name": "sewing", "spec":
      {"quota": {"processor_millis": 1, "memory_mib": 1}}},
    {"kind": "batch_job", "name": "j", "spec": {"team": "nobody",
      "failure_domains": ["south", "nowhere"],
      "size": {"processor_millis": 1, "memory_mib": 1}}},
    {"kind": "target", "name": "t", "spec":
      {"service": "s", "failure_domain": "south"}}])");
  CheckRefusal(ErrorKind::kInvalidArgument, outcome);
  LONGS_EQUAL(3, outcome.refusal->faults.size());
  STRCMP_EQUAL("declarations[1].spec.team",
               outcome.refusal->faults[0].path.c_str());
  STRCMP_EQUAL("declarations[1].spec.failure_domains[1]",
               outcome.refusal->faults[1].path.c_str());
  STRCMP_EQUAL("declarations[2].spec.service",
               outcome.refusal->faults[2].path.c_str());
  CHECK(state.FindResource(ResourceKind::kTeam, "sewing") == nullptr);
}

// Fails if a resource is deleted that others refer to. Without its failure
// domain, a drained worker would no longer count as drained.
TEST(ClusterState, ResourcesInUseCannotBeDeleted) {
  driver.RegisterWorker("w1", "b1");
  driver.DeclareJob("plans", 1);
  CheckRefusal(ErrorKind::kFailedPrecondition,
               driver.Apply(DeleteResource{
                   "d1", ResourceKind::kFailureDomain, "south", "", {}}));
  CheckRefusal(ErrorKind::kFailedPrecondition,
               driver.Apply(DeleteResource{
                   "d2", ResourceKind::kTeam, "cutting", "", {}}));
}

// Fails if applying the same declarations again undoes a drain or a
// cancellation.
TEST(ClusterState, ApplyingAgainNeitherUndrainsNorUncancels) {
  driver.DeclareJob("plans", 1);
  driver.Apply(CancelJob{"c1", "plans"});
  driver.Apply(
      SetDrained{"c2", ResourceKind::kFailureDomain, "south", true, "u"});
  driver.Declare(
      R"([{"kind": "failure_domain", "name": "south", "spec":
      {"region": "r", "drained": false}}])");
  driver.DeclareJob("plans", 2);
  CHECK(state.IsFailureDomainDrained("south"));
  CHECK(driver.JobTask("plans", 0).state == TaskState::kCancelled);
  LONGS_EQUAL(
      0, state.CountsOf(driver.Uid(ResourceKind::kBatchJob, "plans")).pending);
}

TEST(ClusterState, OnlyExistingResourcesAndLocationsCanBeDrained) {
  driver.RegisterWorker("w1", "b1");
  CheckRefusal(
      ErrorKind::kNotFound,
      driver.Apply(SetDrained{"c1", ResourceKind::kWorker, "w2", true, "u1"}));
  // The drain of a misspelt failure domain would have no effect.
  CheckRefusal(ErrorKind::kNotFound,
               driver.Apply(SetDrained{"c2", ResourceKind::kFailureDomain,
                                       "suoth", true, "u2"}));
  CheckRefusal(ErrorKind::kInvalidArgument,
               driver.Apply(SetDrained{"c3", ResourceKind::kTeam, "cutting",
                                       true, "u3"}));
  CHECK(
      !driver.Apply(SetDrained{"c4", ResourceKind::kRack, "rack-1", true, "u4"})
           .refusal);
  CHECK(state.IsWorkerDrained("w1"));
  CheckRefusal(ErrorKind::kNotFound, driver.Apply(CancelJob{"c5", "nothing"}));
}

// Fails if a start is applied that the leader proposed from outdated state.
TEST(ClusterState, EveryStartThatMustNotHappenIsRefused) {
  driver.RegisterWorker("w1", "b1");
  driver.DeclareJob("plans", 2);
  const Task& task = driver.JobTask("plans", 0);
  const auto refuse = [&](ErrorKind kind) {
    CheckRefusal(kind, driver.Start(task, "w1"));
  };
  CheckRefusal(ErrorKind::kNotFound, driver.Start(task, "w2"));
  CheckRefusal(ErrorKind::kResourceExhausted,
               driver.Start(task, "w1", {8001, 1, 0}));
  CheckRefusal(ErrorKind::kResourceExhausted,
               driver.Start(task, "w1", {INT64_MAX, 1, 0}));
  CheckRefusal(ErrorKind::kInvalidArgument,
               driver.Start(task, "w1", {-1, 1, 0}));
  CheckRefusal(ErrorKind::kNotFound,
               driver.Apply(StartAttempts{{{"uid/0", 0, "w1", "b1", {}}}}));
  CheckRefusal(ErrorKind::kConflict,
               driver.Apply(StartAttempts{{{task.id, 0, "w1", "b0", {}}}}));
  CheckRefusal(ErrorKind::kConflict,
               driver.Apply(StartAttempts{{{task.id, 1, "w1", "b1", {}}}}));

  driver.Apply(SetDrained{"c1", ResourceKind::kWorker, "w1", true, ""});
  refuse(ErrorKind::kFailedPrecondition);
  driver.Apply(SetDrained{"c2", ResourceKind::kWorker, "w1", false, ""});
  driver.Apply(SuspendWorker{"w1", "b1"});
  refuse(ErrorKind::kFailedPrecondition);
  driver.Apply(ResumeWorker{"w1", "b1"});
  driver.Apply(SetWorkerProbation{"w1", true, "fails"});
  refuse(ErrorKind::kFailedPrecondition);
  driver.Apply(SetWorkerProbation{"w1", false, ""});
  DeclareTeam(999);
  refuse(ErrorKind::kResourceExhausted);
  DeclareTeam(1000);

  CHECK(!driver.Start(task, "w1").refusal);
  refuse(ErrorKind::kConflict);  // The task has a live attempt.
  CheckRefusal(ErrorKind::kResourceExhausted,
               driver.Start(driver.JobTask("plans", 1), "w1"));
  driver.Apply(CancelJob{"c3", "plans"});
  CheckRefusal(ErrorKind::kConflict,
               driver.Start(driver.JobTask("plans", 1), "w1"));
}

TEST(ClusterState, ATaskStartsInAllowedFailureDomainsOnly) {
  driver.Declare(R"([{"kind": "failure_domain", "name": "north",
      "spec": {"region": "r"}}])");
  driver.RegisterWorker("w1", "b1");
  driver.DeclareJob("plans", 1, R"(, "failure_domains": ["north"])");
  CheckRefusal(ErrorKind::kFailedPrecondition,
               driver.Start(driver.JobTask("plans", 0), "w1"));
}

// Fails if a worker registers again with a capacity below its reservations, and
// then either gets more attempts or its registration is refused.
TEST(ClusterState, ACapacityBelowTheReservationsBlocksStarts) {
  driver.RegisterWorker("w1", "b1");
  driver.DeclareJob("plans", 3);
  CHECK(!driver.Start(driver.JobTask("plans", 0), "w1").refusal);
  CHECK(!driver.Start(driver.JobTask("plans", 1), "w1").refusal);
  driver.RegisterWorker("w1", "b1", {1500, 8000, 0});
  CheckRefusal(ErrorKind::kResourceExhausted,
               driver.Start(driver.JobTask("plans", 2), "w1", {0, 1, 0}));
  CHECK(driver.JobTask("plans", 1).HasLiveAttempt());
}

// Fails if one refused start of a batch prevents the others.
TEST(ClusterState, StartsOfOneCommandAreAppliedIndependently) {
  driver.RegisterWorker("w1", "b1");
  driver.DeclareJob("plans", 2);
  const CommandOutcome outcome = driver.Apply(StartAttempts{
      {{driver.JobTask("plans", 0).id, 0, "w9", "b1", {1, 1, 0}},
       {driver.JobTask("plans", 1).id, 0, "w1", "b1", {1, 1, 0}}}});
  CHECK(!outcome.refusal);
  LONGS_EQUAL(1, outcome.accepted);
  LONGS_EQUAL(1, outcome.item_refusals.size());
  LONGS_EQUAL(0, outcome.item_refusals[0].index);
}

// Fails if an evicted task is lost, runs twice, or starts without its
// checkpoint.
TEST(ClusterState, AnEvictedTaskResumesOnceFromItsNewestCheckpoint) {
  driver.RegisterWorker("w1", "b1");
  driver.RegisterWorker("w2", "b2");
  driver.DeclareJob("plans", 1);
  const Task& task = driver.JobTask("plans", 0);
  driver.Start(task, "w1");
  driver.Report(task, ReportedAttemptState::kCheckpointed, "cp1");
  driver.Report(task, ReportedAttemptState::kCheckpointed, "cp2");
  driver.Apply(SetDesiredAttempts{
      {{task.id, 1, DesiredAttemptState::kStop, "room for urgent work"}}});
  CheckRefusal(ErrorKind::kFailedPrecondition,
               driver.Apply(SetDesiredAttempts{
                   {{task.id, 1, DesiredAttemptState::kRun, ""}}}));
  CheckRefusal(ErrorKind::kConflict,
               driver.Apply(SetDesiredAttempts{
                   {{task.id, 0, DesiredAttemptState::kStop, ""}}}));
  CheckRefusal(ErrorKind::kConflict, driver.Start(task, "w2"));
  const Task before_stop = task;
  driver.Report(before_stop, ReportedAttemptState::kStopped);
  CHECK(!driver.Start(task, "w2").refusal);
  LONGS_EQUAL(2, task.attempt);
  LONGS_EQUAL(1, task.evictions);
  CHECK(task.checkpoint == "cp2");
  // A delayed report of the first attempt does not end the second.
  CheckRefusal(ErrorKind::kConflict,
               driver.Report(before_stop, ReportedAttemptState::kCompleted));
  CHECK(task.HasLiveAttempt());
}

// Fails if an attempt that an unreachable worker still runs is started a second
// time on another worker.
TEST(ClusterState, ExpiryEndsOnlyAttemptsThatStopOnPartition) {
  driver.RegisterWorker("w1", "b1");
  driver.DeclareJob("stops", 1);
  driver.DeclareJob("runs-on", 1, R"(, "when_partitioned": "run_on")");
  driver.Start(driver.JobTask("stops", 0), "w1");
  driver.Start(driver.JobTask("runs-on", 0), "w1");
  // The worker is unreachable and does not receive the changed spec.
  driver.Apply(SuspendWorker{"w1", "b1"});
  driver.DeclareJob("runs-on", 1, R"(, "when_partitioned": "stop")");
  driver.Apply(ExpireWorker{"w1", "b1"});
  CHECK(driver.JobTask("stops", 0).state == TaskState::kPending);
  CHECK(driver.JobTask("runs-on", 0).HasLiveAttempt());
  // Deleting the worker confirms that it is switched off.
  driver.Apply(DeleteResource{"c1", ResourceKind::kWorker, "w1", "", {}});
  CHECK(driver.JobTask("runs-on", 0).state == TaskState::kPending);
}

TEST(ClusterState, WorkerCommandsForAnotherBootOrStateAreRefused) {
  driver.RegisterWorker("w1", "b1");
  CheckRefusal(ErrorKind::kConflict, driver.Apply(SuspendWorker{"w1", "b0"}));
  CheckRefusal(ErrorKind::kConflict, driver.Apply(ResumeWorker{"w2", "b1"}));
  CheckRefusal(ErrorKind::kConflict, driver.Apply(ExpireWorker{"w1", "b0"}));
  CheckRefusal(ErrorKind::kFailedPrecondition,
               driver.Apply(ExpireWorker{"w1", "b1"}));
  CheckRefusal(ErrorKind::kNotFound,
               driver.Apply(SetWorkerProbation{"w2", true, ""}));
  CheckRefusal(ErrorKind::kInvalidArgument,
               driver.Apply(RegisterWorker{"W", "b1", {}, "u"}));
  CheckRefusal(
      ErrorKind::kInvalidArgument,
      driver.Apply(RegisterWorker{
          "w1", "b1", {"south", "rack-1", {kMaximumAmount + 1, 1, 0}}, "u"}));
}

// Fails if a delayed registration of an earlier boot ends the attempts that the
// current boot runs.
TEST(ClusterState, ANewBootEndsOldAttemptsAndAnOldBootEndsNothing) {
  driver.RegisterWorker("w1", "b1");
  driver.DeclareJob("plans", 1);
  const Task& task = driver.JobTask("plans", 0);
  driver.Start(task, "w1");
  driver.RegisterWorker("w1", "b2");
  CHECK(task.state == TaskState::kPending);
  driver.Start(task, "w1");
  CheckRefusal(ErrorKind::kConflict,
               driver.Apply(RegisterWorker{"w1", "b1", {}, "u"}));
  CHECK(task.HasLiveAttempt());
  LONGS_EQUAL(2, task.attempt);
}

// Fails if a task that always fails is repeated without limit, or a failure of
// the worker counts against the task.
TEST(ClusterState, OnlyChargedFailuresCountAgainstTheMaximumAttempts) {
  driver.RegisterWorker("w1", "b1");
  driver.DeclareJob("plans", 1, R"(, "maximum_attempts": 2)");
  const Task& task = driver.JobTask("plans", 0);
  for (const bool charged : {true, false, true}) {
    CHECK(!driver.Start(task, "w1").refusal);
    driver.Apply(
        ReportAttempts{"w1",
                       "b1",
                       {{task.id, task.attempt, ReportedAttemptState::kFailed,
                         "", "disk", charged}}});
  }
  CHECK(task.state == TaskState::kFailed);
  LONGS_EQUAL(3, task.attempt);
  STRCMP_CONTAINS("disk", task.reason.c_str());
}

// Fails if tasks remain, or attempt numbers (fencing tokens) are used again,
// when a service is scaled down and up or is deleted.
TEST(ClusterState, ServicesAreScaledAndDeleted) {
  const auto declare = [this](int replicas) {
    driver.Declare(R"([{"kind": "service", "name": "quotes", "spec": {
        "team": "cutting", "size": {"processor_millis": 1, "memory_mib": 1},
        "replicas": )" +
                   std::to_string(replicas) + "}}]");
    driver.Reconcile();
  };
  driver.RegisterWorker("w1", "b1");
  declare(2);
  const std::string uid = driver.Uid(ResourceKind::kService, "quotes");
  driver.Start(*state.FindTask(uid + "/1"), "w1");
  declare(1);
  CHECK(state.FindTask(uid + "/1")->desired == DesiredAttemptState::kStop);
  driver.Report(*state.FindTask(uid + "/1"), ReportedAttemptState::kStopped);
  LONGS_EQUAL(1, state.CountsOf(uid).cancelled);
  LONGS_EQUAL(0, state.CountsOf(uid).evictions);
  declare(2);
  driver.Start(*state.FindTask(uid + "/1"), "w1");
  LONGS_EQUAL(2, state.FindTask(uid + "/1")->attempt);

  driver.Apply(DeleteResource{"c1", ResourceKind::kService, "quotes", "", {}});
  driver.Reconcile();
  CHECK(state.FindTask(uid + "/1")->desired == DesiredAttemptState::kStop);
  driver.Report(*state.FindTask(uid + "/1"), ReportedAttemptState::kStopped);
  CHECK(state.FindTask(uid + "/1") == nullptr);
}

TEST(ClusterState, AChangedSpecRemovesThePendingReason) {
  driver.RegisterWorker("w1", "b1");
  driver.DeclareJob("plans", 1);
  const std::string uid = driver.Uid(ResourceKind::kBatchJob, "plans");
  const TaskOwner owner = driver.JobTask("plans", 0).owner;
  driver.Apply(SetPendingReason{owner, "no room", true});
  CHECK(state.FindPendingReason(uid)->unplaceable);
  driver.DeclareJob("plans", 2);
  CHECK(state.FindPendingReason(uid) == nullptr);
}

// Fails if a watch misses changes without an error.
TEST(ClusterState, WatchesGetEveryChangeOrAnError) {
  const int64_t start = state.revision();
  DeclareTeam(5000);
  driver.DeclareJob("plans", 1);
  const auto changes = state.ChangesAfter(start, 1).value();
  LONGS_EQUAL(1, changes.size());
  CHECK(changes[0].type == ChangeType::kChanged);
  LONGS_EQUAL(3, state.ChangesAfter(start, 100).value().size());
  constexpr auto kChanges = static_cast<int64_t>(ClusterState::kMaximumHistory);
  for (int64_t i = 0; i < kChanges; ++i) {
    state.Apply({0, SetWorkerProbation{"none", true, ""}});
    state.Apply({0, ApplyResources{"w" + std::to_string(i),
                                   {{"t", TeamSpec{{0, 0, 0}, 1 + i}, "", {}}},
                                   {"uid-t"}}});
  }
  const auto compacted = state.ChangesAfter(start, 100);
  CHECK(compacted.error().kind == ErrorKind::kCompacted);
  CHECK(state.ChangesAfter(state.oldest_watch_revision(), 1).has_value());
  LONGS_EQUAL(
      ClusterState::kMaximumHistory,
      state.ChangesAfter(state.oldest_watch_revision(), 20'000).value().size());
}

// Fails if a non-idempotent request is executed twice, because two instances
// hold its claim or its outcome changes.
TEST(ClusterState, ClaimsHaveOneWinnerAndOneOutcome) {
  Claim claim;
  claim.request_id = "r1";
  claim.instance = "e1";
  claim.instance_boot_id = "b1";
  CHECK(driver.Apply(ClaimRequest{claim}).claim_created);
  Claim other = claim;
  other.instance = "e2";
  const CommandOutcome second = driver.Apply(ClaimRequest{other});
  CHECK(!second.claim_created);
  STRCMP_EQUAL("e1", second.claim->instance.c_str());
  other.state = ClaimState::kCompleted;
  CheckRefusal(ErrorKind::kConflict, driver.Apply(ResolveClaim{other}));

  driver.Apply(ResolveLostClaims{"e1", "b1"});
  CHECK(state.FindClaim("r1")->state == ClaimState::kRunning);
  driver.Apply(ResolveLostClaims{"e1", "b2"});
  CHECK(state.FindClaim("r1")->state == ClaimState::kOutcomeUnknown);
  // Delayed messages of the earlier boot.
  claim.request_id = "r2";
  CheckRefusal(ErrorKind::kFailedPrecondition,
               driver.Apply(ClaimRequest{claim}));
  CheckRefusal(ErrorKind::kConflict,
               driver.Apply(ResolveLostClaims{"e1", "b1"}));
  claim.state = ClaimState::kCompleted;
  CheckRefusal(ErrorKind::kNotFound, driver.Apply(ResolveClaim{claim}));
  CheckRefusal(ErrorKind::kInvalidArgument,
               driver.Apply(ClaimRequest{{.request_id = "a b"}}));
  driver.Apply(PurgeBefore{1'000'000});
  CHECK(state.FindClaim("r1") == nullptr);
}

TEST(ClusterState, LargeResponsesAreNotStored) {
  Claim claim{.request_id = "r1", .instance = "e1"};
  driver.Apply(ClaimRequest{claim});
  claim.state = ClaimState::kCompleted;
  claim.response_stored = true;
  claim.response_body = std::string(kMaximumStoredResponseBytes + 1, 'x');
  driver.Apply(ResolveClaim{claim});
  CHECK(!state.FindClaim("r1")->response_stored);
  CHECK(state.FindClaim("r1")->response_body.empty());
}

// Fails if a dry run changes the state, or reports another outcome than the
// change itself.
TEST(ClusterState, APreviewChangesNothing) {
  ApplyResources apply{"c1", {{"t", TeamSpec{{1, 1, 1}, 1}, "", {}}}, {"u1"}};
  const auto before = state.EncodeSnapshot();
  const CommandOutcome preview = state.PreviewApply(apply);
  CHECK(before == state.EncodeSnapshot());
  const CommandOutcome applied = driver.Apply(apply);
  CHECK(preview.resources == applied.resources);
  LONGS_EQUAL(1, preview.accepted);
}

TEST(ClusterState, DamagedBytesAreRefused) {
  const auto snapshot = state.EncodeSnapshot();
  const std::span<const std::byte> whole(snapshot);
  CHECK(
      ClusterState::FromSnapshot(whole.first(whole.size() - 1)).error().kind ==
      ErrorKind::kDataLoss);
  CHECK(DecodeCommand(AsBytes("\x01")).error().kind == ErrorKind::kDataLoss);
  // [0, [99, []]]: a command of an unknown kind.
  CHECK(DecodeCommand(AsBytes("\x82\x00\x82\x18\x63\x80")).error().kind ==
        ErrorKind::kDataLoss);
}

}  // namespace
}  // namespace bramleyrail

#include <httplib.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <thread>

#include "packages/worker/change_notifier.h"
#include "packages/worker/fakes/local_instance.h"
#include "packages/worker/fakes/stand_in_worker.h"
#include "packages/worker/worker.h"
#include "packages/worker/worker_view.h"
// After the others, since CppUTest defines macros.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr char kPath[] = "/v1/workers/w1/poll";
constexpr char kPoll[] =
    R"({"boot_id": "b1", "failure_domain": "north", "rack": "r1",
        "capacity": {"processor_millis": 16000, "memory_mib": 61440}})";

Json Post(LocalInstance* instance, const Json& poll) {
  httplib::Client client("http://" + instance->address());
  const auto answer = client.Post(kPath, poll.dump(), "application/json");
  CHECK(answer);
  LONGS_EQUAL(200, answer->status);
  return Json::parse(answer->body);
}

void DeclareJob(LocalInstance* instance,
                const std::string& payload,
                int64_t tasks) {
  BatchJobSpec job;
  job.task = {"tailors", "", {1000, 1024, 0}, payload, {}};
  job.tasks = tasks;
  job.maximum_attempts = 1;
  ApplyResources change;
  change.change_id = "declare";
  change.declarations = {
      {"tailors", TeamSpec{{100'000, 1'000'000, 0}, 1}, "", {}},
      {"cuts", job, "", {}}};
  change.new_uids = {"uid-team", "uid-cuts"};
  instance->Apply(change);
}

bool Register(LocalInstance* instance) {
  Post(instance, Json::parse(kPoll));
  return instance->WaitFor([](const ClusterState& state) {
    const WorkerState* worker = state.FindWorkerState("w1");
    return worker != nullptr && worker->boot_id == "b1";
  });
}

TEST_GROUP(WorkerServer){};

// Guards against a poll that is half used, or answered without its faults.
TEST(WorkerServer, RefusesAnInvalidPollWithEveryFault) {
  LocalInstance instance(4);
  httplib::Client client("http://" + instance.address());
  const auto answer =
      client.Post(kPath, R"({"boot_id": 1, "rack": "r1", "colour": "red"})",
                  "application/json");
  CHECK(answer);
  LONGS_EQUAL(400, answer->status);
  const Json error = Json::parse(answer->body)["error"];
  STRCMP_EQUAL("invalid_argument", error["kind"].get<std::string>().c_str());
  LONGS_EQUAL(4, error["faults"].size());
}

// Guards against a grant from an instance whose knowledge is old: such an
// instance may not know of a drain or a suspension.
TEST(WorkerServer, GrantsOnlyWhileFresh) {
  LocalInstance instance(4);
  CHECK(Register(&instance));
  Json answer = Post(&instance, Json::parse(kPoll));
  LONGS_EQUAL(1000, answer["start_permit_ms"].get<int>());
  LONGS_EQUAL(10'000, answer["lease_ms"].get<int>());
  instance.SetFresh(false);
  answer = Post(&instance, Json::parse(kPoll));
  CHECK(!answer.contains("start_permit_ms"));
  CHECK(!answer.contains("lease_ms"));
  CHECK(!answer["fresh"].get<bool>());
}

// Guards against starts on a drained worker, and against a drain that takes
// the lease from what runs.
TEST(WorkerServer, ADrainWithdrawsThePermitButNotTheLease) {
  LocalInstance instance(4);
  CHECK(Register(&instance));
  instance.Apply(SetDrained{"drain", ResourceKind::kWorker, "w1", true, "u"});
  const Json drained = Post(&instance, Json::parse(kPoll));
  CHECK(!drained.contains("start_permit_ms"));
  CHECK(drained.contains("lease_ms"));
  instance.Apply(SuspendWorker{"w1", "b1"});
  const Json suspended = Post(&instance, Json::parse(kPoll));
  CHECK(suspended["suspended"].get<bool>());
  CHECK(!suspended.contains("lease_ms"));
}

// Guards against a held poll that sleeps through a change of its worker. The
// wait is longer than the test may take, so only a wake-up ends it.
TEST(WorkerServer, AHeldPollEndsWithAChangeOfItsWorker) {
  LocalInstance instance(4);
  CHECK(Register(&instance));
  uint64_t version = 0;
  instance.access().read([&](const ClusterState& state) {
    version = WorkerVersion(state, "w1", "b1");
  });
  ChangeNotifier notifier(&instance.access());
  notifier.Start();
  std::thread drain([&] {
    instance.Apply(SetDrained{"drain", ResourceKind::kWorker, "w1", true, "u"});
  });
  notifier.WaitForChange("w1", "b1", version, std::chrono::hours(1));
  drain.join();
  notifier.Stop();
}

// Guards against idle or waiting connections that hold up all others: beyond
// the pool the answer is 503 at once.
TEST(WorkerServer, AFullPoolAnswers503) {
  LocalInstance instance(1);
  CHECK(Register(&instance));
  Json poll = Json::parse(kPoll);
  poll["known_version"] = Post(&instance, poll)["version"];
  httplib::Client holder("http://" + instance.address());
  holder.set_keep_alive(true);
  // Its open connection holds the only thread of the pool, once the thread has
  // left the connections of the posts above. Until then the holder is refused.
  while (holder.Post(kPath, kPoll, "application/json")->status != 200) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  httplib::Client other("http://" + instance.address());
  const auto answer = other.Post(kPath, kPoll, "application/json");
  CHECK(answer);
  LONGS_EQUAL(503, answer->status);
}

// Guards against a worker that stays with an instance that is about to stop.
TEST(WorkerServer, ADrainOfTheInstanceEndsHeldPolls) {
  LocalInstance instance(4);
  CHECK(Register(&instance));
  Json poll = Json::parse(kPoll);
  poll["known_version"] = Post(&instance, poll)["version"];
  poll["wait_ms"] = 2000;
  instance.server().BeginDrain();
  CHECK(Post(&instance, poll)["draining"].get<bool>());
}

// Guards against a lost report that leaves a task assigned for ever, and
// against a worker that does not move on from an instance that is down.
TEST(WorkerServer, AStandInWorkerRunsAJobAlthoughReportsAreLost) {
  LocalInstance instance(4);
  DeclareJob(&instance, R"({"run_ms": 100})", 5);
  const std::string log =
      "platform_test_attempts." + std::to_string(getpid()) + ".log";
  StandInWorker::Options options;
  options.name = "w1";
  options.spec = {"north", "r1", {16'000, 61'440, 0}, false};
  options.addresses = {"127.0.0.1:1", instance.address()};
  options.attempt_log = log;
  StandInWorker worker(options);
  worker.Start();
  CHECK(instance.WaitFor([](const ClusterState& state) {
    return state.CountsOf("uid-cuts").assigned == 5;
  }));
  instance.DropReports(5);
  CHECK(instance.WaitFor([](const ClusterState& state) {
    return state.CountsOf("uid-cuts").completed == 5;
  }));
  worker.Stop();
  std::ifstream file(log);
  std::string line;
  int starts = 0;
  int completed = 0;
  while (std::getline(file, line)) {
    starts += line.find(" start w1 ") != std::string::npos ? 1 : 0;
    completed += line.ends_with("completed") ? 1 : 0;
  }
  std::remove(log.c_str());
  LONGS_EQUAL(5, starts);
  LONGS_EQUAL(5, completed);
}

// Guards against a damaged batch that is taken for a valid one.
TEST(WorkerServer, TheReportCodecRefusesDamagedBytes) {
  WorkerReport report{"w1", "b1", {"north", "r1", {1, 2, 3}, false}, {}, {}};
  report.attempts.push_back(
      {{"t/0", 3, ReportedAttemptState::kFailed, "c", "m", true}, 7});
  report.usage.push_back({"t/0", 3, {5, 6, 0}, 1100});
  std::vector<std::byte> bytes = EncodeWorkerReports({&report, 1});
  const auto decoded = DecodeWorkerReports(bytes);
  CHECK(decoded.has_value());
  const WorkerReport& copy = decoded.value().at(0);
  STRCMP_EQUAL("r1", copy.spec.rack.c_str());
  LONGS_EQUAL(7, copy.attempts.at(0).ran_ms);
  LONGS_EQUAL(1100, copy.usage.at(0).slowdown_permille);
  bytes.resize(bytes.size() / 2);
  CHECK(!DecodeWorkerReports(bytes).has_value());
}

}  // namespace
}  // namespace bramleyrail

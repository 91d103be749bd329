#include <httplib.h>
#include <atomic>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/synchronization/notification.h"
#include "absl/time/time.h"
#include "packages/operator/operator.h"
#include "packages/state/fakes/local_state.h"

// Last, since its memory macros break the headers of the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

constexpr char kJsonType[] = "application/json";
// Far more than any answer takes; reached only when a test fails.
constexpr absl::Duration kLimit = absl::Seconds(20);
constexpr int kMaximumLines = 500;

Json Body(const httplib::Result& result) {
  CHECK(result.error() == httplib::Error::Success);
  return ParseJson(result->body, JsonComments::kRefuse).value();
}

std::string ErrorKindOf(const Json& body) {
  return body["error"]["kind"].get<std::string>();
}

// Reads the lines of a watch on a thread of its own.
class WatchReader {
 public:
  WatchReader(int port, const std::string& query)
      : client_("127.0.0.1", port), thread_([this, query] { Run(query); }) {}
  ~WatchReader() {
    client_.stop();
    thread_.join();
  }

  // Waits for a line of this type and takes it and those before it. Gives up,
  // with an empty result, when it is not among the next kMaximumLines.
  Json WaitFor(const std::string& type) {
    const absl::MutexLock lock(&mutex_);
    const auto arrived = [this] { return !lines_.empty() || ended_; };
    for (int i = 0; i < kMaximumLines; ++i) {
      mutex_.AwaitWithTimeout(absl::Condition(&arrived), kLimit);
      if (lines_.empty()) {
        return {};
      }
      const Json line = lines_.front();
      lines_.erase(lines_.begin());
      if (line["type"] == type) {
        return line;
      }
    }
    return {};
  }
  int Status() {
    const absl::MutexLock lock(&mutex_);
    mutex_.AwaitWithTimeout(absl::Condition(&ended_), kLimit);
    return status_;
  }
  Json ErrorBody() {
    const absl::MutexLock lock(&mutex_);
    mutex_.AwaitWithTimeout(absl::Condition(&ended_), kLimit);
    return ParseJson(text_, JsonComments::kRefuse).value();
  }

 private:
  void Run(const std::string& query) {
    const auto receive = [this](const char* data, size_t size) {
      const absl::MutexLock lock(&mutex_);
      text_.append(data, size);
      size_t end = 0;
      while (status_ == 200 && (end = text_.find('\n')) != std::string::npos) {
        lines_.push_back(ParseJson(std::string_view{text_}.substr(0, end),
                                   JsonComments::kRefuse)
                             .value());
        text_.erase(0, end + 1);
      }
      return true;
    };
    const auto respond = [this](const httplib::Response& response) {
      const absl::MutexLock lock(&mutex_);
      status_ = response.status;
      return true;
    };
    client_.Get(("/v1/watch" + query).c_str(), respond, receive);
    const absl::MutexLock lock(&mutex_);
    ended_ = true;
  }

  httplib::Client client_;
  absl::Mutex mutex_;
  std::vector<Json> lines_;
  std::string text_;
  int status_ = 0;
  bool ended_ = false;
  std::thread thread_;
};

TEST_GROUP(OperatorServer) {
  LocalState local;
  OperatorServerOptions options;
  std::unique_ptr<OperatorServer> server;
  std::unique_ptr<httplib::Client> client;

  void setup() override {
    options.state = local.Access();
    options.watch_heartbeat = Milliseconds(20);
    options.hooks.request_state = [](std::string_view id) -> Result<Json> {
      if (id != "r1") {
        return MakeError(ErrorKind::kNotFound, "no such request", "check it");
      }
      return Json({{"id", id}, {"state", "completed"}});
    };
    options.hooks.explain_request = options.hooks.request_state;
    options.hooks.instance_statuses = [] {
      InstanceStatus status;
      status.name = "entry-1";
      status.reachable = false;
      return std::vector<InstanceStatus>{status};
    };
    options.hooks.live_targets = []() -> Result<std::vector<LiveTarget>> {
      LiveTarget target;
      target.name = "t1";
      target.service = "quotes";
      target.state = "ready";
      return std::vector<LiveTarget>{target};
    };
  }
  void teardown() override {
    client.reset();
    server.reset();
  }
  void Start() {
    server = OperatorServer::Create(options).value();
    CHECK(server->Start().has_value());
    client = std::make_unique<httplib::Client>("127.0.0.1", server->port());
  }
  httplib::Result Get(const std::string& path) {
    return client->Get(path.c_str());
  }
  httplib::Result Post(const std::string& path, const std::string& body) {
    return client->Post(path.c_str(), body, kJsonType);
  }
  static std::string Team(int64_t memory_mib, const std::string& more) {
    return R"({"declarations": [{"kind": "team", "name": "sewing", "spec":
        {"quota": {"processor_millis": 5, "memory_mib": )" +
           std::to_string(memory_mib) + "}}}], " + more + "}";
  }
};

// Guards against dry runs with effects, and resends that apply twice.
TEST(OperatorServer, ApplyShowsTheDifferenceAndThenMakesItOnce) {
  Start();
  const Json preview = Body(Post("/v1/apply", Team(7, R"("dry_run": true)")));
  STRCMP_EQUAL("create",
               preview["differences"][0]["action"].get<std::string>().c_str());
  LONGS_EQUAL(404, Get("/v1/resources/team/sewing")->status);

  const auto applied = Post("/v1/apply", Team(7, R"("change_id": "c1")"));
  LONGS_EQUAL(200, applied->status);
  const Json difference =
      Body(Post("/v1/apply", Team(8, R"("dry_run": true)")));
  const Json& field = difference["differences"][0]["fields"][0];
  STRCMP_EQUAL(R"({"path":"spec.quota.memory_mib","before":7,"after":8})",
               field.dump().c_str());
  LONGS_EQUAL(200, Post("/v1/apply", Team(8, R"("change_id": "c2")"))->status);
  const auto resent = Post("/v1/apply", Team(7, R"("change_id": "c1")"));
  LONGS_EQUAL(Body(applied)["revision"].get<int>(),
              Body(resent)["revision"].get<int>());

  const auto shown = Get("/v1/resources/team/sewing");
  LONGS_EQUAL(8, Body(shown)["spec"]["quota"]["memory_mib"].get<int>());
  LONGS_EQUAL(8, Body(shown)["status"]["left"]["memory_mib"].get<int>());
  STRCMP_EQUAL("7",
               shown->get_header_value("Bramleyrail-State-Age-Ms").c_str());
}

// Guards against errors that say less than what the state knows.
TEST(OperatorServer, RefusalsCarryFaultsAndTheCurrentState) {
  Start();
  const auto invalid = Post("/v1/apply", R"({"declarations": [{"kind": "team",
      "name": "T", "spec": {"quota": {}}}], "colour": 1})");
  LONGS_EQUAL(400, invalid->status);
  LONGS_EQUAL(5, Body(invalid)["error"]["faults"].size());
  STRCMP_EQUAL(
      "declarations[0].name",
      Body(invalid)["error"]["faults"][2]["path"].get<std::string>().c_str());
  LONGS_EQUAL(400, Post("/v1/apply", "{")->status);
  const auto conflict = Post("/v1/apply", R"({"change_id": "c1",
      "declarations": [{"kind": "team", "name": "cutting",
      "expected_revision": 77, "spec": {"quota": {"processor_millis": 1,
      "memory_mib": 1}}}]})");
  LONGS_EQUAL(409, conflict->status);
  STRCMP_EQUAL("conflict", ErrorKindOf(Body(conflict)).c_str());
  STRCMP_EQUAL("cutting",
               Body(conflict)["current"][0]["name"].get<std::string>().c_str());
  const auto missing = Get("/v1/nothing");
  LONGS_EQUAL(404, missing->status);
  STRCMP_EQUAL("not_found", ErrorKindOf(Body(missing)).c_str());
}

// Guards against "not run" for a change that may have been made.
TEST(OperatorServer, UnconfirmedChangesSayWhatIsCertain) {
  Start();
  local.FailProposals(MakeError(ErrorKind::kUnavailable, "no leader", "wait"));
  const auto refused = Post("/v1/jobs/a/cancel", R"({"change_id": "c1"})");
  LONGS_EQUAL(503, refused->status);
  CHECK(Body(refused)["not_run"].get<bool>());
  local.FailProposals(
      MakeError(ErrorKind::kOutcomeUnknown, "lost", "send it again"));
  const auto unknown = Post("/v1/jobs/a/cancel", R"({"change_id": "c1"})");
  LONGS_EQUAL(504, unknown->status);
  CHECK(!Body(unknown).contains("not_run"));
  local.SetAge(std::nullopt);
  STRCMP_EQUAL("unknown", Get("/v1/resources/team")
                              ->get_header_value("Bramleyrail-State-Age-Ms")
                              .c_str());
}

TEST(OperatorServer, DrainsShowAsTheirEffect) {
  local.Change([](StateDriver& driver) { driver.RegisterWorker("w1", "b1"); });
  Start();
  const std::string south =
      R"({"change_id": "c1", "kind": "failure_domain", "name": "south"})";
  LONGS_EQUAL(1, Body(Post("/v1/drain", south))["changed"].get<int>());
  const Json worker = Body(Get("/v1/resources/worker/w1"))["status"];
  CHECK(worker["drained"].get<bool>());
  STRCMP_EQUAL(R"(["failure_domain/south"])",
               worker["drained_by"].dump().c_str());
  LONGS_EQUAL(200, Post("/v1/undrain", R"({"change_id": "c2", "kind":
      "failure_domain", "name": "south"})")
                       ->status);
  CHECK(!Body(Get("/v1/resources/worker/w1"))["status"]["drained"].get<bool>());
  LONGS_EQUAL(404, Post("/v1/drain", R"({"change_id": "c3", "kind": "worker",
      "name": "w2"})")
                       ->status);
  LONGS_EQUAL(200,
              client->Delete("/v1/resources/worker/w1?change_id=c4")->status);
  LONGS_EQUAL(400, client->Delete("/v1/resources/worker/w1")->status);
}

TEST(OperatorServer, JobsTasksAndExplanationsComeFromTheState) {
  std::string id;
  local.Change([&id](StateDriver& driver) {
    driver.RegisterWorker("w1", "b1");
    driver.DeclareJob("plans", 3);
    driver.Start(driver.JobTask("plans", 0), "w1");
    driver.Apply(SetPendingReason{driver.JobTask("plans", 0).owner,
                                  "no worker has 9 accelerators", true});
    id = std::string(driver.JobTask("plans", 0).owner.uid);
  });
  Start();
  const Json job = Body(Get("/v1/jobs/plans?limit=2"));
  STRCMP_EQUAL("running", job["status"]["state"].get<std::string>().c_str());
  CHECK(job["status"]["unplaceable"].get<bool>());
  LONGS_EQUAL(2, job["tasks"].size());
  LONGS_EQUAL(1, job["next"].get<int>());
  LONGS_EQUAL(1, Body(Get("/v1/jobs/plans?after=1"))["tasks"].size());
  STRCMP_EQUAL(
      "w1",
      Body(Get("/v1/tasks/" + id + "/0"))["worker"].get<std::string>().c_str());
  STRCMP_CONTAINS("worker 'w1'",
                  Body(Get("/v1/explain/tasks/" + id + "/0"))["summary"]
                      .get<std::string>()
                      .c_str());
  STRCMP_CONTAINS("no worker has 9 accelerators",
                  Body(Get("/v1/explain/tasks/" + id + "/1"))["summary"]
                      .get<std::string>()
                      .c_str());
  LONGS_EQUAL(404, Get("/v1/tasks/" + id + "/9")->status);
  LONGS_EQUAL(200,
              Post("/v1/jobs/plans/cancel", R"({"change_id": "c1"})")->status);
  local.Change([](StateDriver& driver) { driver.Reconcile(); });
  STRCMP_EQUAL("cancelling",
               Body(Get("/v1/resources/batch_job/plans"))["status"]["state"]
                   .get<std::string>()
                   .c_str());
}

TEST(OperatorServer, HooksAnswerRequestsInstancesAndTargets) {
  local.Change([](StateDriver& driver) {
    driver.Declare(R"([{"kind": "service", "name": "quotes", "spec": {}},
        {"kind": "target", "name": "t1", "spec": {"service": "quotes",
        "failure_domain": "south"}}])");
  });
  Start();
  LONGS_EQUAL(200, Get("/v1/requests/r1")->status);
  LONGS_EQUAL(404, Get("/v1/explain/requests/r2")->status);
  CHECK(!Body(Get("/v1/instances"))["instances"][0]["reachable"].get<bool>());
  LONGS_EQUAL(1, Body(Get("/v1/services/quotes"))["live_targets"].size());
  LONGS_EQUAL(1, Body(Get("/v1/resources/target/t1"))["status"]["live"].size());
}

// Guards against lists that end early without saying so.
TEST(OperatorServer, ListsArePaged) {
  local.Change([](StateDriver& driver) {
    for (const char* name : {"w1", "w2", "w3"}) {
      driver.RegisterWorker(name, "b1");
    }
  });
  Start();
  const Json first = Body(Get("/v1/resources/worker?limit=2"));
  LONGS_EQUAL(2, first["resources"].size());
  STRCMP_EQUAL("w2", first["next"].get<std::string>().c_str());
  const Json last = Body(Get("/v1/resources/worker?limit=2&after=w2"));
  LONGS_EQUAL(1, last["resources"].size());
  CHECK(!last.contains("next"));
  LONGS_EQUAL(400, Get("/v1/resources/worker?limit=0")->status);
  LONGS_EQUAL(400, Get("/v1/resources/workers")->status);
}

// Guards against a watch that misses a change or cannot be resumed.
TEST(OperatorServer, WatchesSendEveryChangeHeartbeatsAndALastLine) {
  Start();
  WatchReader reader(server->watch_port(), "?after_revision=0&kind=worker");
  local.Change([](StateDriver& driver) { driver.RegisterWorker("w1", "b1"); });
  const Json created = reader.WaitFor("created");
  CHECK(!created.empty());
  STRCMP_EQUAL("w1", created["resource"]["name"].get<std::string>().c_str());
  Json heartbeat = reader.WaitFor("heartbeat");
  for (int i = 0; i < 100 && heartbeat["revision"] < created["revision"]; ++i) {
    heartbeat = reader.WaitFor("heartbeat");
  }
  CHECK(heartbeat["revision"] == created["revision"]);
  LONGS_EQUAL(7, heartbeat["state_age_ms"].get<int>());
  local.Change([](StateDriver& driver) {
    driver.Apply(SuspendWorker{"w1", "b1"});
  });
  const Json changed = reader.WaitFor("status_changed");
  CHECK(changed["resource"]["status"]["suspended"].get<bool>());
  WatchReader resumed(server->watch_port(),
                      "?after_revision=" + heartbeat["revision"].dump());
  CHECK(resumed.WaitFor("status_changed") == changed);

  server->BeginDrain();
  CHECK(reader.WaitFor("end")["revision"] == changed["revision"]);
  LONGS_EQUAL(200, reader.Status());
  WatchReader late(server->watch_port(), "");
  LONGS_EQUAL(503, late.Status());
  LONGS_EQUAL(200, Get("/v1/instances")->status);
}

TEST(OperatorServer, AWatchFromAForgottenRevisionIsToldToListAgain) {
  local.Change([](StateDriver& driver) {
    for (size_t i = 0; i <= ClusterState::kMaximumHistory; ++i) {
      driver.state().Apply(
          {0, SetDrained{"c" + std::to_string(i), ResourceKind::kFailureDomain,
                         "south", i % 2 == 0, "u"}});
    }
  });
  Start();
  WatchReader reader(server->watch_port(), "?after_revision=0");
  LONGS_EQUAL(410, reader.Status());
  const Json body = reader.ErrorBody();
  STRCMP_EQUAL("compacted", ErrorKindOf(body).c_str());
  CHECK(body["oldest_revision"].get<int>() > 0);
  WatchReader wrong(server->watch_port(), "?after_revision=x&kind=y");
  LONGS_EQUAL(400, wrong.Status());
  LONGS_EQUAL(2, wrong.ErrorBody()["error"]["faults"].size());
}

// Guards against watches that starve requests or each other without an error.
TEST(OperatorServer, AFullWatchPoolAnswers503AndRequestsGoOn) {
  options.maximum_watches = 1;
  Start();
  WatchReader first(server->watch_port(), "");
  CHECK(!first.WaitFor("heartbeat").empty());
  WatchReader second(server->watch_port(), "");
  LONGS_EQUAL(503, second.Status());
  CHECK(second.ErrorBody()["not_run"].get<bool>());
  LONGS_EQUAL(200, Get("/v1/instances")->status);
}

// Guards against requests that hang, or are cut, when the pool is full.
TEST(OperatorServer, AFullRequestPoolAnswers503) {
  absl::Notification entered;
  absl::Notification release;
  options.request_threads = 1;
  options.request_queue = 0;
  options.hooks.instance_statuses = [&] {
    entered.Notify();
    release.WaitForNotification();
    return std::vector<InstanceStatus>();
  };
  Start();
  std::thread blocked([this] {
    httplib::Client other("127.0.0.1", server->port());
    other.Get("/v1/instances");
  });
  entered.WaitForNotification();
  const auto rejected = Get("/v1/resources/team");
  LONGS_EQUAL(503, rejected->status);
  STRCMP_EQUAL("unavailable", ErrorKindOf(Body(rejected)).c_str());
  STRCMP_EQUAL("1", rejected->get_header_value("Retry-After").c_str());
  release.Notify();
  blocked.join();
}

// Guards against idle connections that hold every thread for ever.
TEST(OperatorServer, IdleConnectionsGiveTheirThreadBack) {
  options.request_threads = 1;
  Start();
  httplib::Client idle("127.0.0.1", server->port());
  idle.set_keep_alive(true);
  CHECK(idle.Get("/v1/instances").error() == httplib::Error::Success);
  LONGS_EQUAL(200, Get("/v1/instances")->status);
}

TEST(OperatorServer, CreateNamesWhatIsMissingOrTaken) {
  Start();
  options.port = server->port();
  CHECK(OperatorServer::Create(options).error().kind ==
        ErrorKind::kUnavailable);
  options.port = 0;
  options.hooks.live_targets = nullptr;
  STRCMP_CONTAINS("live_targets",
                  OperatorServer::Create(options).error().message.c_str());
}

TEST(OperatorServer, InstanceStatusSurvivesTheWire) {
  InstanceStatus status{"entry-1", "south", "r", "leader", "entry-1",
                        3,         4,       5,   6,        "disk full"};
  const auto bytes = EncodeInstanceStatus(status);
  CHECK(DecodeInstanceStatus(bytes).value() == status);
  status.state_age_ms.reset();
  CHECK(DecodeInstanceStatus(EncodeInstanceStatus(status)).value() == status);
  const std::span<const std::byte> whole(bytes);
  CHECK(DecodeInstanceStatus(whole.first(20)).error().kind ==
        ErrorKind::kDataLoss);
}

// Guards against events that operators cannot look up.
TEST(OperatorServer, EveryLogEventIsInTheCatalogue) {
  std::ifstream file(BRAMLEYRAIL_SOURCE_FOLDER "/docs/log-events.md");
  std::stringstream text;
  text << file.rdbuf();
  const char* const severities[] = {"debug", "info", "warning", "error"};
  for (const LogEventDefinition& event : operator_events::kAll) {
    const std::string row = "| " + std::to_string(event.number) + " | " +
                            severities[static_cast<int>(event.severity)] +
                            " | " + event.name + " |";
    STRCMP_CONTAINS(row.c_str(), text.str().c_str());
  }
}

}  // namespace
}  // namespace bramleyrail

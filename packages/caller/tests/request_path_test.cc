#include <thread>

#include "packages/caller/caller.h"
#include "packages/caller/fakes/test_cluster.h"

// Redefines `new`, so it must be included last.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

const httplib::Headers idempotent_headers = {{kIdempotentHeader, "true"}};

httplib::Headers WithId(const std::string& id) {
  return {{kRequestIdHeader, id}};
}

int TotalExecutions(const StandInTarget& target) {
  int total = 0;
  for (const auto& [id, count] : target.executions()) {
    total += count;
  }
  return total;
}

TEST_GROUP(RequestPath){};

TEST(RequestPath, AnswersComeBackThroughOneOrTwoInstances) {
  TestCluster cluster(2);
  cluster.AddTarget({}, {0});
  for (const size_t entry : {size_t{0}, size_t{1}}) {
    const TestCluster::Response response = cluster.Send(
        entry, "echo", R"({"x":1})", WithId("r" + std::to_string(entry)));
    LONGS_EQUAL(200, response.status);
    STRCMP_EQUAL(R"({"x":1})", response.body.c_str());
    STRCMP_EQUAL("target-1",
                 response.headers.find(kTargetHeader)->second.c_str());
  }
}

// Concurrent requests of many callers: responses that arrive out of order could
// be returned to the wrong caller, and a target could be sent more requests
// than it has slots.
TEST(RequestPath, ManyCallersEachGetTheirOwnAnswer) {
  TestCluster cluster(2);
  StandInTarget* target =
      cluster.AddTarget({.slots = 3, .connections = 3}, {0});
  std::atomic<int> wrong{0};
  std::vector<std::thread> callers;
  for (int caller = 0; caller < 12; ++caller) {
    callers.emplace_back([&cluster, &wrong, caller] {
      for (int i = 0; i < 5; ++i) {
        const Json body = {{"caller", caller}, {"i", i}};
        Json request = body;
        request["sleep_ms"] = (caller * 7 + i * 3) % 11;
        const TestCluster::Response response =
            cluster.Send(static_cast<size_t>(caller % 2), "echo",
                         request.dump(), idempotent_headers);
        wrong += response.status == 200 && response.body == body.dump() ? 0 : 1;
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  LONGS_EQUAL(0, wrong.load());
  LONGS_EQUAL(60, TotalExecutions(*target));
  CHECK(target->peak_requests() <= 3);
  CHECK(target->peak_connections() <= 3);
}

// A caller can repeat a non-idempotent request through another instance, while
// the first request runs or after it has completed. It must not run twice.
TEST(RequestPath, NonIdempotentRequestsRunOnceThroughTwoInstances) {
  TestCluster cluster(2);
  StandInTarget* target = cluster.AddTarget({}, {0});
  std::thread first([&cluster] {
    cluster.Send(0, "echo", R"({"sleep_ms":300,"x":1})", WithId("once"));
  });
  CHECK(WaitUntil([target] { return !target->executions().empty(); }));
  const TestCluster::Response second =
      cluster.Send(1, "echo", R"({"sleep_ms":300,"x":1})", WithId("once"));
  LONGS_EQUAL(409, second.status);
  CHECK(!second.not_run());
  first.join();
  CHECK(WaitUntil([&cluster] {
    return cluster.FindClaim("once")->state == ClaimState::kCompleted;
  }));
  const TestCluster::Response third =
      cluster.Send(1, "echo", R"({"sleep_ms":300,"x":1})", WithId("once"));
  LONGS_EQUAL(200, third.status);
  STRCMP_EQUAL(R"({"x":1})", third.body.c_str());
  LONGS_EQUAL(1, target->executions()["once"]);
}

// When the response of a non-idempotent request is lost, the request may have
// run, so a retry could run it twice.
TEST(RequestPath, LostAnswersOfNonIdempotentRequestsAreNotRetried) {
  TestCluster cluster(2);
  StandInTarget* target = cluster.AddTarget({}, {0});
  cluster.SetLink(TestCluster::Link::kLoseResponses);
  const TestCluster::Response lost =
      cluster.Send(1, "echo", "{}", WithId("once"));
  LONGS_EQUAL(504, lost.status);
  STRCMP_EQUAL("outcome_unknown", lost.json["kind"].get<std::string>().c_str());
  CHECK(!lost.not_run());
  cluster.SetLink(TestCluster::Link::kUp);
  LONGS_EQUAL(504, cluster.Send(0, "echo", "{}", WithId("once")).status);
  LONGS_EQUAL(1, target->executions()["once"]);
  // The record of the owner shows the outcome.
  STRCMP_EQUAL(
      "completed",
      cluster.State(1, "once").json["state"].get<std::string>().c_str());
}

// Idempotent requests whose responses are lost could be retried without limit.
// There is one attempt and the 3 retries of the budget.
TEST(RequestPath, RetriesOfIdempotentRequestsStayInTheBudget) {
  TestCluster cluster(2);
  StandInTarget* target = cluster.AddTarget({}, {0});
  cluster.SetLink(TestCluster::Link::kLoseResponses);
  const TestCluster::Response lost =
      cluster.Send(1, "echo", "{}", idempotent_headers);
  LONGS_EQUAL(504, lost.status);
  CHECK(!lost.not_run());
  LONGS_EQUAL(4, TotalExecutions(*target));
}

// A retry that could not be sent must not mark a request as not run when an
// earlier attempt may have run.
TEST(RequestPath, ARefusedRetryDoesNotMakeARequestNotRun) {
  TestCluster cluster(2);
  StandInTarget* target = cluster.AddTarget({}, {0});
  cluster.SetLink(TestCluster::Link::kLoseNextResponse);
  const TestCluster::Response lost =
      cluster.Send(1, "echo", "{}", idempotent_headers);
  LONGS_EQUAL(504, lost.status);
  CHECK(!lost.not_run());
  LONGS_EQUAL(1, TotalExecutions(*target));
}

// A response that arrives after its request has timed out could be returned for
// the next request on the same connection.
TEST(RequestPath, ALateAnswerDoesNotReachTheNextRequest) {
  TestCluster cluster(1);
  cluster.AddTarget({}, {0});
  cluster.Send(0, "echo", R"({"x":"first"})", idempotent_headers);
  LONGS_EQUAL(504,
              cluster
                  .Send(0, "echo", R"({"sleep_ms":900,"x":"late"})",
                        {{kIdempotentHeader, "true"}, {kTimeoutHeader, "300"}})
                  .status);
  for (int i = 0; i < 40; ++i) {
    const Json body = {{"sleep_ms", 20}, {"x", i}};
    const TestCluster::Response response =
        cluster.Send(0, "echo", body.dump(), idempotent_headers);
    STRCMP_EQUAL(Json({{"x", i}}).dump().c_str(), response.body.c_str());
  }
}

// A request whose id was used before may have run through an instance that
// cannot be reached. If it were reported as not run, the caller would send the
// same order under a new id, and it would run twice.
TEST(RequestPath, AResentIdWithoutAQuorumIsNotCalledNotRun) {
  TestCluster cluster(1);
  StandInTarget* target = cluster.AddTarget({}, {0});
  cluster.SetQuorum(false);
  const TestCluster::Response resent =
      cluster.Send(0, "echo", "{}", WithId("may-have-run"));
  LONGS_EQUAL(504, resent.status);
  CHECK(!resent.not_run());
  CHECK(resent.body.find("new request id") == std::string::npos);
  // No earlier request can have used an id that the instance has just
  // generated.
  const TestCluster::Response fresh = cluster.Send(0, "echo", "{}", {});
  LONGS_EQUAL(503, fresh.status);
  CHECK(fresh.not_run());
  LONGS_EQUAL(0, TotalExecutions(*target));
}

// A request that is sent before its claim is committed could also run through
// another instance.
TEST(RequestPath, WithoutAConfirmedClaimNothingIsRun) {
  TestCluster cluster(1);
  StandInTarget* target = cluster.AddTarget({}, {0});
  cluster.SetQuorum(false);
  const TestCluster::Response refused =
      cluster.Send(0, "echo", "{}", WithId("no-quorum"));
  LONGS_EQUAL(504, refused.status);
  CHECK(!refused.not_run());
  LONGS_EQUAL(200, cluster.Send(0, "echo", "{}", idempotent_headers).status);
  cluster.SetQuorum(true);
  cluster.SetLoseOutcomes(true);
  const TestCluster::Response unknown =
      cluster.Send(0, "echo", "{}", WithId("lost-outcome"));
  LONGS_EQUAL(504, unknown.status);
  CHECK(!unknown.not_run());
  cluster.SetLoseOutcomes(false);
  CHECK(WaitUntil([&cluster] {
    return cluster.FindClaim("lost-outcome")->state == ClaimState::kNotRun;
  }));
  CHECK(cluster.Send(0, "echo", "{}", WithId("lost-outcome")).not_run());
  LONGS_EQUAL(1, TotalExecutions(*target));
}

// After the loss of its owner, a target moves to another instance. The new
// owner must count the requests that still run there, or it sends more requests
// than the target has slots.
TEST(RequestPath, ANewOwnerInheritsWhatStillRuns) {
  TestCluster cluster(2);
  StandInTarget* target =
      cluster.AddTarget({.slots = 1, .connections = 1}, {0, 1});
  std::thread slow([&cluster] {
    cluster.Send(0, "echo", R"({"sleep_ms":1500})", idempotent_headers);
  });
  CHECK(WaitUntil([target] { return !target->executions().empty(); }));
  cluster.request_service(0).BeginDrain();
  CHECK(WaitUntil([target] { return target->owner() == 1; }));
  const TestCluster::Response response =
      cluster.Send(1, "echo", "{}",
                   {{kIdempotentHeader, "true"}, {kTimeoutHeader, "30000"}});
  slow.join();
  LONGS_EQUAL(200, response.status);
  LONGS_EQUAL(1, target->peak_requests());
  LONGS_EQUAL(2, TotalExecutions(*target));
}

// A planned stop of an instance must not abort requests in progress.
TEST(RequestPath, APlannedStopFinishesWhatRuns) {
  TestCluster cluster(2);
  StandInTarget* target = cluster.AddTarget({}, {0, 1});
  TestCluster::Response response;
  std::thread slow([&cluster, &response] {
    response =
        cluster.Send(0, "echo", R"({"sleep_ms":1000,"x":1})", WithId("a"));
  });
  CHECK(WaitUntil([target] { return !target->executions().empty(); }));
  cluster.request_service(0).BeginDrain();
  CHECK(cluster.request_service(0).WaitForIdle(
      std::chrono::steady_clock::now() + std::chrono::seconds(30)));
  CHECK(cluster.Send(0, "echo", "{}", WithId("b")).not_run());
  cluster.request_service(0).Stop(std::chrono::steady_clock::now());
  slow.join();
  LONGS_EQUAL(200, response.status);
  CHECK(cluster.FindClaim("a")->state == ClaimState::kCompleted);
}

// A target that operators have drained must receive no requests.
TEST(RequestPath, DrainedTargetsGetNothing) {
  TestCluster cluster(1);
  StandInTarget* target = cluster.AddTarget({}, {0});
  cluster.Apply(
      SetDrained{"c1", ResourceKind::kTarget, "target-1", true, "u1"});
  CHECK(WaitUntil([&cluster] {
    return !cluster.request_service(0)
                .table()
                .AcquireTarget("echo", WorkKind::kRequest, "probe")
                .has_value();
  }));
  const TestCluster::Response refused = cluster.Send(
      0, "echo", "{}", {{kIdempotentHeader, "true"}, {kTimeoutHeader, "200"}});
  CHECK(refused.not_run());
  LONGS_EQUAL(0, TotalExecutions(*target));
}

// A request state must name the instances that did not respond: any of them may
// have run the request.
TEST(RequestPath, RequestStatesNameThePeersThatDidNotAnswer) {
  TestCluster cluster(2);
  cluster.AddTarget({}, {0});
  cluster.Send(0, "echo", "{}",
               {{kIdempotentHeader, "true"}, {kRequestIdHeader, "known"}});
  const TestCluster::Response seen = cluster.State(1, "known");
  STRCMP_EQUAL("completed", seen.json["state"].get<std::string>().c_str());
  LONGS_EQUAL(404, cluster.State(1, "other").status);
  // Instance i1 refused the request, but an instance that does not respond may
  // have run it.
  cluster.Send(1, "none", "{}",
               {{kIdempotentHeader, "true"},
                {kTimeoutHeader, "100"},
                {kRequestIdHeader, "refused"}});
  STRCMP_EQUAL(
      "not_run",
      cluster.State(1, "refused").json["state"].get<std::string>().c_str());
  cluster.SetLink(TestCluster::Link::kDown);
  const TestCluster::Response cut = cluster.State(1, "known");
  STRCMP_EQUAL("unknown", cut.json["state"].get<std::string>().c_str());
  CHECK(!cut.json["peers"][0]["answered"].get<bool>());
  STRCMP_EQUAL(
      "unknown",
      cluster.State(1, "refused").json["state"].get<std::string>().c_str());
}

}  // namespace
}  // namespace bramleyrail

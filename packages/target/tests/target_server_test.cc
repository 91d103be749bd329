#include "packages/target/target.h"

#include <thread>

#include "absl/synchronization/notification.h"

// Last, since it redefines `new`.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

Json Announcement(int64_t session, int64_t sequence) {
  return {{"service", "quotes"},  {"port", 1234}, {"session", session},
          {"sequence", sequence}, {"slots", 2},   {"connections", 4}};
}

TEST_GROUP(TargetServer) {
  RoutingTable table{RoutingTable::Options{
      .instance = "a", .failure_domain = "fd1", .region = "south"}};
  TargetServer server{TargetServer::Options{
      .instance = "a", .failure_domain = "fd1", .table = &table}};

  void setup() override {
    CHECK(server.Start().has_value());
  }
  void teardown() override {
    server.Stop();
  }

  Json Post(const std::string& step, const Json& body, int expected_status) {
    httplib::Client client("127.0.0.1", server.port());
    const httplib::Result result =
        client.Post("/v1/targets/t1/" + step, body.dump(), kJsonContentType);
    CHECK(static_cast<bool>(result));
    LONGS_EQUAL(expected_status, result->status);
    return ParseJson(result->body, JsonComments::kRefuse).value();
  }
};

TEST(TargetServer, AnnouncedTargetsRenewAndLeave) {
  LONGS_EQUAL(3'000, Post("announce", Announcement(5, 1), 200)["lease_ms"]);
  CHECK(table.AcquireTarget("quotes", WorkKind::kRequest, "r1").has_value());
  const Json renewal = Post("renew", {{"session", 5}, {"sequence", 2}}, 200);
  CHECK(!renewal["move"].get<bool>());
  Post("leave", {{"session", 5}}, 200);
  CHECK(!table.AcquireTarget("quotes", WorkKind::kRequest, "r1").has_value());
  Post("renew", {{"session", 5}, {"sequence", 3}}, 404);
}

// A late announcement with an old session number must not give the capacity of
// a target to two owners.
TEST(TargetServer, OldSessionNumbersAreRefused) {
  Post("announce", Announcement(5, 1), 200);
  STRCMP_EQUAL("conflict", Post("announce", Announcement(4, 2), 409)["kind"]
                               .get<std::string>()
                               .c_str());
  Post("renew", {{"session", 4}, {"sequence", 3}}, 409);
  Post("leave", {{"session", 5}}, 200);
  Post("announce", Announcement(5, 4), 409);
}

TEST(TargetServer, EveryFaultOfAnAnnouncementIsReported) {
  Json body = Announcement(5, 1);
  body["slots"] = 0;
  body["colour"] = "red";
  body["failure_domain"] = "fd2";
  body["host"] = "target.example";
  LONGS_EQUAL(4, Post("announce", body, 400)["faults"].size());
}

// An instance that is stopping must get neither new work nor new targets.
TEST(TargetServer, AStoppingInstanceTellsTargetsToMove) {
  Post("announce", Announcement(5, 1), 200);
  server.BeginDrain();
  CHECK(Post("renew", {{"session", 5}, {"sequence", 2}}, 200)["move"]
            .get<bool>());
  CHECK(!table.AcquireTarget("quotes", WorkKind::kRequest, "r1").has_value());
  STRCMP_EQUAL("unavailable", Post("announce", Announcement(6, 3), 503)["kind"]
                                  .get<std::string>()
                                  .c_str());
}

TEST_GROUP(HttpServer){};

// When all threads are busy, a request must neither wait without limit nor be
// dropped without a response.
TEST(HttpServer, AFullPoolAnswersNotRun) {
  absl::Notification started;
  absl::Notification release;
  HttpServer server({.name = "test", .maximum_threads = 1, .maximum_queue = 0});
  server.Post("/work",
              [&](const httplib::Request&, httplib::Response& response) {
                if (!started.HasBeenNotified()) {
                  started.Notify();
                }
                release.WaitForNotification();
                response.status = 200;
              });
  CHECK(server.Start().has_value());
  std::thread busy([&server] {
    httplib::Client client("127.0.0.1", server.port());
    client.set_read_timeout(60);
    client.Post("/work", "{}", kJsonContentType);
  });
  started.WaitForNotification();
  httplib::Client client("127.0.0.1", server.port());
  const httplib::Result refused = client.Post("/work", "{}", kJsonContentType);
  release.Notify();
  busy.join();
  CHECK(static_cast<bool>(refused));
  LONGS_EQUAL(503, refused->status);
  const Json json = ParseJson(refused->body, JsonComments::kRefuse).value();
  CHECK(json["not_run"].get<bool>());
  LONGS_EQUAL(1, server.refusals());
  server.Stop();
}

// An error response without a body that a handler forwards from a target must
// not be replaced by the server's own "not run" error.
TEST(HttpServer, EmptyErrorResponsesOfHandlersAreKept) {
  HttpServer server({.name = "test"});
  server.Post("/work",
              [](const httplib::Request&, httplib::Response& response) {
                response.status = 500;
              });
  CHECK(server.Start().has_value());
  httplib::Client client("127.0.0.1", server.port());
  const httplib::Result response = client.Post("/work", "{}", kJsonContentType);
  LONGS_EQUAL(500, response->status);
  STRCMP_EQUAL("", response->body.c_str());
  const httplib::Result unknown = client.Post("/other", "{}", kJsonContentType);
  LONGS_EQUAL(404, unknown->status);
  CHECK(unknown->body.find("\"not_run\":true") != std::string::npos);
  server.Stop();
}

}  // namespace
}  // namespace bramleyrail

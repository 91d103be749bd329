#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

#include "packages/bramleyctl/fakes/command_run.h"
#include "packages/bramleyctl/fakes/fake_operator_server.h"

// Redefines new, so it comes after every other header.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

using Answer = FakeOperatorServer::Answer;

constexpr const char* kDone = R"({"revision": 9, "changed": 1})";

TEST_GROUP(Change) {
  CommandRun run;
  const std::filesystem::path folder =
      std::filesystem::temp_directory_path() / ("ctl-" + NewUniqueId());

  void setup() override {
    std::filesystem::create_directories(folder / "teams");
    run.options.file = folder.string();
    run.options.time_limit = Milliseconds(2000);
  }
  void teardown() override {
    std::filesystem::remove_all(folder);
  }

  void Write(const std::string& file, const std::string& text) {
    std::ofstream(folder / file) << text;
  }
  void WriteValidFolder() {
    Write("domains.json",
          R"([{"kind": "failure_domain", "name": "south-1",
               "spec": {"region": "south"}}])");
    Write("teams/cutting.jsonc", R"({
      // Agreed in March.
      "kind": "team", "name": "cutting",
      "spec": {"quota": {"processor_millis": 1000, "memory_mib": 512}}})");
    Write("readme.txt", "no declaration");
  }
  // The body of a request as the server saw it.
  Json BodyOf(const std::string& request) {
    return Json::parse(request.substr(request.find('{')));
  }
};

// Guards against a folder that is applied in part, and against faults that
// are found one at a time.
TEST(Change, FaultyFolderIsRefusedWholeWithEveryFault) {
  FakeOperatorServer server({});
  run.options.servers = server.address();
  WriteValidFolder();
  Write("a.json", R"([{"kind": "tram", "name": "x", "spec": {}},
      {"kind": "team", "name": "B!", "spec": {"colour": 1}}])");
  Write("b.json", "{");
  Write("c.json", R"({"kind": "failure_domain", "name": "south-1",
                      "spec": {"region": "south"}})");
  LONGS_EQUAL(1, run.Run({"apply"}));
  const std::string text = run.messages.str();
  for (const char* part :
       {"a.json: [0].kind:", "a.json: [1].name:", "a.json: [1].spec.quota:",
        "a.json: [1].spec.colour:", "b.json: the text is not valid JSON",
        "domains.json: [0].name: is declared in "}) {
    CHECK_TEXT(text.find(part) != std::string::npos, (part + text).c_str());
  }
  LONGS_EQUAL(0, server.requests().size());
}

// Guards against faults of the server that name a position in the request,
// which the operator never sees.
TEST(Change, FaultsOfTheServerAreLocatedInTheFiles) {
  FakeOperatorServer server(
      {ErrorAnswer(400, ErrorKind::kInvalidArgument,
                   {{"declarations[0].spec.region", "is taken"},
                    {"declarations[1].spec.quota", "is too large"}})});
  run.options.servers = server.address();
  WriteValidFolder();
  LONGS_EQUAL(1, run.Run({"apply"}));
  const std::string text = run.messages.str();
  CHECK(text.find("domains.json: [0].spec.region: is taken") !=
        std::string::npos);
  CHECK(text.find("cutting.jsonc: spec.quota: is too large") !=
        std::string::npos);
}

TEST(Change, DryRunShowsTheDifference) {
  FakeOperatorServer server({{200, R"({"revision": 9, "dry_run": true,
    "changed": 2, "differences": [
      {"kind": "failure_domain", "name": "south-1", "action": "none"},
      {"kind": "team", "name": "cutting", "action": "change", "fields": [
        {"path": "spec.quota.memory_mib", "before": 1024, "after": 512},
        {"path": "spec.weight", "before": 2}]},
      {"kind": "team", "name": "sewing", "action": "create", "fields": [
        {"path": "spec.weight", "after": 3}]}]})"}});
  run.options.servers = server.address();
  run.options.dry_run = true;
  WriteValidFolder();
  LONGS_EQUAL(0, run.Run({"apply"}));
  STRCMP_EQUAL(
      "~ team/cutting\n"
      "    ~ spec.quota.memory_mib: 1024 -> 512\n"
      "    - spec.weight: 2\n"
      "+ team/sewing\n"
      "    + spec.weight: 3\n"
      "dry run: 1 to create, 1 to change, 1 unchanged; nothing was done\n",
      run.out.str().c_str());
  const Json body = BodyOf(server.requests().at(0));
  CHECK(body["dry_run"] == true);
  LONGS_EQUAL(2, body["declarations"].size());
}

// Guards against a change that is made twice because it was sent again under
// another id.
TEST(Change, ChangeIdIsKeptAcrossServers) {
  FakeOperatorServer full({ErrorAnswer(503, ErrorKind::kUnavailable, {})});
  FakeOperatorServer cutting({{200, "{", true}});
  FakeOperatorServer working({{200, kDone}});
  run.options.servers = full.address() + "," + cutting.address() +
                        ",127.0.0.1:1," + working.address();
  LONGS_EQUAL(0, run.Run({"drain", "failure-domain", "south-1"}));
  STRCMP_EQUAL("drained failure_domain/south-1, revision 9\n",
               run.out.str().c_str());
  STRCMP_EQUAL(full.requests().at(0).c_str(), working.requests().at(0).c_str());
  STRCMP_EQUAL(cutting.requests().at(0).c_str(),
               working.requests().at(0).c_str());
  CHECK(BodyOf(working.requests().at(0))["change_id"].is_string());
}

// Guards against an instance that went silent and uses up the time of all.
TEST(Change, SilentServerLeavesTimeForTheOthers) {
  // The system accepts connections to a listening socket that nobody serves.
  const int silent = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  auto* native = reinterpret_cast<sockaddr*>(&address);
  CHECK(bind(silent, native, length) == 0 && listen(silent, 8) == 0 &&
        getsockname(silent, native, &length) == 0);
  FakeOperatorServer working({{200, kDone}});
  run.options.servers = "127.0.0.1:" + std::to_string(ntohs(address.sin_port)) +
                        "," + working.address();
  LONGS_EQUAL(0, run.Run({"undrain", "worker", "w1"}));
  close(silent);
}

// Guards against a change that is reported as not made because the last
// server refused it, although an earlier one may have made it.
TEST(Change, LostAnswerIsNeverReportedAsNotMade) {
  FakeOperatorServer cutting({{200, "{", true}});
  run.options.servers = cutting.address() + ",127.0.0.1:1";
  run.options.time_limit = Milliseconds(100);
  run.options.change_id = "c-1";
  LONGS_EQUAL(5, run.Run({"cancel", "night-plans"}));
  CHECK(run.messages.str().starts_with("outcome_unknown: "));
  CHECK(run.messages.str().find("--change_id=c-1") != std::string::npos);
}

// Guards against scripts that cannot tell the outcomes apart.
TEST(Change, ExitCodesFollowTheKindOfTheError) {
  Answer conflict = ErrorAnswer(409, ErrorKind::kConflict, {});
  Json body = Json::parse(conflict.body);
  body["current"] = {
      {{"kind", "team"}, {"name", "a"}, {"uid", "u"}, {"revision", 7}}};
  conflict.body = body.dump();
  FakeOperatorServer server(
      {conflict,
       ErrorAnswer(404, ErrorKind::kNotFound, {}),
       ErrorAnswer(422, ErrorKind::kFailedPrecondition, {}),
       {200, kDone}});
  run.options.servers = server.address();
  run.options.change_id = "c-2";
  run.options.expected_uid = "u/1";
  run.options.expected_revision = 6;
  const std::vector<std::string> words = {"delete", "team", "a"};
  LONGS_EQUAL(4, run.Run(words));
  CHECK(run.messages.str().find("now: team/a uid u revision 7") !=
        std::string::npos);
  LONGS_EQUAL(3, run.Run(words));
  LONGS_EQUAL(1, run.Run(words));
  LONGS_EQUAL(0, run.Run(words));
  STRCMP_EQUAL(
      "DELETE /v1/resources/team/a?change_id=c-2&expected_uid=u%2F1"
      "&expected_revision=6 ",
      server.requests().at(0).c_str());
}

// Guards against ids that change the path of a request.
TEST(Change, ExplainTellsRequestsFromTasksAndEncodesIds) {
  FakeOperatorServer server({{200, "{}"}, {200, "{}"}});
  run.options.servers = server.address();
  LONGS_EQUAL(0, run.Run({"explain", "r?1"}));
  LONGS_EQUAL(0, run.Run({"explain", "0f3c/7"}));
  STRCMP_EQUAL("GET /v1/explain/requests/r%3F1 ",
               server.requests().at(0).c_str());
  STRCMP_EQUAL("GET /v1/explain/tasks/0f3c/7 ",
               server.requests().at(1).c_str());
}

}  // namespace
}  // namespace bramleyrail

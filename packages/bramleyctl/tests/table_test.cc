#include "packages/bramleyctl/table.h"

#include <string>

#include "packages/bramleyctl/fakes/command_run.h"
#include "packages/bramleyctl/fakes/fake_operator_server.h"

// Redefines new, so it comes after every other header.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

TEST_GROUP(Table) {
  CommandRun run;
};

// Guards against text of a declaration that controls the reader's terminal.
TEST(Table, CellsShowValuesForPeople) {
  STRCMP_EQUAL("-", CellText(Json()).c_str());
  STRCMP_EQUAL("-", CellText(Json::array()).c_str());
  STRCMP_EQUAL("yes", CellText(true).c_str());
  STRCMP_EQUAL("a,b", CellText(Json::array({"a", "b"})).c_str());
  STRCMP_EQUAL("line [31m", CellText("line\x1b[31m").c_str());
  STRCMP_EQUAL(
      "4000m 8192MiB 0acc",
      CellText({{"processor_millis", 4000}, {"memory_mib", 8192}}).c_str());
}

TEST(Table, FieldsOfAnObjectComeOneBelowTheOther) {
  const Json object = {{"name", "w1"},
                       {"spec", {{"rack", "r1"}}},
                       {"live", Json::array({{{"slots", 8}}})}};
  STRCMP_EQUAL(
      "FIELD          VALUE\n"
      "name           w1\n"
      "spec.rack      r1\n"
      "live[0].slots  8\n",
      FlatText(object).c_str());
}

// Guards against an instance that lags and cannot be told from the others.
TEST(Table, StatusShowsLeaderLagAndRevision) {
  FakeOperatorServer server({{200, R"({"instances": [
          {"name": "entry-1", "reachable": true, "role": "leader",
           "leader": "entry-1", "term": 7, "applied_index": 4711,
           "configuration_revision": 4690},
          {"name": "entry-2", "reachable": false, "role": "follower",
           "applied_index": 4700, "configuration_revision": 4600,
           "fault": "no contact"}]})"}});
  run.options.servers = server.address();
  LONGS_EQUAL(0, run.Run({"status"}));
  STRCMP_EQUAL(
      "NAME     FAILURE_DOMAIN  REACHABLE  ROLE      LEADER   TERM  APPLIED  "
      "BEHIND  CONFIGURATION  STATE_AGE_MS  CONTACT_MS_AGO  FAULT\n"
      "entry-1  -               yes        leader    entry-1  7     4711     "
      "0       4690           -             -               -\n"
      "entry-2  -               no         follower  -        -     4700     "
      "11      4600           -             -               no contact\n",
      run.out.str().c_str());
}

// Guards against an account whose tasks wait and that operators cannot find.
TEST(Table, AccountsShowLimitUseAndWaits) {
  FakeOperatorServer server({{200, R"({"version": 3, "accounts": [
      {"name": "a", "priority": 1, "weight": 12, "keys": 2,
       "limit": {"processor_millis": 5000, "memory_mib": 0, "accelerators": 0},
       "used": {"processor_millis": 4000, "memory_mib": 9, "accelerators": 0},
       "share": 0.25, "waiting_for_limit": 7, "waiting_for_share": 8,
       "waiting_for_room": 9}]})"}});
  run.options.servers = server.address();
  LONGS_EQUAL(0, run.Run({"accounts"}));
  STRCMP_EQUAL(
      "NAME  PRIORITY  WEIGHT  KEYS  LIMIT            USED             SHARE  "
      "FOR_LIMIT  FOR_SHARE  FOR_ROOM\n"
      "a     1         12      2     5000m 0MiB 0acc  4000m 9MiB 0acc  0.25   "
      "7          8          9\n",
      run.out.str().c_str());
  STRCMP_EQUAL("GET /v1/accounts ", server.requests().back().c_str());
}

// Guards against lists that end after the first page.
TEST(Table, ListReadsAllPages) {
  FakeOperatorServer server(
      {{200, R"({"revision": 5, "resources": [{"name": "a"}], "next": "a"})"},
       {200, R"({"revision": 6, "resources": [{"name": "b"}]})"}});
  run.options.servers = server.address();
  LONGS_EQUAL(0, run.Run({"list", "failure-domain"}));
  CHECK(run.out.str().find("\na ") != std::string::npos);
  CHECK(run.out.str().find("\nb ") != std::string::npos);
  STRCMP_EQUAL("GET /v1/resources/failure_domain?limit=1000&after=a ",
               server.requests().back().c_str());
}

// Guards against programs that have to read text for people.
TEST(Table, JsonOutputIsTheAnswerAndErrorsAreJson) {
  FakeOperatorServer server(
      {{200, R"({"name": "a"})"}, ErrorAnswer(404, ErrorKind::kNotFound, {})});
  run.options.servers = server.address();
  run.options.output = "json";
  LONGS_EQUAL(0, run.Run({"get", "team", "a"}));
  CHECK(Json::parse(run.out.str()) == Json({{"name", "a"}}));
  LONGS_EQUAL(3, run.Run({"get", "team", "b"}));
  STRCMP_EQUAL("not_found", Json::parse(run.messages.str())["error"]["kind"]
                                .get<std::string>()
                                .c_str());
}

}  // namespace
}  // namespace bramleyrail

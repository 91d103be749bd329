#include <string>
#include <vector>

#include "packages/bramleyctl/fakes/command_run.h"
#include "packages/bramleyctl/fakes/fake_operator_server.h"
#include "packages/bramleyctl/watch_cursor.h"

// Redefines new, so it comes after every other header.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

std::string Change(int revision, const std::string& name) {
  const Json line = {{"type", "changed"},
                     {"revision", revision},
                     {"resource", {{"kind", "team"}, {"name", name}}}};
  return line.dump() + "\n";
}

std::string Mark(const std::string& type, int revision) {
  return Json({{"type", type}, {"revision", revision}}).dump() + "\n";
}

TEST_GROUP(Watch) {
  CommandRun run;

  // The names in the lines that were shown, in order.
  std::string ShownNames() {
    std::istringstream lines(run.out.str());
    std::string names;
    for (std::string line; std::getline(lines, line);) {
      names += Json::parse(line)["resource"]["name"].get<std::string>() + " ";
    }
    return names;
  }
};

// Guards against changes that are lost or shown twice when a connection breaks
// between two lines of one revision.
TEST(Watch, CursorResumesInTheMiddleOfARevision) {
  WatchCursor cursor(10);
  const std::vector<std::string> revisions_11_to_12 = {
      Change(11, "a"), Change(12, "b"), Change(12, "c"), Change(12, "d")};
  const auto step = [&cursor](const std::string& line) {
    return cursor.Handle(Json::parse(line)).value();
  };
  cursor.StartStream();
  for (int i = 0; i < 3; ++i) {
    CHECK(step(revisions_11_to_12[i]) == WatchCursor::Step::kShow);
  }
  LONGS_EQUAL(11, cursor.resume_revision());
  // The next connection is lost even earlier.
  cursor.StartStream();
  CHECK(step(Change(12, "b")) == WatchCursor::Step::kContinue);
  cursor.StartStream();
  CHECK(step(Mark("heartbeat", 9)) == WatchCursor::Step::kContinue);
  LONGS_EQUAL(11, cursor.resume_revision());
  CHECK(step(Change(12, "b")) == WatchCursor::Step::kContinue);
  CHECK(step(Change(12, "c")) == WatchCursor::Step::kContinue);
  CHECK(step(Change(12, "d")) == WatchCursor::Step::kShow);
  CHECK(step(Mark("heartbeat", 12)) == WatchCursor::Step::kContinue);
  LONGS_EQUAL(12, cursor.resume_revision());
  CHECK(cursor.Handle(Json::parse("{}")).has_error());
}

// Guards against a watch that ends with a connection, or that starts again at
// the present and misses what happened meanwhile.
TEST(Watch, ResumesAtOtherServersAfterCutAndEnd) {
  FakeOperatorServer first(
      {{200, R"({"revision": 10, "resources": []})"},
       {200, Change(11, "a") + Change(12, "b") + R"({"type": "cha)", true},
       {200, Mark("end", 14)}});
  FakeOperatorServer second(
      {{200, Change(12, "b") + Change(12, "c") + Change(13, "d"), true},
       ErrorAnswer(503, ErrorKind::kUnavailable, {}),
       ErrorAnswer(400, ErrorKind::kInvalidArgument, {})});
  run.options.servers = first.address() + "," + second.address();
  run.options.output = "json";
  run.options.kinds = "team";
  // The scripted refusal of the last connection ends the command.
  LONGS_EQUAL(1, run.Run({"watch"}));
  STRCMP_EQUAL("a b c d ", ShownNames().c_str());
  const std::string path = "GET /v1/watch?after_revision=";
  STRCMP_EQUAL((path + "10&kind=team ").c_str(),
               first.requests().at(1).c_str());
  STRCMP_EQUAL((path + "11&kind=team ").c_str(),
               second.requests().at(0).c_str());
  STRCMP_EQUAL((path + "12&kind=team ").c_str(),
               first.requests().at(2).c_str());
  STRCMP_EQUAL((path + "14&kind=team ").c_str(),
               second.requests().at(1).c_str());
}

// Guards against a reader that believes to be up to date after the history it
// missed was dropped.
TEST(Watch, CompactedHistoryIsReplacedByAList) {
  FakeOperatorServer server(
      {ErrorAnswer(410, ErrorKind::kCompacted, {}),
       {200, R"({"revision": 900, "resources": [
                 {"kind": "team", "name": "listed"}]})"},
       {200, Change(901, "next"), true},
       ErrorAnswer(400, ErrorKind::kInvalidArgument, {})});
  run.options.servers = server.address();
  run.options.output = "json";
  run.options.kinds = "team";
  run.options.after_revision = 3;
  LONGS_EQUAL(1, run.Run({"watch"}));
  STRCMP_EQUAL("listed next ", ShownNames().c_str());
  STRCMP_EQUAL("GET /v1/watch?after_revision=900&kind=team ",
               server.requests().at(2).c_str());
}

// Guards against a watch that never tells that there is no server.
TEST(Watch, WithoutAnyServerItIsUnavailable) {
  run.options.servers = "127.0.0.1:1";
  run.options.time_limit = Milliseconds(1);
  run.options.after_revision = 3;
  LONGS_EQUAL(5, run.Run({"watch"}));
}

}  // namespace
}  // namespace bramleyrail

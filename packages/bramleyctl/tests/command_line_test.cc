#include <string>
#include <vector>

#include "packages/bramleyctl/command_table.h"
#include "packages/bramleyctl/fakes/command_run.h"

// Redefines new, so it comes after every other header.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

TEST_GROUP(CommandLine) {
  CommandRun run;

  void setup() override {
    // No server listens on the port: a command that is tried anyway ends with
    // another exit code.
    run.options.servers = "127.0.0.1:1";
    run.options.time_limit = Milliseconds(1);
  }
};

// Guards against faulty command lines that reach a server or look like
// failures of the system to a script.
TEST(CommandLine, WrongUsageHasItsOwnExitCode) {
  const std::vector<std::vector<std::string>> lines = {
      {},         {"frobnicate"},       {"get", "team"},
      {"list"},   {"get", "tram", "x"}, {"status", "now"},
      {"cancel"}, {"drain", "worker"},  {"apply"}};
  for (const std::vector<std::string>& words : lines) {
    LONGS_EQUAL(2, run.Run(words));
  }
  CHECK(run.out.str().empty());
  CHECK(!run.messages.str().empty());
}

// Guards against flags that are ignored, such as --dry_run of a command that
// knows no dry run.
TEST(CommandLine, FaultyFlagsAreWrongUsage) {
  const CommandOptions valid = run.options;
  LONGS_EQUAL(5, run.Run({"status"}));
  run.options.given = {"dry_run"};
  LONGS_EQUAL(2, run.Run({"drain", "worker", "w1"}));
  run.options = valid;
  run.options.given = {"after_revision"};  // Given, but below 0.
  LONGS_EQUAL(2, run.Run({"watch"}));
  run.options = valid;
  run.options.output = "yaml";
  LONGS_EQUAL(2, run.Run({"status"}));
  run.options = valid;
  run.options.change_id = "a/b";
  LONGS_EQUAL(2, run.Run({"cancel", "job"}));
  run.options = valid;
  run.options.kinds = "service,tram";
  LONGS_EQUAL(2, run.Run({"watch"}));
  for (const char* servers : {"", "entry", "entry:0", "entry:x", "a:1,"}) {
    run.options = valid;
    run.options.servers = servers;
    LONGS_EQUAL(2, run.Run({"status"}));
  }
}

// Guards against commands without help.
TEST(CommandLine, EveryCommandHasHelp) {
  run.options.help = true;
  LONGS_EQUAL(0, run.Run({}));
  for (const CommandDefinition& command : Commands()) {
    CHECK(run.out.str().find(command.summary) != std::string::npos);
    LONGS_EQUAL(0, run.Run({std::string(command.name)}));
    for (const std::string_view flag : command.flags) {
      CHECK(HelpOf(command).find(flag) != std::string::npos);
    }
  }
  CHECK(run.messages.str().empty());
}

}  // namespace
}  // namespace bramleyrail

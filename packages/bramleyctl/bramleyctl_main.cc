#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "packages/bramleyctl/bramleyctl.h"

DEFINE_string(servers, "", "operator ports, HOST:PORT,HOST:PORT");
DEFINE_string(watch_servers, "", "watch ports; default: those of --servers");
DEFINE_string(output, "table", "table or json");
DEFINE_string(f, "", "file or folder of declarations");
DEFINE_bool(dry_run, false, "show the difference and change nothing");
DEFINE_int64(after_revision, -1, "revision after which a watch starts");
DEFINE_string(kinds, "", "kinds to watch, separated by commas");
DEFINE_string(change_id, "", "id of the change, to send it again");
DEFINE_string(expected_uid, "", "delete only this uid");
DEFINE_int64(expected_revision, -1, "delete only at this revision");
DEFINE_int64(timeout_ms,
             bramleyrail::kDefaultTimeLimit.count(),
             "time for one answer, over all servers");
DECLARE_bool(help);

// Hook that gflags calls after it has reported a faulty command line; exported
// by the library without a declaration in its header.
namespace GFLAGS_NAMESPACE {
extern void (*gflags_exitfunc)(int);
}  // namespace GFLAGS_NAMESPACE

namespace {

void ExitForWrongUsage(int /*code*/) {
  std::exit(static_cast<int>(bramleyrail::ExitCode::kWrongUsage));
}

std::optional<int64_t> NumberIfGiven(int64_t number) {
  return number < 0 ? std::nullopt : std::optional(number);
}

std::set<std::string> GivenFlags() {
  std::vector<gflags::CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  std::set<std::string> given;
  for (const gflags::CommandLineFlagInfo& flag : flags) {
    if (!flag.is_default) {
      given.insert(flag.name);
    }
  }
  return given;
}

bramleyrail::CommandOptions ReadOptions() {
  bramleyrail::CommandOptions options;
  options.servers = FLAGS_servers;
  options.watch_servers = FLAGS_watch_servers;
  options.output = FLAGS_output;
  options.file = FLAGS_f;
  options.dry_run = FLAGS_dry_run;
  options.after_revision = NumberIfGiven(FLAGS_after_revision);
  options.kinds = FLAGS_kinds;
  options.change_id = FLAGS_change_id;
  options.expected_uid = FLAGS_expected_uid;
  options.expected_revision = NumberIfGiven(FLAGS_expected_revision);
  options.time_limit = bramleyrail::Milliseconds(FLAGS_timeout_ms);
  options.help = FLAGS_help;
  options.given = GivenFlags();
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  GFLAGS_NAMESPACE::gflags_exitfunc = ExitForWrongUsage;
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  const std::vector<std::string> words(argv + 1, argv + argc);
  const bramleyrail::ExitCode code =
      bramleyrail::RunBramleyctl(ReadOptions(), words, std::cout, std::cerr);
  return static_cast<int>(code);
}

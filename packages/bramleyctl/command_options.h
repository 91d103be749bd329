#ifndef PACKAGES_BRAMLEYCTL_COMMAND_OPTIONS_H_
#define PACKAGES_BRAMLEYCTL_COMMAND_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "packages/base/base.h"

namespace bramleyrail {

// Time for one answer over all servers; longer than an election of a leader.
inline constexpr Milliseconds kDefaultTimeLimit{15'000};

// The flags of a command line.
struct CommandOptions {
  std::string servers;        // "host:port,host:port", operator ports.
  std::string watch_servers;  // The same for watch ports; empty: `servers`.
  std::string output = "table";
  std::string file;  // -f
  bool dry_run = false;
  std::optional<int64_t> after_revision;
  std::string kinds;      // Of a watch, separated by commas; empty: all.
  std::string change_id;  // Empty: a new one.
  std::string expected_uid;
  std::optional<int64_t> expected_revision;
  Milliseconds time_limit = kDefaultTimeLimit;
  bool help = false;
  // Names of the flags on the command line, to refuse those that the command
  // does not know.
  std::set<std::string> given;
};

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYCTL_COMMAND_OPTIONS_H_

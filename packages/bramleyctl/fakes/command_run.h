#ifndef PACKAGES_BRAMLEYCTL_FAKES_COMMAND_RUN_H_
#define PACKAGES_BRAMLEYCTL_FAKES_COMMAND_RUN_H_

#include <sstream>
#include <string>
#include <vector>

#include "packages/bramleyctl/bramleyctl.h"

namespace bramleyrail {

// One run of the command with what it wrote.
struct CommandRun {
  CommandOptions options;
  std::ostringstream out;
  std::ostringstream messages;

  int Run(const std::vector<std::string>& words) {
    return static_cast<int>(RunBramleyctl(options, words, out, messages));
  }
};

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYCTL_FAKES_COMMAND_RUN_H_

#ifndef PACKAGES_BRAMLEYCTL_BRAMLEYCTL_H_
#define PACKAGES_BRAMLEYCTL_BRAMLEYCTL_H_

// Public header of the bramleyctl package: the operators' command as a
// library, without the reading of flags.

#include <ostream>
#include <string>
#include <vector>

#include "packages/bramleyctl/command_options.h"
#include "packages/bramleyctl/exit_code.h"

namespace bramleyrail {

// Runs one command line. `words` are the arguments that are no flags, starting
// with the name of the command. Results go to `out`, everything else to
// `messages`.
ExitCode RunBramleyctl(const CommandOptions& options,
                       const std::vector<std::string>& words,
                       std::ostream& out,
                       std::ostream& messages);

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYCTL_BRAMLEYCTL_H_

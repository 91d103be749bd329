#ifndef PACKAGES_BRAMLEYCTL_COMMAND_CONTEXT_H_
#define PACKAGES_BRAMLEYCTL_COMMAND_CONTEXT_H_

#include <ostream>
#include <string>
#include <vector>

#include "packages/base/base.h"
#include "packages/bramleyctl/command_options.h"
#include "packages/bramleyctl/server_client.h"

namespace bramleyrail {

enum class OutputFormat { kTable, kJson };

// What a command works with. Its arguments have been counted, and the servers
// and the format of the output have been checked.
struct CommandContext {
  const CommandOptions& options;
  const std::vector<std::string>& arguments;  // Without the command's name.
  OutputFormat format = OutputFormat::kTable;
  std::vector<ServerAddress> servers;
  std::vector<ServerAddress> watch_servers;
  ServerClient& client;
  std::ostream& out;
  std::ostream& messages;
};

// A command; an error ends the program with the exit code of its kind.
using CommandFunction = Result<void> (*)(CommandContext& context);

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYCTL_COMMAND_CONTEXT_H_

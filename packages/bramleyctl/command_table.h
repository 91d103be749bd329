#ifndef PACKAGES_BRAMLEYCTL_COMMAND_TABLE_H_
#define PACKAGES_BRAMLEYCTL_COMMAND_TABLE_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "packages/bramleyctl/command_context.h"

namespace bramleyrail {

struct CommandDefinition {
  std::string_view name;
  std::string_view arguments;  // As in the usage.
  size_t argument_count;
  std::string_view summary;
  std::string help;
  std::vector<std::string_view> flags;  // Beside those of every command.
  CommandFunction run;
};

std::span<const CommandDefinition> Commands();
const CommandDefinition* FindCommand(std::string_view name);

// Flags that every command takes.
bool IsCommonFlag(std::string_view name);

std::string OverallHelp();
std::string HelpOf(const CommandDefinition& command);

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYCTL_COMMAND_TABLE_H_

#ifndef PACKAGES_BRAMLEYCTL_COMMANDS_H_
#define PACKAGES_BRAMLEYCTL_COMMANDS_H_

#include <string>
#include <string_view>
#include <vector>

#include "packages/bramleyctl/command_context.h"

namespace bramleyrail {

// The commands of docs/interfaces/operators.md, by name.
Result<void> Apply(CommandContext& context);
Result<void> Get(CommandContext& context);
Result<void> List(CommandContext& context);
Result<void> Delete(CommandContext& context);
Result<void> Watch(CommandContext& context);
Result<void> Drain(CommandContext& context);
Result<void> Undrain(CommandContext& context);
Result<void> Cancel(CommandContext& context);
Result<void> ShowRequest(CommandContext& context);
Result<void> ShowJob(CommandContext& context);
Result<void> ShowStatus(CommandContext& context);
Result<void> Explain(CommandContext& context);
Result<void> ShowAccounts(CommandContext& context);

// Accepts "failure-domain" as well as "failure_domain"; an error lists the
// kinds.
Result<std::string> ReadKind(std::string_view text);
// Reads kinds separated by commas; an empty list means all kinds.
Result<std::vector<std::string>> ReadKinds(std::string_view list);

// The change id of the command line, or a new one.
std::string ChangeIdOf(const CommandOptions& options);

// All resources of a kind over all pages, as {"revision", "resources"}.
Result<Json> ListAll(ServerClient& client, const std::string& kind);

}  // namespace bramleyrail

#endif  // PACKAGES_BRAMLEYCTL_COMMANDS_H_

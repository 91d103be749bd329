#include "packages/bramleyctl/command_table.h"

#include <algorithm>
#include <array>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "packages/bramleyctl/commands.h"

namespace bramleyrail {

namespace {

constexpr std::array<std::string_view, 4> kCommonFlags = {"servers", "output",
                                                          "timeout_ms", "help"};

constexpr std::string_view kCommonHelp =
    "Flags of every command:\n"
    "  --servers=HOST:PORT,...  operator ports, tried in turn (required)\n"
    "  --output=table|json      for people or for programs\n"
    "  --timeout_ms=N           time for one answer over all servers (15000)\n"
    "  --help                   this text, or that of the command\n"
    "\n"
    "Exit codes: 0 success, 1 refused or failed, 2 wrong usage, 3 not found,\n"
    "4 conflict, 5 unavailable or outcome unknown.\n";

constexpr std::string_view kKindHelp =
    "KIND is service, batch_job, team, failure_domain, rack, worker or "
    "target.\n";

constexpr std::string_view kChangeIdHelp =
    "  --change_id=ID           send a change again whose outcome is unknown\n";

std::string KindHelp(std::string_view text) {
  return std::string(text) + std::string(kKindHelp);
}

std::string ChangeHelp(std::string_view text) {
  return std::string(text) + "\n" + std::string(kChangeIdHelp);
}

const std::vector<CommandDefinition>& Definitions() {
  static const std::vector<CommandDefinition> definitions = {
      {"apply",
       "-f PATH",
       0,
       "create or change resources as declared",
       ChangeHelp(
           "Applies a file, or all files *.json and *.jsonc below a folder,\n"
           "whole or not at all. A file holds one declaration, an array, or\n"
           "{\"declarations\": [...]}; comments are allowed. Applying the "
           "same\n"
           "declarations again changes nothing.\n"
           "\n"
           "  -f PATH                  file or folder\n"
           "  --dry_run                show the difference, change nothing\n"),
       {"f", "dry_run", "change_id"},
       Apply},
      {"get", "KIND NAME", 2, "show one resource", KindHelp(""), {}, Get},
      {"list",
       "KIND",
       1,
       "list the resources of a kind",
       KindHelp(""),
       {},
       List},
      {"delete",
       "KIND NAME",
       2,
       "delete a resource",
       ChangeHelp(
           "Deleting a worker confirms that it is off: all its attempts\n"
           "end at once and are placed again.\n"
           "\n"
           "  --expected_uid=UID       delete only this uid\n"
           "  --expected_revision=N    delete only at this revision\n") +
           "\n" + std::string(kKindHelp),
       {"change_id", "expected_uid", "expected_revision"},
       Delete},
      {"watch",
       "",
       0,
       "show changes as they happen",
       "Resumes by itself, at another server when there are several, and "
       "shows\n"
       "each change once. When the history no longer reaches back, all\n"
       "resources are listed first.\n"
       "\n"
       "  --watch_servers=HOST:PORT,...  watch ports (default: --servers)\n"
       "  --after_revision=N       start after this revision (default: now)\n"
       "  --kinds=KIND,KIND        watch only these kinds\n",
       {"watch_servers", "after_revision", "kinds"},
       Watch},
      {"drain",
       "KIND NAME",
       2,
       "let nothing new start in a place",
       ChangeHelp("KIND is failure_domain, rack, worker or target. No task\n"
                  "starts there from 2.7 s after the answer.\n"),
       {"change_id"},
       Drain},
      {"undrain",
       "KIND NAME",
       2,
       "undo a drain",
       ChangeHelp("KIND is failure_domain, rack, worker or target.\n"),
       {"change_id"},
       Undrain},
      {"cancel",
       "JOB",
       1,
       "cancel a batch job",
       ChangeHelp(""),
       {"change_id"},
       Cancel},
      {"request", "ID", 1, "show the state of a request", "", {}, ShowRequest},
      {"job",
       "NAME",
       1,
       "show the state of a batch job and its tasks",
       "",
       {},
       ShowJob},
      {"status",
       "",
       0,
       "show who leads, who lags and what is in force",
       "BEHIND is how many log entries an instance has not applied yet.\n"
       "CONFIGURATION is the revision that it has in force.\n",
       {},
       ShowStatus},
      {"explain",
       "ID",
       1,
       "say why a request or task is where it is",
       "ID is a request id, or a task id (OWNER-UID/INDEX).\n",
       {},
       Explain},
      {"accounts",
       "",
       0,
       "show what client accounts use and what their tasks wait for",
       "Asks control instances: --servers names their control addresses.\n"
       "An amount of 0 in LIMIT is not limited. SHARE is the largest share of\n"
       "any resource of the workers that the account uses. FOR_LIMIT,\n"
       "FOR_SHARE and FOR_ROOM are numbers of waiting tasks.\n",
       {},
       ShowAccounts},
  };
  return definitions;
}

}  // namespace

std::span<const CommandDefinition> Commands() {
  return Definitions();
}

const CommandDefinition* FindCommand(std::string_view name) {
  const auto commands = Commands();
  const auto found = std::find_if(
      commands.begin(), commands.end(),
      [name](const auto& command) { return command.name == name; });
  return found == commands.end() ? nullptr : &*found;
}

bool IsCommonFlag(std::string_view name) {
  return std::find(kCommonFlags.begin(), kCommonFlags.end(), name) !=
         kCommonFlags.end();
}

std::string OverallHelp() {
  std::string text =
      "bramleyctl COMMAND ARGUMENTS FLAGS: the command of the operators\n\n";
  for (const CommandDefinition& command : Commands()) {
    const std::string usage =
        std::string(command.name) + " " + std::string(command.arguments);
    absl::StrAppendFormat(&text, "  %-20s %s\n", usage,
                          std::string(command.summary));
  }
  absl::StrAppend(&text, "\n",
                  absl::string_view(kCommonHelp.data(), kCommonHelp.size()));
  return text;
}

std::string HelpOf(const CommandDefinition& command) {
  std::string text = "bramleyctl " + std::string(command.name);
  if (!command.arguments.empty()) {
    text += " " + std::string(command.arguments);
  }
  text += ": " + std::string(command.summary) + "\n\n" + command.help;
  return text + (command.help.empty() ? "" : "\n") + std::string(kCommonHelp);
}

}  // namespace bramleyrail

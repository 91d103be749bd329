#include "packages/bramleyctl/bramleyctl.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "packages/bramleyctl/command_context.h"
#include "packages/bramleyctl/command_table.h"
#include "packages/bramleyctl/commands.h"
#include "packages/bramleyctl/server_client.h"

namespace bramleyrail {

namespace {

Json ErrorToJson(const Error& error) {
  Json faults = Json::array();
  for (const FieldFault& fault : error.faults) {
    faults.push_back({{"path", fault.path}, {"message", fault.message}});
  }
  return {{"error",
           {{"kind", ErrorKindName(error.kind)},
            {"message", error.message},
            {"remedy", error.remedy},
            {"faults", faults}}}};
}

void ShowError(const Error& error,
               const CommandOptions& options,
               std::ostream& messages) {
  if (options.output == "json") {
    messages << ErrorToJson(error).dump(2) << "\n";
    return;
  }
  messages << ErrorKindName(error.kind) << ": " << error.message << "\n";
  for (const FieldFault& fault : error.faults) {
    messages << "  " << fault.path << ": " << fault.message << "\n";
  }
  if (!error.remedy.empty()) {
    messages << error.remedy << "\n";
  }
}

Error UsageError(std::string message, std::string_view command) {
  return MakeError(ErrorKind::kInvalidArgument, std::move(message),
                   "see bramleyctl " + std::string(command) +
                       (command.empty() ? "" : " ") + "--help");
}

// A number below 0 counts as not given, so one that was given is faulty.
bool IsFaultyNumber(const CommandOptions& options,
                    const char* flag,
                    const std::optional<int64_t>& number) {
  return options.given.contains(flag) && !number.has_value();
}

Result<void> CheckUsage(const CommandDefinition& command,
                        const CommandOptions& options,
                        const std::vector<std::string>& arguments) {
  for (const std::string& flag : options.given) {
    const auto& flags = command.flags;
    if (!IsCommonFlag(flag) &&
        std::find(flags.begin(), flags.end(), flag) == flags.end()) {
      return UsageError(std::string(command.name) + " does not take --" + flag,
                        command.name);
    }
  }
  if (arguments.size() != command.argument_count) {
    return UsageError(std::string(command.name) + " takes " +
                          std::to_string(command.argument_count) +
                          " arguments, not " + std::to_string(arguments.size()),
                      command.name);
  }
  if (command.arguments.starts_with("KIND")) {
    TRY(ReadKind(arguments.front()));
  }
  TRY(ReadKinds(options.kinds));
  if (options.output != "table" && options.output != "json") {
    return UsageError("--output is table or json", command.name);
  }
  if (options.time_limit <= Milliseconds(0)) {
    return UsageError("--timeout_ms is a number above 0", command.name);
  }
  if (IsFaultyNumber(options, "after_revision", options.after_revision) ||
      IsFaultyNumber(options, "expected_revision", options.expected_revision)) {
    return UsageError("a revision is not below 0", command.name);
  }
  if (!options.change_id.empty() &&
      ValidateRequestId(options.change_id).has_error()) {
    return UsageError("--change_id is not a valid id", command.name);
  }
  if (command.name == "apply" && options.file.empty()) {
    return UsageError("apply needs -f PATH", command.name);
  }
  return Success();
}

Result<void> Run(const CommandDefinition& command,
                 const CommandOptions& options,
                 const std::vector<std::string>& arguments,
                 const std::vector<ServerAddress>& servers,
                 const std::vector<ServerAddress>& watch_servers,
                 std::ostream& out,
                 std::ostream& messages) {
  ServerClient client(servers, options.time_limit);
  CommandContext context{
      options,
      arguments,
      options.output == "json" ? OutputFormat::kJson : OutputFormat::kTable,
      servers,
      watch_servers,
      client,
      out,
      messages};
  try {
    return command.run(context);
  } catch (const Json::exception& exception) {
    return MakeError(
        ErrorKind::kInternal,
        std::string("the answer has an unexpected shape: ") + exception.what(),
        "check that the server and bramleyctl are of the same version");
  }
}

}  // namespace

ExitCode RunBramleyctl(const CommandOptions& options,
                       const std::vector<std::string>& words,
                       std::ostream& out,
                       std::ostream& messages) {
  if (words.empty()) {
    (options.help ? out : messages) << OverallHelp();
    return options.help ? ExitCode::kSuccess : ExitCode::kWrongUsage;
  }
  const CommandDefinition* command = FindCommand(words.front());
  if (command == nullptr) {
    ShowError(UsageError("there is no command '" + words.front() + "'", ""),
              options, messages);
    return ExitCode::kWrongUsage;
  }
  if (options.help) {
    out << HelpOf(*command);
    return ExitCode::kSuccess;
  }
  const std::vector<std::string> arguments(words.begin() + 1, words.end());
  const Result<void> usage = CheckUsage(*command, options, arguments);
  const auto servers = ParseServers(options.servers);
  const auto watch_servers = ParseServers(
      options.watch_servers.empty() ? options.servers : options.watch_servers);
  for (const Error* error :
       {usage.has_error() ? &usage.error() : nullptr,
        servers.has_error() ? &servers.error() : nullptr,
        watch_servers.has_error() ? &watch_servers.error() : nullptr}) {
    if (error != nullptr) {
      ShowError(*error, options, messages);
      return ExitCode::kWrongUsage;
    }
  }
  const Result<void> outcome =
      Run(*command, options, arguments, servers.value(), watch_servers.value(),
          out, messages);
  if (outcome.has_error()) {
    ShowError(outcome.error(), options, messages);
    return ExitCodeOf(outcome.error().kind);
  }
  return ExitCode::kSuccess;
}

}  // namespace bramleyrail

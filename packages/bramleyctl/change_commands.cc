#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/bramleyctl/commands.h"
#include "packages/bramleyctl/declaration_files.h"
#include "packages/bramleyctl/difference_text.h"

namespace bramleyrail {

namespace {

using Method = ServerClient::Method;

enum class DrainState { kDrained, kUndrained };

// The id that makes a change safe to send again is of use to a person only
// when the outcome is unknown.
Error NameChangeId(Error error, const std::string& change_id) {
  if (error.kind == ErrorKind::kOutcomeUnknown) {
    error.remedy =
        absl::StrCat("run the same command again with --change_id=", change_id);
  }
  return error;
}

Result<Json> SendChange(CommandContext& context,
                        Method method,
                        const std::string& path,
                        const std::string& body,
                        const std::string& change_id) {
  Result<Json> answer = context.client.Send(method, path, body);
  if (answer.has_error()) {
    return NameChangeId(std::move(answer).error(), change_id);
  }
  return answer;
}

void ShowChange(CommandContext& context,
                const Json& answer,
                std::string_view done) {
  if (context.format == OutputFormat::kJson) {
    context.out << answer.dump(2) << "\n";
    return;
  }
  const bool changed = answer.value("changed", int64_t{1}) > 0;
  context.out << (changed ? done : "nothing to change") << ", revision "
              << answer.value("revision", int64_t{0}) << "\n";
}

Result<void> SetDrained(CommandContext& context, DrainState state) {
  TRY(kind, ReadKind(context.arguments[0]));
  const std::string change_id = ChangeIdOf(context.options);
  const Json body = {
      {"change_id", change_id}, {"kind", kind}, {"name", context.arguments[1]}};
  const bool drains = state == DrainState::kDrained;
  TRY(answer,
      SendChange(context, Method::kPost, drains ? "/v1/drain" : "/v1/undrain",
                 body.dump(), change_id));
  ShowChange(context, answer,
             absl::StrCat(drains ? "drained " : "undrained ", kind, "/",
                          context.arguments[1]));
  return Success();
}

}  // namespace

std::string ChangeIdOf(const CommandOptions& options) {
  return options.change_id.empty() ? NewUniqueId() : options.change_id;
}

Result<void> Apply(CommandContext& context) {
  TRY(files, DeclarationFiles::Read(context.options.file));
  const std::string change_id = ChangeIdOf(context.options);
  const bool dry_run = context.options.dry_run;
  const Json body = {{"change_id", change_id},
                     {"dry_run", dry_run},
                     {"declarations", files.declarations()}};
  Result<Json> answer =
      SendChange(context, Method::kPost, "/v1/apply", body.dump(), change_id);
  if (answer.has_error()) {
    return files.LocateFaults(std::move(answer).error());
  }
  if (dry_run && context.format == OutputFormat::kTable) {
    context.out << DifferenceText(answer.value());
    return Success();
  }
  ShowChange(context, answer.value(),
             absl::StrCat(answer.value().value("changed", int64_t{0}), " of ",
                          files.declarations().size(),
                          " declarations changed the configuration"));
  return Success();
}

Result<void> Delete(CommandContext& context) {
  TRY(kind, ReadKind(context.arguments[0]));
  const std::string& name = context.arguments[1];
  const std::string change_id = ChangeIdOf(context.options);
  std::string path =
      absl::StrCat("/v1/resources/", kind, "/", EncodeUrlPart(name),
                   "?change_id=", EncodeUrlPart(change_id));
  if (!context.options.expected_uid.empty()) {
    absl::StrAppend(
        &path, "&expected_uid=", EncodeUrlPart(context.options.expected_uid));
  }
  if (context.options.expected_revision.has_value()) {
    absl::StrAppend(&path,
                    "&expected_revision=", *context.options.expected_revision);
  }
  TRY(answer, SendChange(context, Method::kDelete, path, "", change_id));
  ShowChange(context, answer, absl::StrCat("deleted ", kind, "/", name));
  return Success();
}

Result<void> Drain(CommandContext& context) {
  return SetDrained(context, DrainState::kDrained);
}

Result<void> Undrain(CommandContext& context) {
  return SetDrained(context, DrainState::kUndrained);
}

Result<void> Cancel(CommandContext& context) {
  const std::string& job = context.arguments[0];
  const std::string change_id = ChangeIdOf(context.options);
  const Json body = {{"change_id", change_id}};
  TRY(answer,
      SendChange(context, Method::kPost,
                 absl::StrCat("/v1/jobs/", EncodeUrlPart(job), "/cancel"),
                 body.dump(), change_id));
  ShowChange(context, answer, absl::StrCat("cancelled batch_job/", job));
  return Success();
}

}  // namespace bramleyrail

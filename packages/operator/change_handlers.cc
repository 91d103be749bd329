#include "packages/operator/change_handlers.h"

#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "packages/operator/difference.h"
#include "packages/operator/http_answer.h"
#include "packages/operator/operator_events.h"
#include "packages/operator/resource_status.h"

namespace bramleyrail {

namespace {

using Presence = JsonReader::Presence;

constexpr size_t kMaximumDeclarations = 1'000;

std::string ReadChangeId(JsonReader& reader, Presence presence) {
  const std::optional<std::string> id = reader.String("change_id", presence);
  if (id && !ValidateRequestId(*id)) {
    reader.AddFault("change_id",
                    "must be 1 to 128 printable ASCII characters without "
                    "spaces and without '/'");
  }
  return id.value_or("");
}

Error InvalidRequest(std::vector<FieldFault> faults) {
  return MakeInvalidArgument("the request is not valid", std::move(faults));
}

struct ApplyRequest {
  ApplyResources command;
  bool dry_run = false;
};

Result<ApplyRequest> ReadApply(const std::string& text) {
  TRY(json, ParseJson(text, JsonComments::kRefuse));
  std::vector<FieldFault> faults;
  JsonReader reader(json, "", &faults);
  ApplyRequest apply;
  apply.dry_run =
      reader.Boolean("dry_run", Presence::kOptional).value_or(false);
  apply.command.change_id = ReadChangeId(
      reader, apply.dry_run ? Presence::kOptional : Presence::kRequired);
  const Json* declarations = reader.Array("declarations", Presence::kRequired);
  reader.RefuseUnknownFields();
  if (declarations != nullptr && declarations->size() > kMaximumDeclarations) {
    reader.AddFault("declarations",
                    absl::StrCat("must be at most ", kMaximumDeclarations));
    declarations = nullptr;
  }
  for (size_t i = 0; declarations != nullptr && i < declarations->size(); ++i) {
    std::optional<ResourceDeclaration> declaration = ReadDeclaration(
        (*declarations)[i], absl::StrCat("declarations[", i, "]"), &faults);
    if (declaration) {
      apply.command.declarations.push_back(std::move(*declaration));
      apply.command.new_uids.push_back(NewUniqueId());
    }
  }
  if (!faults.empty()) {
    return InvalidRequest(std::move(faults));
  }
  return apply;
}

Json CurrentResources(const ClusterState& state,
                      const CommandOutcome& outcome) {
  Json resources = Json::array();
  for (const Resource& resource : outcome.resources) {
    resources.push_back(ResourceWithStatus(state, resource));
  }
  return resources;
}

}  // namespace

ChangeHandlers::ChangeHandlers(
    std::shared_ptr<const OperatorServerOptions> options)
    : options_(std::move(options)) {}

void ChangeHandlers::Apply(const httplib::Request& request,
                           httplib::Response& response) {
  Result<ApplyRequest> apply = ReadApply(request.body);
  if (!apply) {
    return AnswerError(apply.error(), response);
  }
  if (apply.value().dry_run) {
    return Preview(apply.value().command, response);
  }
  const std::string change_id = apply.value().command.change_id;
  Propose("apply", change_id, std::move(apply.value().command), response);
}

void ChangeHandlers::Preview(const ApplyResources& apply,
                             httplib::Response& response) {
  CommandOutcome outcome;
  Json answer;
  options_->state.read([&](const ClusterState& state) {
    outcome = state.PreviewApply(apply);
    answer = {{"revision", state.revision()},
              {"dry_run", true},
              {"changed", outcome.accepted},
              {"resources", Json::array()},
              {"differences", Json::array()}};
    for (const Resource& resource : outcome.resources) {
      answer["resources"].push_back(ResourceToJson(resource));
      answer["differences"].push_back(DifferenceOf(
          state.FindResource(resource.Kind(), resource.name), resource));
    }
  });
  AddStateAge(options_->state, response);
  if (outcome.refusal) {
    return AnswerRefusal(outcome, response);
  }
  AnswerJson(answer, response);
}

void ChangeHandlers::Delete(const httplib::Request& request,
                            httplib::Response& response) {
  const Result<ResourceKind> kind = ParseResourceKind(request.matches[1].str());
  if (!kind) {
    return AnswerError(kind.error(), response);
  }
  DeleteResource command;
  command.kind = kind.value();
  command.name = request.matches[2].str();
  command.change_id = request.get_param_value("change_id");
  command.expected_uid = request.get_param_value("expected_uid");
  std::vector<FieldFault> faults;
  if (!ValidateRequestId(command.change_id)) {
    faults.push_back({"change_id", "is required in the query"});
  }
  if (request.has_param("expected_revision")) {
    int64_t revision = 0;
    if (!absl::SimpleAtoi(request.get_param_value("expected_revision"),
                          &revision) ||
        revision < 1) {
      faults.push_back({"expected_revision", "must be a revision from 1"});
    }
    command.expected_revision = revision;
  }
  if (!faults.empty()) {
    return AnswerError(InvalidRequest(std::move(faults)), response);
  }
  const std::string change_id = command.change_id;
  Propose("delete", change_id, std::move(command), response);
}

void ChangeHandlers::Drain(const httplib::Request& request,
                           httplib::Response& response) {
  SetDrained(true, request, response);
}

void ChangeHandlers::Undrain(const httplib::Request& request,
                             httplib::Response& response) {
  SetDrained(false, request, response);
}

void ChangeHandlers::SetDrained(bool drained,
                                const httplib::Request& request,
                                httplib::Response& response) {
  const Result<Json> json = ParseJson(request.body, JsonComments::kRefuse);
  if (!json) {
    return AnswerError(json.error(), response);
  }
  std::vector<FieldFault> faults;
  JsonReader reader(json.value(), "", &faults);
  bramleyrail::SetDrained command;
  command.change_id = ReadChangeId(reader, Presence::kRequired);
  command.drained = drained;
  command.new_uid = NewUniqueId();
  command.name = reader.String("name", Presence::kRequired).value_or("");
  const auto kind_name = reader.String("kind", Presence::kRequired);
  if (kind_name) {
    const Result<ResourceKind> kind = ParseResourceKind(*kind_name);
    if (kind) {
      command.kind = kind.value();
    } else {
      reader.AddFault("kind", "must be failure_domain, rack, worker or target");
    }
  }
  reader.RefuseUnknownFields();
  if (!faults.empty()) {
    return AnswerError(InvalidRequest(std::move(faults)), response);
  }
  const std::string change_id = command.change_id;
  Propose(drained ? "drain" : "undrain", change_id, std::move(command),
          response);
}

void ChangeHandlers::CancelJob(const httplib::Request& request,
                               httplib::Response& response) {
  const Result<Json> json = ParseJson(request.body, JsonComments::kRefuse);
  if (!json) {
    return AnswerError(json.error(), response);
  }
  std::vector<FieldFault> faults;
  JsonReader reader(json.value(), "", &faults);
  bramleyrail::CancelJob command;
  command.change_id = ReadChangeId(reader, Presence::kRequired);
  command.job = request.matches[1].str();
  reader.RefuseUnknownFields();
  if (!faults.empty()) {
    return AnswerError(InvalidRequest(std::move(faults)), response);
  }
  const std::string change_id = command.change_id;
  Propose("cancel", change_id, std::move(command), response);
}

void ChangeHandlers::Propose(std::string_view what,
                             const std::string& change_id,
                             CommandBody body,
                             httplib::Response& response) {
  const Result<CommandOutcome> outcome = options_->state.ProposeAndWait(
      {UnixMilliseconds(), std::move(body)}, options_->change_timeout);
  if (!outcome) {
    LogEvent(operator_events::kChangeUnconfirmed,
             {{"change", what},
              {"change_id", change_id},
              {"error", outcome.error().ToString()}});
    return AnswerError(outcome.error(), response);
  }
  if (outcome.value().refusal) {
    LogEvent(operator_events::kChangeRefused,
             {{"change", what},
              {"change_id", change_id},
              {"revision", outcome.value().revision},
              {"error", outcome.value().refusal->ToString()}});
    return AnswerRefusal(outcome.value(), response);
  }
  LogEvent(operator_events::kChangeAccepted,
           {{"change", what},
            {"change_id", change_id},
            {"revision", outcome.value().revision},
            {"changed", outcome.value().accepted}});
  AnswerJson(OutcomeToJson(outcome.value()), response);
}

void ChangeHandlers::AnswerRefusal(const CommandOutcome& outcome,
                                   httplib::Response& response) {
  Json extra = Json::object();
  if (!outcome.resources.empty()) {
    options_->state.read([&](const ClusterState& state) {
      extra["current"] = CurrentResources(state, outcome);
    });
  }
  AnswerError(*outcome.refusal, response, extra);
}

Json ChangeHandlers::OutcomeToJson(const CommandOutcome& outcome) const {
  Json answer = {{"revision", outcome.revision},
                 {"dry_run", false},
                 {"changed", outcome.accepted}};
  options_->state.read([&](const ClusterState& state) {
    answer["resources"] = CurrentResources(state, outcome);
  });
  return answer;
}

}  // namespace bramleyrail

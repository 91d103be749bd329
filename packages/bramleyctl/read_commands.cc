#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "packages/bramleyctl/commands.h"
#include "packages/bramleyctl/table.h"

namespace bramleyrail {

namespace {

constexpr int kPageSize = 1000;

const std::vector<TableColumn>& ColumnsOf(const std::string& kind) {
  static const std::map<std::string, std::vector<TableColumn>> columns = {
      {"service",
       {{"NAME", "/name"},
        {"STATE", "/status/state"},
        {"REPLICAS", "/spec/replicas"},
        {"ASSIGNED", "/status/tasks/assigned"},
        {"PENDING", "/status/tasks/pending"},
        {"EVICTIONS", "/status/tasks/evictions"},
        {"REASON", "/status/reason"}}},
      {"batch_job",
       {{"NAME", "/name"},
        {"TEAM", "/spec/team"},
        {"PRIORITY", "/spec/priority"},
        {"STATE", "/status/state"},
        {"PENDING", "/status/tasks/pending"},
        {"ASSIGNED", "/status/tasks/assigned"},
        {"COMPLETED", "/status/tasks/completed"},
        {"FAILED", "/status/tasks/failed"},
        {"EVICTIONS", "/status/tasks/evictions"},
        {"REASON", "/status/reason"}}},
      {"team",
       {{"NAME", "/name"},
        {"WEIGHT", "/spec/weight"},
        {"QUOTA", "/spec/quota"},
        {"RESERVED", "/status/reserved"},
        {"LEFT", "/status/left"}}},
      {"failure_domain",
       {{"NAME", "/name"},
        {"REGION", "/spec/region"},
        {"DRAINED", "/status/drained"},
        {"WORKERS", "/status/workers"},
        {"SUSPENDED", "/status/workers_suspended"},
        {"PROBATION", "/status/workers_on_probation"},
        {"RESERVED", "/status/reserved"},
        {"CAPACITY", "/status/capacity"}}},
      {"rack",
       {{"NAME", "/name"},
        {"FAILURE_DOMAIN", "/spec/failure_domain"},
        {"DRAINED", "/status/drained"},
        {"WORKERS", "/status/workers"},
        {"SUSPENDED", "/status/workers_suspended"},
        {"RESERVED", "/status/reserved"},
        {"CAPACITY", "/status/capacity"}}},
      {"worker",
       {{"NAME", "/name"},
        {"FAILURE_DOMAIN", "/spec/failure_domain"},
        {"RACK", "/spec/rack"},
        {"DRAINED_BY", "/status/drained_by"},
        {"SUSPENDED", "/status/suspended"},
        {"PROBATION", "/status/on_probation"},
        {"TASKS", "/status/tasks"},
        {"RESERVED", "/status/reserved"},
        {"CAPACITY", "/spec/capacity"},
        {"REASON", "/status/reason"}}},
      {"target",
       {{"NAME", "/name"},
        {"SERVICE", "/spec/service"},
        {"FAILURE_DOMAIN", "/spec/failure_domain"},
        {"DRAINED_BY", "/status/drained_by"},
        {"INSTANCE", "/status/live/0/instance"},
        {"STATE", "/status/live/0/state"},
        {"SLOTS", "/status/live/0/slots"},
        {"IN_USE", "/status/live/0/slots_in_use"}}},
  };
  return columns.at(kind);
}

const std::vector<TableColumn>& TaskColumns() {
  static const std::vector<TableColumn> columns = {
      {"TASK", "/id"},           {"STATE", "/state"},
      {"ATTEMPT", "/attempt"},   {"WORKER", "/worker"},
      {"DESIRED", "/desired"},   {"REPORTED", "/reported"},
      {"FAILURES", "/failures"}, {"EVICTIONS", "/evictions"},
      {"REASON", "/reason"}};
  return columns;
}

const std::vector<TableColumn>& InstanceColumns() {
  static const std::vector<TableColumn> columns = {
      {"NAME", "/name"},
      {"FAILURE_DOMAIN", "/failure_domain"},
      {"REACHABLE", "/reachable"},
      {"ROLE", "/role"},
      {"LEADER", "/leader"},
      {"TERM", "/term"},
      {"APPLIED", "/applied_index"},
      {"BEHIND", "/behind"},
      {"CONFIGURATION", "/configuration_revision"},
      {"STATE_AGE_MS", "/state_age_ms"},
      {"CONTACT_MS_AGO", "/last_contact_ms_ago"},
      {"FAULT", "/fault"}};
  return columns;
}

const std::vector<TableColumn>& AccountColumns() {
  static const std::vector<TableColumn> columns = {
      {"NAME", "/name"},
      {"PRIORITY", "/priority"},
      {"WEIGHT", "/weight"},
      {"KEYS", "/keys"},
      {"LIMIT", "/limit"},
      {"USED", "/used"},
      {"SHARE", "/share"},
      {"FOR_LIMIT", "/waiting_for_limit"},
      {"FOR_SHARE", "/waiting_for_share"},
      {"FOR_ROOM", "/waiting_for_room"}};
  return columns;
}

// Reads all pages; `field` names the array that is continued. The other fields
// are those of the first page.
Result<Json> ReadAllPages(ServerClient& client,
                          const std::string& path,
                          const char* field) {
  Json all;
  std::string after;
  while (true) {
    TRY(page, client.Get(absl::StrCat(path, "?limit=", kPageSize,
                                      after.empty() ? "" : "&after=", after)));
    if (all.is_null()) {
      all = page;
      all.erase("next");
    } else {
      for (const Json& element : page.at(field)) {
        all.at(field).push_back(element);
      }
    }
    if (!page.contains("next") || page["next"].is_null()) {
      return all;
    }
    const Json& next = page["next"];
    after =
        EncodeUrlPart(next.is_string() ? next.get<std::string>() : next.dump());
  }
}

// A person sees the fields one below the other, a program the answer itself.
void ShowObject(CommandContext& context, const Json& object) {
  context.out << (context.format == OutputFormat::kJson ? object.dump(2) + "\n"
                                                        : FlatText(object));
}

// Entries that the leader has applied and the instance has not.
void AddBehind(Json* instances) {
  int64_t newest = 0;
  for (const Json& instance : *instances) {
    newest = std::max(newest, instance.value("applied_index", int64_t{0}));
  }
  for (Json& instance : *instances) {
    if (instance.contains("applied_index")) {
      instance["behind"] = newest - instance["applied_index"].get<int64_t>();
    }
  }
}

}  // namespace

Result<Json> ListAll(ServerClient& client, const std::string& kind) {
  return ReadAllPages(client, "/v1/resources/" + kind, "resources");
}

Result<void> Get(CommandContext& context) {
  TRY(kind, ReadKind(context.arguments[0]));
  TRY(resource,
      context.client.Get(absl::StrCat("/v1/resources/", kind, "/",
                                      EncodeUrlPart(context.arguments[1]))));
  ShowObject(context, resource);
  return Success();
}

Result<void> List(CommandContext& context) {
  TRY(kind, ReadKind(context.arguments[0]));
  TRY(list, ListAll(context.client, kind));
  if (context.format == OutputFormat::kJson) {
    context.out << list.dump(2) << "\n";
    return Success();
  }
  context.out << TableOf(ColumnsOf(kind), list.at("resources")).ToText();
  return Success();
}

Result<void> ShowJob(CommandContext& context) {
  TRY(job,
      ReadAllPages(context.client,
                   "/v1/jobs/" + EncodeUrlPart(context.arguments[0]), "tasks"));
  if (context.format == OutputFormat::kJson) {
    context.out << job.dump(2) << "\n";
    return Success();
  }
  const Json tasks = job.at("tasks");
  job.erase("tasks");
  context.out << FlatText(job) << "\n"
              << TableOf(TaskColumns(), tasks).ToText();
  return Success();
}

Result<void> ShowRequest(CommandContext& context) {
  TRY(request, context.client.Get("/v1/requests/" +
                                  EncodeUrlPart(context.arguments[0])));
  ShowObject(context, request);
  return Success();
}

Result<void> ShowStatus(CommandContext& context) {
  TRY(answer, context.client.Get("/v1/instances"));
  if (context.format == OutputFormat::kJson) {
    context.out << answer.dump(2) << "\n";
    return Success();
  }
  Json& instances = answer.at("instances");
  AddBehind(&instances);
  context.out << TableOf(InstanceColumns(), instances).ToText();
  return Success();
}

Result<void> Explain(CommandContext& context) {
  // Request ids hold no '/', task ids always do.
  const std::string& id = context.arguments[0];
  const size_t slash = id.find('/');
  const std::string path =
      slash == std::string::npos
          ? "/v1/explain/requests/" + EncodeUrlPart(id)
          : absl::StrCat("/v1/explain/tasks/",
                         EncodeUrlPart(id.substr(0, slash)), "/",
                         EncodeUrlPart(id.substr(slash + 1)));
  TRY(explanation, context.client.Get(path));
  ShowObject(context, explanation);
  return Success();
}

Result<void> ShowAccounts(CommandContext& context) {
  TRY(answer, context.client.Get("/v1/accounts"));
  if (context.format == OutputFormat::kJson) {
    context.out << answer.dump(2) << "\n";
    return Success();
  }
  context.out << TableOf(AccountColumns(), answer.at("accounts")).ToText();
  return Success();
}

}  // namespace bramleyrail

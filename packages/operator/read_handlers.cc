#include "packages/operator/read_handlers.h"

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "packages/operator/http_answer.h"
#include "packages/operator/resource_status.h"
#include "packages/operator/task_report.h"

namespace bramleyrail {

namespace {

constexpr int64_t kMaximumLimit = 10'000;
// Entries of one answer. They are built under the reader lock of the state, so
// a larger limit is accepted, but answered in several pages.
constexpr int64_t kMaximumEntries = 1'000;

Error NotFound(const std::string& what) {
  return MakeError(ErrorKind::kNotFound, what + " does not exist",
                   "check the spelling, or list what exists");
}

Result<int64_t> ReadInteger(const httplib::Request& request,
                            const char* name,
                            int64_t fallback,
                            int64_t minimum,
                            int64_t maximum) {
  if (!request.has_param(name)) {
    return fallback;
  }
  int64_t value = 0;
  if (!absl::SimpleAtoi(request.get_param_value(name), &value) ||
      value < minimum || value > maximum) {
    return MakeInvalidArgument(
        "the query is not valid",
        {{name, "must be a whole number from " + std::to_string(minimum) +
                    " to " + std::to_string(maximum)}});
  }
  return value;
}

Result<int64_t> ReadLimit(const httplib::Request& request) {
  TRY(limit, ReadInteger(request, "limit", kMaximumEntries, 1, kMaximumLimit));
  return std::min(limit, kMaximumEntries);
}

Json LiveTargetToJson(const LiveTarget& target) {
  return {{"name", target.name},
          {"service", target.service},
          {"failure_domain", target.failure_domain},
          {"address", target.address},
          {"instance", target.instance},
          {"state", target.state},
          {"slots", target.slots},
          {"slots_in_use", target.slots_in_use},
          {"connections", target.connections},
          {"connections_in_use", target.connections_in_use}};
}

}  // namespace

ReadHandlers::ReadHandlers(std::shared_ptr<const OperatorServerOptions> options)
    : options_(std::move(options)) {}

template <typename Function>
Result<Json> ReadHandlers::Read(Function function) const {
  Result<Json> result = NotFound("the state");
  options_->state.read(
      [&](const ClusterState& state) { result = function(state); });
  return result;
}

void ReadHandlers::Answer(const Result<Json>& result,
                          httplib::Response& response) const {
  AddStateAge(options_->state, response);
  if (result) {
    AnswerJson(result.value(), response);
  } else {
    AnswerError(result.error(), response);
  }
}

void ReadHandlers::AddLiveTargets(ResourceKind kind,
                                  const std::string& name,
                                  const char* field,
                                  Json& json) const {
  Json live = Json::array();
  const Result<std::vector<LiveTarget>> targets =
      options_->hooks.live_targets();
  if (!targets) {
    json[field] = std::move(live);
    json["live_error"] = targets.error().ToString();
    return;
  }
  for (const LiveTarget& target : targets.value()) {
    const std::string& key =
        kind == ResourceKind::kTarget ? target.name : target.service;
    if (key == name) {
      live.push_back(LiveTargetToJson(target));
    }
  }
  json[field] = std::move(live);
}

void ReadHandlers::List(const httplib::Request& request,
                        httplib::Response& response) {
  const Result<ResourceKind> kind = ParseResourceKind(request.matches[1].str());
  const Result<int64_t> limit = ReadLimit(request);
  if (!kind || !limit) {
    return AnswerError(kind ? limit.error() : kind.error(), response);
  }
  const std::string after = request.get_param_value("after");
  Result<Json> result = Read([&](const ClusterState& state) -> Result<Json> {
    const auto& resources = state.Resources(kind.value());
    Json list = Json::array();
    Json answer = {{"revision", state.revision()}};
    auto next = resources.upper_bound(after);
    for (; next != resources.end() &&
           static_cast<int64_t>(list.size()) < limit.value();
         ++next) {
      list.push_back(ResourceWithStatus(state, next->second));
    }
    if (next != resources.end()) {
      answer["next"] = list.back()["name"];
    }
    answer["resources"] = std::move(list);
    return answer;
  });
  if (result && kind.value() == ResourceKind::kTarget) {
    for (Json& target : result.value()["resources"]) {
      AddLiveTargets(kind.value(), target["name"].get<std::string>(), "live",
                     target["status"]);
    }
  }
  Answer(result, response);
}

void ReadHandlers::Show(const httplib::Request& request,
                        httplib::Response& response) {
  const Result<ResourceKind> kind = ParseResourceKind(request.matches[1].str());
  if (!kind) {
    return AnswerError(kind.error(), response);
  }
  const std::string name = request.matches[2].str();
  Result<Json> result = Read([&](const ClusterState& state) -> Result<Json> {
    const Resource* resource = state.FindResource(kind.value(), name);
    if (resource == nullptr) {
      return NotFound(std::string(ResourceKindName(kind.value())) + " '" +
                      name + "'");
    }
    return ResourceWithStatus(state, *resource);
  });
  if (result && kind.value() == ResourceKind::kTarget) {
    AddLiveTargets(kind.value(), name, "live", result.value()["status"]);
  }
  Answer(result, response);
}

void ReadHandlers::ShowJob(const httplib::Request& request,
                           httplib::Response& response) {
  ShowOwner(ResourceKind::kBatchJob, request, response);
}

void ReadHandlers::ShowService(const httplib::Request& request,
                               httplib::Response& response) {
  ShowOwner(ResourceKind::kService, request, response);
}

void ReadHandlers::ShowOwner(ResourceKind kind,
                             const httplib::Request& request,
                             httplib::Response& response) {
  const std::string name = request.matches[1].str();
  const Result<int64_t> limit = ReadLimit(request);
  const Result<int64_t> after =
      ReadInteger(request, "after", -1, -1, INT64_MAX - 1);
  if (!limit || !after) {
    return AnswerError(limit ? after.error() : limit.error(), response);
  }
  Result<Json> result = Read([&](const ClusterState& state) -> Result<Json> {
    const Resource* resource = state.FindResource(kind, name);
    if (resource == nullptr) {
      return NotFound(std::string(ResourceKindName(kind)) + " '" + name + "'");
    }
    Json answer = ResourceWithStatus(state, *resource);
    const std::vector<const Task*> tasks = state.TasksOf(resource->uid);
    const auto count = static_cast<int64_t>(tasks.size());
    const int64_t first = std::min(after.value() + 1, count);
    const int64_t end = std::min(first + limit.value(), count);
    Json list = Json::array();
    for (int64_t i = first; i < end; ++i) {
      list.push_back(TaskToJson(*tasks[i]));
    }
    answer["tasks"] = std::move(list);
    if (end < count) {
      answer["next"] = end - 1;
    }
    return answer;
  });
  if (result && kind == ResourceKind::kService) {
    AddLiveTargets(kind, name, "live_targets", result.value());
  }
  Answer(result, response);
}

void ReadHandlers::AnswerTask(const httplib::Request& request,
                              httplib::Response& response,
                              Json (*answer)(const ClusterState&,
                                             const Task&)) {
  const std::string id =
      request.matches[1].str() + "/" + request.matches[2].str();
  Answer(Read([&](const ClusterState& state) -> Result<Json> {
           const Task* task = state.FindTask(id);
           if (task == nullptr) {
             return NotFound("task '" + id + "'");
           }
           return answer(state, *task);
         }),
         response);
}

void ReadHandlers::ShowTask(const httplib::Request& request,
                            httplib::Response& response) {
  AnswerTask(request, response, [](const ClusterState&, const Task& task) {
    return TaskToJson(task);
  });
}

void ReadHandlers::ExplainTask(const httplib::Request& request,
                               httplib::Response& response) {
  AnswerTask(request, response, bramleyrail::ExplainTask);
}

void ReadHandlers::AnswerHook(const RequestHook& hook,
                              const httplib::Request& request,
                              httplib::Response& response) {
  const std::string id = request.matches[1].str();
  const Result<void> valid = ValidateRequestId(id);
  if (!valid) {
    return AnswerError(valid.error(), response);
  }
  Answer(hook(id), response);
}

void ReadHandlers::ShowRequest(const httplib::Request& request,
                               httplib::Response& response) {
  AnswerHook(options_->hooks.request_state, request, response);
}

void ReadHandlers::ExplainRequest(const httplib::Request& request,
                                  httplib::Response& response) {
  AnswerHook(options_->hooks.explain_request, request, response);
}

void ReadHandlers::ShowInstances(const httplib::Request& /*request*/,
                                 httplib::Response& response) {
  Json instances = Json::array();
  for (const InstanceStatus& status : options_->hooks.instance_statuses()) {
    instances.push_back(InstanceStatusToJson(status));
  }
  const Json answer = {{"instances", std::move(instances)}};
  Answer(answer, response);
}

}  // namespace bramleyrail

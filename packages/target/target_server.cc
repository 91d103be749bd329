#include "packages/target/target_server.h"

#include <arpa/inet.h>

#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/target/http_response.h"

namespace bramleyrail {

namespace {

using Presence = JsonReader::Presence;

constexpr int64_t kMaximumPort = 65'535;
constexpr int64_t kMaximumSlots = 10'000;
constexpr int64_t kMaximumConnections = 100'000;
constexpr size_t kMaximumBodyBytes = size_t{1024} * 1024;

HttpServer::Options ServerOptions(const TargetServer::Options& options) {
  HttpServer::Options server;
  server.name = "targets";
  server.address = options.address;
  server.port = options.port;
  // Each target sends one short message every 500 ms.
  server.maximum_threads = 32;
  server.maximum_queue = 256;
  server.maximum_body = kMaximumBodyBytes;
  server.keep_alive = Milliseconds(2'000);
  return server;
}

WorkInProgress ReadWorkInProgress(JsonReader* reader,
                                  std::vector<FieldFault>* faults) {
  WorkInProgress work;
  const Json* in_progress = reader->Object("in_progress", Presence::kOptional);
  if (in_progress == nullptr) {
    return work;
  }
  JsonReader lists(*in_progress, "in_progress", faults);
  work.requests =
      lists.Strings("requests", Presence::kOptional).value_or(work.requests);
  work.watches =
      lists.Strings("watches", Presence::kOptional).value_or(work.watches);
  lists.RefuseUnknownFields();
  return work;
}

int64_t ReadPositiveInteger(JsonReader* reader,
                            std::string_view field,
                            int64_t maximum) {
  return reader->Integer(field, Presence::kRequired, {1, maximum}).value_or(0);
}

bool IsNumericAddress(const std::string& host) {
  in6_addr address{};
  return ::inet_pton(AF_INET, host.c_str(), &address) == 1 ||
         ::inet_pton(AF_INET6, host.c_str(), &address) == 1;
}

Json SessionJson(const std::string& instance, int64_t session) {
  return {{"instance", instance},
          {"session", session},
          {"lease_ms", kTargetLeaseDuration.count()},
          {"renew_ms", kTargetRenewalInterval.count()}};
}

Error StoppingError() {
  return MakeError(ErrorKind::kUnavailable, "the instance is about to stop",
                   "announce to another instance of the failure domain");
}

}  // namespace

TargetServer::TargetServer(Options options)
    : options_(std::move(options)), server_(ServerOptions(options_)) {
  const auto bind = [this](auto method) {
    return [this, method](const httplib::Request& request,
                          httplib::Response& response) {
      (this->*method)(request, &response);
    };
  };
  server_.Post("/v1/targets/([^/]+)/announce",
               bind(&TargetServer::HandleAnnounce));
  server_.Post("/v1/targets/([^/]+)/renew", bind(&TargetServer::HandleRenew));
  server_.Post("/v1/targets/([^/]+)/leave", bind(&TargetServer::HandleLeave));
}

void TargetServer::Refuse(httplib::Response* response,
                          std::string_view target,
                          const Error& error) {
  LogEvent(kTargetRefused, {{"target", target},
                            {"kind", ErrorKindName(error.kind)},
                            {"reason", error.message}});
  SetErrorResponse(response, error, RequestExecution::kNotRun, "");
}

Result<TargetAnnouncement> TargetServer::ReadAnnouncement(
    const httplib::Request& request) {
  TargetAnnouncement announcement;
  announcement.name = request.matches[1];
  TRY(ValidateName(announcement.name));
  TRY(json, ParseJson(request.body, JsonComments::kRefuse));
  std::vector<FieldFault> faults;
  JsonReader reader(json, "", &faults);
  announcement.service =
      reader.String("service", Presence::kRequired).value_or("");
  announcement.host =
      reader.String("host", Presence::kOptional).value_or(request.remote_addr);
  announcement.port =
      static_cast<int>(ReadPositiveInteger(&reader, "port", kMaximumPort));
  announcement.session = ReadPositiveInteger(&reader, "session", INT64_MAX);
  announcement.sequence = ReadPositiveInteger(&reader, "sequence", INT64_MAX);
  announcement.slots = ReadPositiveInteger(&reader, "slots", kMaximumSlots);
  announcement.connections =
      ReadPositiveInteger(&reader, "connections", kMaximumConnections);
  announcement.in_progress = ReadWorkInProgress(&reader, &faults);
  const std::string failure_domain =
      reader.String("failure_domain", Presence::kOptional)
          .value_or(options_.failure_domain);
  reader.RefuseUnknownFields();
  if (!ValidateName(announcement.service).has_value()) {
    faults.push_back({"service", "must be a valid service name"});
  }
  if (!IsNumericAddress(announcement.host)) {
    faults.push_back({"host", "must be a numeric IPv4 or IPv6 address"});
  }
  if (failure_domain != options_.failure_domain) {
    faults.push_back(
        {"failure_domain",
         absl::StrCat("this instance is in ", options_.failure_domain,
                      "; announce to an instance of the target's domain")});
  }
  if (!faults.empty()) {
    return MakeInvalidArgument("the announcement is not valid",
                               std::move(faults));
  }
  return announcement;
}

void TargetServer::HandleAnnounce(const httplib::Request& request,
                                  httplib::Response* response) {
  const std::string target = request.matches[1];
  if (draining_.load()) {
    Refuse(response, target, StoppingError());
    return;
  }
  Result<TargetAnnouncement> announcement = ReadAnnouncement(request);
  if (!announcement.has_value()) {
    Refuse(response, target, announcement.error());
    return;
  }
  const TargetAnnouncement copy = announcement.value();
  const Result<void> announced =
      options_.table->Announce(std::move(announcement).value());
  if (!announced.has_value()) {
    Refuse(response, target, announced.error());
    return;
  }
  LogEvent(kTargetAnnounced,
           {{"target", copy.name},
            {"service", copy.service},
            {"host", copy.host},
            {"port", copy.port},
            {"session", copy.session},
            {"slots", copy.slots},
            {"connections", copy.connections},
            {"inherited", copy.in_progress.requests.size() +
                              copy.in_progress.watches.size()}});
  options_.on_change();
  SetJsonResponse(response, 200, SessionJson(options_.instance, copy.session));
}

void TargetServer::HandleRenew(const httplib::Request& request,
                               httplib::Response* response) {
  const std::string target = request.matches[1];
  const Result<Json> json = ParseJson(request.body, JsonComments::kRefuse);
  if (!json.has_value()) {
    Refuse(response, target, json.error());
    return;
  }
  std::vector<FieldFault> faults;
  JsonReader reader(json.value(), "", &faults);
  const int64_t session = ReadPositiveInteger(&reader, "session", INT64_MAX);
  const int64_t sequence = ReadPositiveInteger(&reader, "sequence", INT64_MAX);
  const WorkInProgress work = ReadWorkInProgress(&reader, &faults);
  reader.RefuseUnknownFields();
  if (!faults.empty()) {
    Refuse(response, target,
           MakeInvalidArgument("the renewal is not valid", std::move(faults)));
    return;
  }
  const Result<std::shared_ptr<TargetSession>> renewed =
      options_.table->Renew(target, session, sequence, work);
  if (!renewed.has_value()) {
    Refuse(response, target, renewed.error());
    return;
  }
  const bool move = draining_.load();
  if (move) {
    // After this response, the target may announce itself to another instance
    // at any moment, so no more requests may be sent under this session.
    renewed.value()->Close();
    LogEvent(kTargetMoveRequested, {{"target", target}, {"session", session}});
  }
  options_.on_change();
  Json body = SessionJson(options_.instance, session);
  body["drained"] = renewed.value()->drained();
  body["move"] = move;
  SetJsonResponse(response, 200, body);
}

void TargetServer::HandleLeave(const httplib::Request& request,
                               httplib::Response* response) {
  const std::string target = request.matches[1];
  const Result<Json> json = ParseJson(request.body, JsonComments::kRefuse);
  if (!json.has_value()) {
    Refuse(response, target, json.error());
    return;
  }
  std::vector<FieldFault> faults;
  JsonReader reader(json.value(), "", &faults);
  const int64_t session = ReadPositiveInteger(&reader, "session", INT64_MAX);
  reader.RefuseUnknownFields();
  if (!faults.empty()) {
    Refuse(response, target,
           MakeInvalidArgument("the leave message is not valid",
                               std::move(faults)));
    return;
  }
  const Result<void> left = options_.table->Leave(target, session);
  if (!left.has_value()) {
    Refuse(response, target, left.error());
    return;
  }
  LogEvent(kTargetLeft, {{"target", target}, {"session", session}});
  options_.on_change();
  SetJsonResponse(response, 200, SessionJson(options_.instance, session));
}

}  // namespace bramleyrail

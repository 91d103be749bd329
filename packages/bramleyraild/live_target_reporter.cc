#include "packages/bramleyraild/live_target_reporter.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/bramleyraild/peer_survey.h"

namespace bramleyrail {

namespace {

Json ToJson(const LiveTarget& target) {
  return {{"name", target.name},
          {"service", target.service},
          {"failure_domain", target.failure_domain},
          {"address", target.address},
          {"state", target.state},
          {"slots", target.slots},
          {"slots_in_use", target.slots_in_use},
          {"connections", target.connections},
          {"connections_in_use", target.connections_in_use}};
}

LiveTarget FromJson(const Json& json, const std::string& instance) {
  LiveTarget target;
  target.name = json.value("name", "");
  target.service = json.value("service", "");
  target.failure_domain = json.value("failure_domain", "");
  target.address = json.value("address", "");
  target.instance = instance;
  target.state = json.value("state", "");
  target.slots = json.value("slots", int64_t{0});
  target.slots_in_use = json.value("slots_in_use", int64_t{0});
  target.connections = json.value("connections", int64_t{0});
  target.connections_in_use = json.value("connections_in_use", int64_t{0});
  return target;
}

// An answer of another version is left out rather than trusted in part.
void AppendTargets(const std::string& instance,
                   std::span<const std::byte> answer,
                   std::vector<LiveTarget>* targets) {
  const Json json = Json::from_cbor(answer, true, false);
  if (!json.is_array()) {
    return;
  }
  for (const Json& entry : json) {
    if (entry.is_object()) {
      targets->push_back(FromJson(entry, instance));
    }
  }
}

}  // namespace

LiveTargetReporter::LiveTargetReporter(Options options)
    : options_(std::move(options)) {}

std::unique_ptr<LiveTargetReporter> LiveTargetReporter::Create(
    Options options) {
  return std::unique_ptr<LiveTargetReporter>(
      new LiveTargetReporter(std::move(options)));
}

std::string LiveTargetReporter::StateOf(const TargetSession& session) const {
  if (session.IsExpired(options_.clock())) {
    return "expired";
  }
  if (session.closed()) {
    return "leaving";
  }
  return session.drained() ? "drained" : "ready";
}

std::vector<LiveTarget> LiveTargetReporter::LocalTargets() const {
  std::vector<LiveTarget> targets;
  for (const std::shared_ptr<TargetSession>& session : options_.sessions()) {
    LiveTarget target;
    target.name = session->name();
    target.service = session->service();
    target.failure_domain = options_.settings.failure_domain;
    target.address = absl::StrCat(session->host(), ":", session->port());
    target.instance = options_.settings.instance;
    target.state = StateOf(*session);
    target.slots = session->slots();
    target.slots_in_use = session->slots_in_use();
    target.connections = session->connections();
    target.connections_in_use = session->connections_in_use();
    targets.push_back(std::move(target));
  }
  return targets;
}

std::vector<std::byte> LiveTargetReporter::EncodeLocalTargets() const {
  Json json = Json::array();
  for (const LiveTarget& target : LocalTargets()) {
    json.push_back(ToJson(target));
  }
  std::vector<std::byte> bytes;
  for (const uint8_t byte : Json::to_cbor(json)) {
    bytes.push_back(std::byte{byte});
  }
  return bytes;
}

std::vector<LiveTarget> LiveTargetReporter::CollectTargets() const {
  std::vector<LiveTarget> targets = LocalTargets();
  const SurveyAnswers answers = AskPeers(
      options_.network, options_.settings.peers, SurveyQuestion::kLiveTargets);
  for (const auto& [instance, answer] : answers) {
    AppendTargets(instance, answer, &targets);
  }
  return targets;
}

}  // namespace bramleyrail

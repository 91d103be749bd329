#include "packages/bramleyraild/live_target_reporter.h"

#include <optional>
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

// Returns nullopt when a field is of another type.
std::optional<LiveTarget> FromJson(const Json& json,
                                   const std::string& instance) {
  constexpr auto kOptional = JsonReader::Presence::kOptional;
  std::vector<FieldFault> faults;
  JsonReader reader(json, "target", &faults);
  const auto text = [&](std::string_view field) {
    return reader.String(field, kOptional).value_or("");
  };
  const auto count = [&](std::string_view field) {
    return reader.Integer(field, kOptional, {}).value_or(0);
  };
  LiveTarget target;
  target.name = text("name");
  target.service = text("service");
  target.failure_domain = text("failure_domain");
  target.address = text("address");
  target.instance = instance;
  target.state = text("state");
  target.slots = count("slots");
  target.slots_in_use = count("slots_in_use");
  target.connections = count("connections");
  target.connections_in_use = count("connections_in_use");
  return faults.empty() ? std::optional(std::move(target)) : std::nullopt;
}

// An answer of another version is left out rather than trusted in part.
void AppendTargets(const std::string& instance,
                   std::span<const std::byte> answer,
                   std::vector<LiveTarget>* targets) {
  const auto json = codec::FromCbor(answer);
  if (!json || !json.value().is_array()) {
    return;
  }
  for (const Json& entry : json.value()) {
    if (auto target = FromJson(entry, instance)) {
      targets->push_back(std::move(*target));
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

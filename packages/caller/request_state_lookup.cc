#include "packages/caller/request_state_lookup.h"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/caller/pending_result.h"

namespace bramleyrail {

namespace {

constexpr Milliseconds kPeerTimeout{500};
constexpr char kUnknownState[] = "unknown";

// The more certain and the further advanced, the earlier. A record "not_run"
// says only that one acceptance of the request was not run.
constexpr std::array<std::string_view, 5> kStatesByWeight = {
    "completed", "running", "waiting", "outcome_unknown", "not_run"};

size_t WeightOf(const std::string& state) {
  return static_cast<size_t>(
      std::find(kStatesByWeight.begin(), kStatesByWeight.end(), state) -
      kStatesByWeight.begin());
}

Json ClaimToJson(const Claim& claim) {
  return {{"state", std::string(ClaimStateName(claim.state))},
          {"instance", claim.instance},
          {"service", claim.service},
          {"caller", claim.caller},
          {"status", claim.answer_status},
          {"answer_kept", claim.answer_kept},
          {"claimed_unix_ms", claim.claimed_unix_ms},
          {"resolved_unix_ms", claim.resolved_unix_ms}};
}

bool IsResolved(const Claim& claim) {
  return claim.state == ClaimState::kCompleted ||
         claim.state == ClaimState::kNotRun;
}

// True when the entry instance itself knows that the request runs or has run.
bool IsCertain(const Json& records) {
  return std::any_of(records.begin(), records.end(), [](const Json& record) {
    const std::string state = record.at("state");
    return record.at("role") == "entry" &&
           (state == "completed" || state == "running" || state == "waiting");
  });
}

}  // namespace

Json RequestStateLookup::OwnRecordsJson(const std::string& request_id) const {
  Json records = Json::array();
  for (const RequestRole role : {RequestRole::kEntry, RequestRole::kOwner}) {
    const std::optional<RequestRecord> record =
        options_.requests->Find(role, request_id);
    if (record.has_value()) {
      records.push_back(record->ToJson());
    }
  }
  return records;
}

RequestStateAnswer RequestStateLookup::OwnRecords(
    const std::string& request_id) const {
  const Json records = OwnRecordsJson(request_id);
  return {!records.empty(),
          records.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

std::optional<Claim> RequestStateLookup::FindClaim(
    const std::string& request_id) const {
  std::optional<Claim> claim;
  options_.state.read([&](const ClusterState& state) {
    const Claim* found = state.FindClaim(request_id);
    if (found != nullptr) {
      claim = *found;
    }
  });
  return claim;
}

std::vector<RequestStateLookup::PeerAnswer> RequestStateLookup::AskPeers(
    const std::string& request_id) const {
  using Bytes = std::vector<std::byte>;
  const Bytes query = EncodeRoutingMessage(RequestStateQuery{request_id});
  std::vector<std::shared_ptr<PendingResult<Bytes>>> pending;
  for (const std::string& peer : options_.peers.peers) {
    auto result = std::make_shared<PendingResult<Bytes>>();
    pending.push_back(result);
    options_.peers.call(
        peer, query, kPeerTimeout,
        [result](Result<Bytes> answer) { result->Set(std::move(answer)); });
  }
  const MonotonicTime deadline =
      std::chrono::steady_clock::now() + kPeerTimeout;
  std::vector<PeerAnswer> answers;
  for (size_t i = 0; i < pending.size(); ++i) {
    PeerAnswer& answer = answers.emplace_back();
    answer.peer = options_.peers.peers[i];
    const auto remaining = std::chrono::ceil<Milliseconds>(
        deadline - std::chrono::steady_clock::now());
    const std::optional<Result<Bytes>> result =
        pending[i]->Wait(std::max(remaining, Milliseconds(0)));
    if (!result.has_value() || !result->has_value()) {
      continue;
    }
    const Result<RoutingMessage> message =
        DecodeRoutingMessage(result->value());
    if (!message.has_value() ||
        !std::holds_alternative<RequestStateAnswer>(message.value())) {
      continue;
    }
    Result<Json> records =
        ParseJson(std::get<RequestStateAnswer>(message.value()).record,
                  JsonComments::kRefuse);
    if (records.has_value() && records.value().is_array()) {
      answer.answered = true;
      answer.records = std::move(records).value();
    }
  }
  return answers;
}

Json RequestStateLookup::PeerJson(const PeerAnswer& answer) const {
  Json json = {{"instance", answer.peer}, {"answered", answer.answered}};
  if (answer.answered) {
    json["found"] = !answer.records.empty();
    return json;
  }
  const std::optional<MonotonicTime> contact =
      options_.peers.last_contact(answer.peer);
  json["as_of_unix_ms"] = nullptr;  // Never in contact.
  if (contact.has_value()) {
    const auto age =
        std::chrono::round<Milliseconds>(options_.clock() - *contact);
    json["as_of_unix_ms"] = UnixMilliseconds() - age.count();
  }
  return json;
}

RequestStateLookup::Finding RequestStateLookup::Combine(
    const Json& records,
    const std::optional<Claim>& claim,
    bool all_answered) {
  if (claim.has_value() && IsResolved(*claim)) {
    return {std::string(ClaimStateName(claim->state)), "claim"};
  }
  Finding best{kUnknownState, "none"};
  for (const Json& record : records) {
    const std::string state = record.at("state");
    if (WeightOf(state) < WeightOf(best.state)) {
      best = {state,
              absl::StrCat(record.at("role").get<std::string>(), " record of ",
                           record.at("instance").get<std::string>())};
    }
  }
  const bool claim_decides = claim.has_value() && best.state != "completed" &&
                             best.state != "running" && best.state != "waiting";
  if (claim_decides) {
    // The claimer may have sent the request; a refusal elsewhere does not
    // change that.
    return {std::string(ClaimStateName(claim->state)), "claim"};
  }
  if (best.state == "not_run" && !all_answered) {
    // An instance that does not answer may have run it under the same id.
    best.state = kUnknownState;
  }
  return best;
}

Result<Json> RequestStateLookup::Find(const std::string& request_id) const {
  TRY(ValidateRequestId(request_id));
  Json records = OwnRecordsJson(request_id);
  const std::optional<Claim> claim = FindClaim(request_id);
  Json peers = Json::array();
  bool all_answered = true;
  const bool certain =
      IsCertain(records) || (claim.has_value() && IsResolved(*claim));
  if (!certain) {
    for (const PeerAnswer& answer : AskPeers(request_id)) {
      all_answered = all_answered && answer.answered;
      records.insert(records.end(), answer.records.begin(),
                     answer.records.end());
      peers.push_back(PeerJson(answer));
    }
  }
  if (records.empty() && !claim.has_value() && all_answered) {
    return MakeError(ErrorKind::kNotFound, "no instance knows this request",
                     "check the request id; records are kept for 10 minutes");
  }
  const Finding finding = Combine(records, claim, all_answered);
  Json json = {{"request_id", request_id},
               {"state", finding.state},
               {"source", finding.source},
               {"as_of_unix_ms", UnixMilliseconds()},
               {"records", std::move(records)}};
  if (claim.has_value()) {
    json["claim"] = ClaimToJson(*claim);
  }
  json["peers"] = std::move(peers);
  return json;
}

}  // namespace bramleyrail

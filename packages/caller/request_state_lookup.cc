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

// In descending order of precedence: states that are certain and further
// advanced come first. The state "not_run" is last, since it states only that
// one instance accepted the request without running it.
constexpr std::array<std::string_view, 5> kStatesByPrecedence = {
    "completed", "running", "waiting", "outcome_unknown", "not_run"};

size_t PrecedenceOf(const std::string& state) {
  return static_cast<size_t>(
      std::find(kStatesByPrecedence.begin(), kStatesByPrecedence.end(), state) -
      kStatesByPrecedence.begin());
}

Json ClaimToJson(const Claim& claim) {
  return {{"state", std::string(ClaimStateName(claim.state))},
          {"instance", claim.instance},
          {"service", claim.service},
          {"caller", claim.caller},
          {"status", claim.response_status},
          {"answer_kept", claim.response_stored},
          {"claimed_unix_ms", claim.claimed_unix_ms},
          {"resolved_unix_ms", claim.resolved_unix_ms}};
}

bool IsResolved(const Claim& claim) {
  return claim.state == ClaimState::kCompleted ||
         claim.state == ClaimState::kNotRun;
}

// True when the record of the entry instance, which accepted the request, shows
// that the request is in progress or has run. Peers need not be queried then.
bool HasConclusiveRecord(const Json& records) {
  return std::any_of(records.begin(), records.end(), [](const Json& record) {
    const std::string state = record.at("state");
    return record.at("role") == "entry" &&
           (state == "completed" || state == "running" || state == "waiting");
  });
}

}  // namespace

Json RequestStateLookup::LocalRecordsJson(const std::string& request_id) const {
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

RequestStateResponse RequestStateLookup::LocalRecords(
    const std::string& request_id) const {
  const Json records = LocalRecordsJson(request_id);
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

std::vector<RequestStateLookup::PeerRecords> RequestStateLookup::QueryPeers(
    const std::string& request_id) const {
  using Bytes = std::vector<std::byte>;
  const Bytes query = EncodeRoutingMessage(RequestStateQuery{request_id});
  std::vector<std::shared_ptr<PendingResult<Bytes>>> pending;
  for (const std::string& peer : options_.peers.names) {
    auto result = std::make_shared<PendingResult<Bytes>>();
    pending.push_back(result);
    options_.peers.call(
        peer, query, kPeerTimeout,
        [result](Result<Bytes> response) { result->Set(std::move(response)); });
  }
  const MonotonicTime deadline =
      std::chrono::steady_clock::now() + kPeerTimeout;
  std::vector<PeerRecords> responses;
  for (size_t i = 0; i < pending.size(); ++i) {
    PeerRecords& response = responses.emplace_back();
    response.peer = options_.peers.names[i];
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
        !std::holds_alternative<RequestStateResponse>(message.value())) {
      continue;
    }
    Result<Json> records =
        ParseJson(std::get<RequestStateResponse>(message.value()).record,
                  JsonComments::kRefuse);
    if (records.has_value() && records.value().is_array()) {
      response.responded = true;
      response.records = std::move(records).value();
    }
  }
  return responses;
}

Json RequestStateLookup::PeerJson(const PeerRecords& response) const {
  Json json = {{"instance", response.peer}, {"answered", response.responded}};
  if (response.responded) {
    json["found"] = !response.records.empty();
    return json;
  }
  const std::optional<MonotonicTime> contact =
      options_.peers.last_contact(response.peer);
  json["as_of_unix_ms"] = nullptr;  // There was no contact yet.
  if (contact.has_value()) {
    const auto age =
        std::chrono::round<Milliseconds>(options_.clock() - *contact);
    json["as_of_unix_ms"] = UnixMilliseconds() - age.count();
  }
  return json;
}

RequestStateLookup::DerivedState RequestStateLookup::DeriveState(
    const Json& records,
    const std::optional<Claim>& claim,
    bool all_responded) {
  if (claim.has_value() && IsResolved(*claim)) {
    return {std::string(ClaimStateName(claim->state)), "claim"};
  }
  DerivedState best{kUnknownState, "none"};
  for (const Json& record : records) {
    const std::string state = record.at("state");
    if (PrecedenceOf(state) < PrecedenceOf(best.state)) {
      best = {state,
              absl::StrCat(record.at("role").get<std::string>(), " record of ",
                           record.at("instance").get<std::string>())};
    }
  }
  const bool claim_decides = claim.has_value() && best.state != "completed" &&
                             best.state != "running" && best.state != "waiting";
  if (claim_decides) {
    // The instance that acquired the claim may have sent the request, even if
    // another instance has recorded a refusal.
    return {std::string(ClaimStateName(claim->state)), "claim"};
  }
  if (best.state == "not_run" && !all_responded) {
    // An instance that did not respond may have run the request under the same
    // id.
    best.state = kUnknownState;
  }
  return best;
}

Result<Json> RequestStateLookup::Find(const std::string& request_id) const {
  TRY(ValidateRequestId(request_id));
  Json records = LocalRecordsJson(request_id);
  const std::optional<Claim> claim = FindClaim(request_id);
  Json peers = Json::array();
  bool all_responded = true;
  const bool certain =
      HasConclusiveRecord(records) || (claim.has_value() && IsResolved(*claim));
  if (!certain) {
    for (const PeerRecords& response : QueryPeers(request_id)) {
      all_responded = all_responded && response.responded;
      records.insert(records.end(), response.records.begin(),
                     response.records.end());
      peers.push_back(PeerJson(response));
    }
  }
  if (records.empty() && !claim.has_value() && all_responded) {
    return MakeError(ErrorKind::kNotFound,
                     "no instance has a record or claim of this request",
                     "check the request id; records are kept for 10 minutes");
  }
  const DerivedState derived = DeriveState(records, claim, all_responded);
  Json json = {{"request_id", request_id},
               {"state", derived.state},
               {"source", derived.source},
               {"as_of_unix_ms", UnixMilliseconds()},
               {"records", std::move(records)}};
  if (claim.has_value()) {
    json["claim"] = ClaimToJson(*claim);
  }
  json["peers"] = std::move(peers);
  return json;
}

}  // namespace bramleyrail

#include "packages/routing/request_table.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

constexpr size_t kMaximumDecisions = 32;

std::string RecordKey(RequestRole role, std::string_view id) {
  std::string key(role == RequestRole::kEntry ? "e/" : "o/");
  key.append(id);
  return key;
}

}  // namespace

std::string_view RequestStateName(RequestState state) {
  switch (state) {
    case RequestState::kWaiting:
      return "waiting";
    case RequestState::kRunning:
      return "running";
    case RequestState::kCompleted:
      return "completed";
    case RequestState::kNotRun:
      return "not_run";
    case RequestState::kOutcomeUnknown:
      return "outcome_unknown";
  }
  return "outcome_unknown";
}

std::string_view RequestRoleName(RequestRole role) {
  return role == RequestRole::kEntry ? "entry" : "owner";
}

bool RequestRecord::IsFinished() const {
  return state != RequestState::kWaiting && state != RequestState::kRunning;
}

Json RequestRecord::ToJson() const {
  Json json = {{"request_id", id},
               {"service", service},
               {"caller", caller},
               {"instance", instance},
               {"role", std::string(RequestRoleName(role))},
               {"idempotent", idempotent},
               {"state", std::string(RequestStateName(state))},
               {"status", status},
               {"target", target},
               {"accepted_unix_ms", accepted_unix_ms},
               {"changed_unix_ms", changed_unix_ms}};
  Json list = Json::array();
  for (const RequestDecision& decision : decisions) {
    list.push_back({{"unix_ms", decision.unix_ms}, {"text", decision.text}});
  }
  json["decisions"] = std::move(list);
  return json;
}

RequestTable::RequestTable(Options options) : options_(std::move(options)) {}

const RequestTable::Shard& RequestTable::ShardOf(std::string_view id) const {
  return shards_[Hash64(id, 0) % kShards];
}

RequestTable::Shard& RequestTable::ShardOf(std::string_view id) {
  return shards_[Hash64(id, 0) % kShards];
}

void RequestTable::StartRecord(RequestRole role,
                               std::string_view id,
                               std::string_view service,
                               std::string_view caller,
                               bool idempotent) {
  const MonotonicTime now = options_.clock();
  Shard& shard = ShardOf(id);
  absl::MutexLock lock(&shard.mutex);
  std::string key = RecordKey(role, id);
  TrackedRequest& tracked = shard.entries[key];
  std::vector<RequestDecision> decisions = std::move(tracked.record.decisions);
  const int64_t unix_ms = UnixMilliseconds();
  tracked.record = RequestRecord{std::string(id),
                                 std::string(service),
                                 std::string(caller),
                                 options_.instance,
                                 role,
                                 idempotent,
                                 RequestState::kWaiting,
                                 0,
                                 {},
                                 unix_ms,
                                 unix_ms,
                                 std::move(decisions)};
  tracked.generation = ++shard.last_generation;
  tracked.started = now;
  shard.start_order.push_back({std::move(key), tracked.generation});
  EvictOldRecords(&shard, now);
}

void RequestTable::EvictOldRecords(Shard* shard, MonotonicTime now) {
  const size_t limit = std::max<size_t>(1, options_.maximum_records / kShards);
  while (!shard->start_order.empty()) {
    const StartOrderItem& oldest = shard->start_order.front();
    const auto found = shard->entries.find(oldest.key);
    const bool superseded = found == shard->entries.end() ||
                            found->second.generation != oldest.generation;
    if (!superseded) {
      // Requests finish by their deadline, which is at most 600 s, so the age
      // limit needs no exception for unfinished ones.
      const bool too_old = now - found->second.started > options_.maximum_age;
      if (!too_old && shard->entries.size() <= limit) {
        return;
      }
      shard->entries.erase(found);
    }
    shard->start_order.pop_front();
  }
}

void RequestTable::AddDecision(RequestRole role,
                               std::string_view id,
                               std::string text) {
  Shard& shard = ShardOf(id);
  absl::MutexLock lock(&shard.mutex);
  const auto found = shard.entries.find(RecordKey(role, id));
  if (found == shard.entries.end()) {
    return;
  }
  std::vector<RequestDecision>& decisions = found->second.record.decisions;
  if (decisions.size() >= kMaximumDecisions) {
    decisions.erase(decisions.begin());
  }
  decisions.push_back({UnixMilliseconds(), std::move(text)});
}

void RequestTable::SetState(RequestRole role,
                            std::string_view id,
                            RequestState state,
                            std::string_view target,
                            int status) {
  Shard& shard = ShardOf(id);
  absl::MutexLock lock(&shard.mutex);
  const auto found = shard.entries.find(RecordKey(role, id));
  if (found == shard.entries.end()) {
    return;
  }
  RequestRecord& record = found->second.record;
  record.state = state;
  record.status = status;
  if (!target.empty()) {
    record.target = std::string(target);
  }
  record.changed_unix_ms = UnixMilliseconds();
}

std::optional<RequestRecord> RequestTable::Find(RequestRole role,
                                                std::string_view id) const {
  const Shard& shard = ShardOf(id);
  absl::MutexLock lock(&shard.mutex);
  const auto found = shard.entries.find(RecordKey(role, id));
  if (found == shard.entries.end()) {
    return std::nullopt;
  }
  return found->second.record;
}

std::optional<RequestRecord> RequestTable::Find(std::string_view id) const {
  std::optional<RequestRecord> entry = Find(RequestRole::kEntry, id);
  return entry.has_value() ? entry : Find(RequestRole::kOwner, id);
}

size_t RequestTable::size() const {
  size_t total = 0;
  for (const Shard& shard : shards_) {
    absl::MutexLock lock(&shard.mutex);
    total += shard.entries.size();
  }
  return total;
}

}  // namespace bramleyrail

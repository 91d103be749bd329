#ifndef PACKAGES_ROUTING_REQUEST_TABLE_H_
#define PACKAGES_ROUTING_REQUEST_TABLE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "packages/base/base.h"

namespace bramleyrail {

enum class RequestState {
  kWaiting,         // Accepted; nothing was sent yet.
  kRunning,         // Sent, or about to be sent, to a target.
  kCompleted,       // The target responded.
  kNotRun,          // Known not to have run since it was accepted.
  kOutcomeUnknown,  // Sent; no complete response arrived.
};

std::string_view RequestStateName(RequestState state);

// Whether the instance accepted the request from the caller or ran it on one
// of its targets for another instance.
enum class RequestRole { kEntry, kOwner };

std::string_view RequestRoleName(RequestRole role);

struct RequestDecision {
  int64_t unix_ms = 0;
  std::string text;
};

struct RequestRecord {
  std::string id;
  std::string service;
  std::string caller;
  std::string instance;  // Name of the instance that stores this record.
  RequestRole role = RequestRole::kEntry;
  bool idempotent = false;
  RequestState state = RequestState::kWaiting;
  int status = 0;      // HTTP status of the target's response.
  std::string target;  // The last target chosen.
  int64_t accepted_unix_ms = 0;
  int64_t changed_unix_ms = 0;
  std::vector<RequestDecision> decisions;  // Oldest first; only the last 32.

  bool IsFinished() const;
  Json ToJson() const;
};

// The state of recent requests by id, bounded by count and age. Thread-safe.
class RequestTable {
 public:
  struct Options {
    std::string instance;
    size_t maximum_records = 65'536;
    Milliseconds maximum_age{600'000};  // Since the start of the request.
    MonotonicClock clock = SystemMonotonicClock();
  };

  explicit RequestTable(Options options);

  // Adds a record. Replaces a record of the same id and role, but retains its
  // decisions.
  void StartRecord(RequestRole role,
                   std::string_view id,
                   std::string_view service,
                   std::string_view caller,
                   bool idempotent);
  void AddDecision(RequestRole role, std::string_view id, std::string text);
  void SetState(RequestRole role,
                std::string_view id,
                RequestState state,
                std::string_view target,
                int status);

  // Returns the entry record if there is one, else the owner record.
  std::optional<RequestRecord> Find(std::string_view id) const;
  std::optional<RequestRecord> Find(RequestRole role,
                                    std::string_view id) const;
  size_t size() const;

 private:
  struct TrackedRequest {
    RequestRecord record;
    uint64_t generation = 0;
    MonotonicTime started;
  };
  struct StartOrderItem {
    std::string key;
    uint64_t generation = 0;
  };
  // Reduces lock contention between requests of different ids.
  struct Shard {
    mutable absl::Mutex mutex;
    absl::flat_hash_map<std::string, TrackedRequest> entries
        ABSL_GUARDED_BY(mutex);
    std::deque<StartOrderItem> start_order ABSL_GUARDED_BY(mutex);
    uint64_t last_generation ABSL_GUARDED_BY(mutex) = 0;
  };
  static constexpr size_t kShards = 16;

  const Shard& ShardOf(std::string_view id) const;
  Shard& ShardOf(std::string_view id);
  void EvictOldRecords(Shard* shard, MonotonicTime now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(shard->mutex);

  const Options options_;
  std::array<Shard, kShards> shards_;
};

}  // namespace bramleyrail

#endif  // PACKAGES_ROUTING_REQUEST_TABLE_H_

#ifndef PACKAGES_PLACEMENT_FLEET_H_
#define PACKAGES_PLACEMENT_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "packages/placement/free_capacity_index.h"
#include "packages/state/state.h"

namespace bramleyrail {

// Capacity that a request may use. Batch work may not use the headroom, which
// is reserved for services.
enum class CapacityClass { kService, kBatch };

// A live or proposed attempt in the leader's view of a worker.
struct FleetTask {
  std::string owner_uid;
  int32_t task_kind = 0;  // See Fleet::TaskKind.
  CapacityClass capacity_class = CapacityClass::kBatch;
  Priority priority = Priority::kNormal;
  ResourceAmounts reserved;
  int64_t attempt = 0;
};

struct FleetWorker {
  std::string name;
  std::string boot_id;
  int32_t failure_domain = 0;  // See Fleet::FailureDomain.
  std::string rack;
  ResourceAmounts capacity;
  ResourceAmounts reserved;     // Includes proposed starts.
  ResourceAmounts preemptible;  // Part of `reserved`; see IsPreemptible.
  ResourceAmounts headroom;     // Not available to batch work.
  bool usable =
      false;  // Registered, and not drained, suspended or on probation.
  bool present = true;  // False once the worker's resource is deleted.
  absl::flat_hash_map<std::string, FleetTask> tasks;
  absl::flat_hash_map<int32_t, int32_t> kind_counts;
  int64_t task_set_version = 0;  // Incremented with every change of `tasks`.

  ResourceAmounts FreeFor(CapacityClass capacity_class) const;
};

// The leader's view of all workers, indexed by free capacity. Does no I/O; the
// controller keeps it synchronized with the replicated state.
class Fleet {
 public:
  // `headroom_permille`: thousandths of each worker's capacity that batch work
  // leaves free.
  explicit Fleet(int64_t headroom_permille);

  // True for batch work that is not urgent: it may be evicted for work of a
  // higher rank.
  static bool IsPreemptible(const FleetTask& task);

  // Interns names. The returned numbers are small and never reused.
  int32_t TaskKind(std::string_view name);
  int32_t FailureDomain(std::string_view name);
  std::optional<int32_t> FindFailureDomain(std::string_view name) const;
  const std::string& FailureDomainName(int32_t domain) const;
  const std::string& TaskKindName(int32_t kind) const;
  size_t failure_domain_count() const { return domain_names_.size(); }

  // Adds or updates a worker. An existing worker keeps its tasks.
  uint32_t PutWorker(std::string_view name,
                     std::string_view boot_id,
                     const WorkerSpec& spec,
                     bool usable);
  void RemoveWorker(uint32_t worker);
  std::optional<uint32_t> FindWorker(std::string_view name) const;
  const FleetWorker& worker(uint32_t index) const { return workers_[index]; }
  size_t worker_count() const { return workers_.size(); }

  // Adds the task to the worker, or replaces the one with this id.
  void PutTask(uint32_t worker, std::string_view task_id, FleetTask task);
  void RemoveTask(uint32_t worker, std::string_view task_id);

  // Index by free capacity of the usable workers in one failure domain. Workers
  // with and without accelerators have separate indexes, so that tasks that
  // need no accelerator leave those workers free.
  const FreeCapacityIndex& Index(int32_t failure_domain,
                                 CapacityClass capacity_class,
                                 bool with_accelerators) const;

  // Number of live and proposed attempts of an owner: in total, in a failure
  // domain, or on a rack.
  int64_t OwnerTasks(std::string_view owner_uid) const;
  int64_t OwnerTasksInDomain(std::string_view owner_uid, int32_t domain) const;
  int64_t OwnerTasksOnRack(std::string_view owner_uid,
                           std::string_view rack) const;

  // Sum over all present workers, usable or not.
  const ResourceAmounts& total_capacity() const { return total_capacity_; }

  // Incremented whenever a worker is added or changed, or capacity becomes
  // free.
  int64_t release_count() const { return release_count_; }
  // Incremented whenever the set of workers, their locations or their
  // capacities change.
  int64_t shape_count() const { return shape_count_; }

 private:
  struct Group {
    FreeCapacityIndex index[2];  // By CapacityClass.
  };
  struct OwnerSpread {
    absl::flat_hash_map<int32_t, int64_t> by_domain;
    absl::flat_hash_map<std::string, int64_t> by_rack;
    int64_t total = 0;
  };

  void AddToIndex(uint32_t worker);
  void RemoveFromIndex(uint32_t worker);
  void UpdateIndex(uint32_t worker);
  Group& GroupOf(const FleetWorker& worker);
  // Adds `delta` (1 or -1) tasks like `task` to the counters.
  void CountTask(FleetWorker* worker, const FleetTask& task, int32_t delta);

  int64_t headroom_permille_;
  std::vector<FleetWorker> workers_;
  absl::flat_hash_map<std::string, uint32_t> workers_by_name_;
  std::vector<std::string> domain_names_;
  absl::flat_hash_map<std::string, int32_t> domains_by_name_;
  std::vector<std::string> kind_names_;
  absl::flat_hash_map<std::string, int32_t> kinds_by_name_;
  std::vector<Group> groups_;  // Two for each failure domain.
  absl::flat_hash_map<std::string, OwnerSpread> spread_;
  ResourceAmounts total_capacity_;
  int64_t release_count_ = 0;
  int64_t shape_count_ = 0;
};

}  // namespace bramleyrail

#endif  // PACKAGES_PLACEMENT_FLEET_H_

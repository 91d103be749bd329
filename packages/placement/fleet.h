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

// Which capacity a request may use: headroom is kept free of batch work.
enum class CapacityClass { kService, kBatch };

// A live or proposed attempt, as placement sees it.
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
  ResourceAmounts reserved;     // Includes starts that are proposed only.
  ResourceAmounts preemptible;  // Part of `reserved`; see IsPreemptible.
  ResourceAmounts headroom;     // Kept free of batch work.
  bool usable =
      false;  // Registered, and not drained, suspended or on probation.
  bool present = true;  // False once the worker's resource is deleted.
  absl::flat_hash_map<std::string, FleetTask> tasks;
  absl::flat_hash_map<int32_t, int32_t> kind_counts;
  int64_t composition_count = 0;  // Grows with every change of `tasks`.

  ResourceAmounts FreeFor(CapacityClass capacity_class) const;
};

// The leader's view of all workers with an index by free capacity. Pure; the
// controller keeps it in line with the replicated state.
class Fleet {
 public:
  // `headroom_permille`: part of each worker that batch work leaves free.
  explicit Fleet(int64_t headroom_permille);

  // Batch work that is not urgent gives way to work of a higher rank.
  static bool IsPreemptible(const FleetTask& task);

  // Interns names; numbers are small and never reused.
  int32_t TaskKind(std::string_view name);
  int32_t FailureDomain(std::string_view name);
  std::optional<int32_t> FindFailureDomain(std::string_view name) const;
  const std::string& FailureDomainName(int32_t domain) const;
  const std::string& TaskKindName(int32_t kind) const;
  size_t failure_domain_count() const { return domain_names_.size(); }

  // Adds or changes a worker; keeps its tasks.
  uint32_t PutWorker(std::string_view name,
                     std::string_view boot_id,
                     const WorkerSpec& spec,
                     bool usable);
  void RemoveWorker(uint32_t worker);
  std::optional<uint32_t> FindWorker(std::string_view name) const;
  const FleetWorker& worker(uint32_t index) const { return workers_[index]; }
  size_t worker_count() const { return workers_.size(); }

  // A task that is already there is replaced.
  void PutTask(uint32_t worker, std::string_view task_id, FleetTask task);
  void RemoveTask(uint32_t worker, std::string_view task_id);

  // Usable workers by free capacity, in one failure domain. Workers without
  // accelerators are in groups of their own, so that tasks that need none
  // leave the others free.
  const FreeCapacityIndex& Index(int32_t failure_domain,
                                 CapacityClass capacity_class,
                                 bool with_accelerators) const;

  // Live and proposed attempts of an owner, in all, in a failure domain or on a
  // rack.
  int64_t OwnerTasks(std::string_view owner_uid) const;
  int64_t OwnerTasksInDomain(std::string_view owner_uid, int32_t domain) const;
  int64_t OwnerTasksOnRack(std::string_view owner_uid,
                           std::string_view rack) const;

  // Sum over all workers, usable or not.
  const ResourceAmounts& total_capacity() const { return total_capacity_; }

  // Grows whenever a worker joins or changes, or capacity becomes free.
  int64_t release_count() const { return release_count_; }
  // Grows whenever the set of workers or their capacities change.
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
  // Adds the task to the counters, or takes it out with -1.
  void CountTask(FleetWorker* worker, const FleetTask& task, int32_t by);

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

#include "packages/placement/fleet.h"

#include <utility>

namespace bramleyrail {

namespace {

absl::string_view Key(std::string_view name) {
  return {name.data(), name.size()};
}

}  // namespace

ResourceAmounts FleetWorker::FreeFor(CapacityClass capacity_class) const {
  ResourceAmounts free = capacity;
  free -= reserved;
  if (capacity_class == CapacityClass::kBatch) {
    free -= headroom;
  }
  return free;
}

Fleet::Fleet(int64_t headroom_permille)
    : headroom_permille_(headroom_permille) {}

int32_t Fleet::TaskKind(std::string_view name) {
  const auto [entry, is_new] =
      kinds_by_name_.try_emplace(Key(name), kind_names_.size());
  if (is_new) {
    kind_names_.emplace_back(name);
  }
  return entry->second;
}

int32_t Fleet::FailureDomain(std::string_view name) {
  const auto [entry, is_new] =
      domains_by_name_.try_emplace(Key(name), domain_names_.size());
  if (is_new) {
    domain_names_.emplace_back(name);
    groups_.resize(domain_names_.size() * 2);
  }
  return entry->second;
}

std::optional<int32_t> Fleet::FindFailureDomain(std::string_view name) const {
  const auto found = domains_by_name_.find(Key(name));
  if (found == domains_by_name_.end()) {
    return std::nullopt;
  }
  return found->second;
}

const std::string& Fleet::FailureDomainName(int32_t domain) const {
  return domain_names_[domain];
}

const std::string& Fleet::TaskKindName(int32_t kind) const {
  return kind_names_[kind];
}

uint32_t Fleet::PutWorker(std::string_view name,
                          std::string_view boot_id,
                          const WorkerSpec& spec,
                          bool usable) {
  const auto [entry, is_new] =
      workers_by_name_.try_emplace(Key(name), workers_.size());
  const uint32_t index = entry->second;
  if (is_new) {
    workers_.emplace_back().name = std::string(name);
  }
  FleetWorker& worker = workers_[index];
  const int32_t domain = FailureDomain(spec.failure_domain);
  const bool reshaped =
      is_new || !worker.present || worker.failure_domain != domain ||
      worker.rack != spec.rack || worker.capacity != spec.capacity;
  if (!reshaped && worker.boot_id == boot_id && worker.usable == usable) {
    return index;
  }
  RemoveFromIndex(index);
  for (const auto& [id, task] : worker.tasks) {
    CountTask(&worker, task, -1);
  }
  if (worker.present && !is_new) {
    total_capacity_ -= worker.capacity;
  }
  total_capacity_ += spec.capacity;
  worker.boot_id = std::string(boot_id);
  worker.failure_domain = domain;
  worker.rack = spec.rack;
  worker.capacity = spec.capacity;
  worker.headroom = {
      .processor_millis =
          spec.capacity.processor_millis * headroom_permille_ / 1000,
      .memory_mib = spec.capacity.memory_mib * headroom_permille_ / 1000};
  worker.usable = usable;
  worker.present = true;
  for (const auto& [id, task] : worker.tasks) {
    CountTask(&worker, task, 1);
  }
  AddToIndex(index);
  ++release_count_;
  shape_count_ += reshaped ? 1 : 0;
  return index;
}

void Fleet::RemoveWorker(uint32_t index) {
  FleetWorker& worker = workers_[index];
  if (!worker.present) {
    return;
  }
  RemoveFromIndex(index);
  while (!worker.tasks.empty()) {
    const std::string task_id = worker.tasks.begin()->first;
    RemoveTask(index, task_id);
  }
  total_capacity_ -= worker.capacity;
  worker.usable = false;
  worker.present = false;
  ++shape_count_;
}

std::optional<uint32_t> Fleet::FindWorker(std::string_view name) const {
  const auto found = workers_by_name_.find(Key(name));
  if (found == workers_by_name_.end()) {
    return std::nullopt;
  }
  return found->second;
}

void Fleet::PutTask(uint32_t index, std::string_view task_id, FleetTask task) {
  FleetWorker& worker = workers_[index];
  const auto [entry, is_new] = worker.tasks.try_emplace(Key(task_id));
  if (!is_new) {
    worker.reserved -= entry->second.reserved;
    CountTask(&worker, entry->second, -1);
  }
  entry->second = std::move(task);
  ++worker.task_set_version;
  worker.reserved += entry->second.reserved;
  CountTask(&worker, entry->second, 1);
  UpdateIndex(index);
}

void Fleet::RemoveTask(uint32_t index, std::string_view task_id) {
  FleetWorker& worker = workers_[index];
  const auto found = worker.tasks.find(Key(task_id));
  if (found == worker.tasks.end()) {
    return;
  }
  worker.reserved -= found->second.reserved;
  CountTask(&worker, found->second, -1);
  worker.tasks.erase(found);
  ++worker.task_set_version;
  UpdateIndex(index);
  ++release_count_;
}

bool Fleet::IsPreemptible(const FleetTask& task) {
  return task.capacity_class == CapacityClass::kBatch &&
         task.priority != Priority::kUrgent;
}

void Fleet::CountTask(FleetWorker* worker,
                      const FleetTask& task,
                      int32_t delta) {
  if ((worker->kind_counts[task.task_kind] += delta) == 0) {
    worker->kind_counts.erase(task.task_kind);
  }
  if (IsPreemptible(task)) {
    if (delta > 0) {
      worker->preemptible += task.reserved;
    } else {
      worker->preemptible -= task.reserved;
    }
  }
  OwnerSpread& spread = spread_[task.owner_uid];
  if ((spread.by_domain[worker->failure_domain] += delta) == 0) {
    spread.by_domain.erase(worker->failure_domain);
  }
  if ((spread.by_rack[worker->rack] += delta) == 0) {
    spread.by_rack.erase(worker->rack);
  }
  spread.total += delta;
  if (spread.total == 0) {
    spread_.erase(task.owner_uid);
  }
}

int64_t Fleet::OwnerTasks(std::string_view owner_uid) const {
  const auto owner = spread_.find(Key(owner_uid));
  return owner == spread_.end() ? 0 : owner->second.total;
}

int64_t Fleet::OwnerTasksInDomain(std::string_view owner_uid,
                                  int32_t domain) const {
  const auto owner = spread_.find(Key(owner_uid));
  if (owner == spread_.end()) {
    return 0;
  }
  const auto found = owner->second.by_domain.find(domain);
  return found == owner->second.by_domain.end() ? 0 : found->second;
}

int64_t Fleet::OwnerTasksOnRack(std::string_view owner_uid,
                                std::string_view rack) const {
  const auto owner = spread_.find(Key(owner_uid));
  if (owner == spread_.end()) {
    return 0;
  }
  const auto found = owner->second.by_rack.find(Key(rack));
  return found == owner->second.by_rack.end() ? 0 : found->second;
}

Fleet::Group& Fleet::GroupOf(const FleetWorker& worker) {
  const size_t with_accelerators = worker.capacity.accelerators > 0 ? 1 : 0;
  return groups_[static_cast<size_t>(worker.failure_domain) * 2 +
                 with_accelerators];
}

const FreeCapacityIndex& Fleet::Index(int32_t failure_domain,
                                      CapacityClass capacity_class,
                                      bool with_accelerators) const {
  const Group& group = groups_[static_cast<size_t>(failure_domain) * 2 +
                               (with_accelerators ? 1 : 0)];
  return group.index[static_cast<size_t>(capacity_class)];
}

void Fleet::AddToIndex(uint32_t index) {
  const FleetWorker& worker = workers_[index];
  if (!worker.usable || !worker.present) {
    return;
  }
  Group& group = GroupOf(worker);
  for (const CapacityClass capacity_class :
       {CapacityClass::kService, CapacityClass::kBatch}) {
    group.index[static_cast<size_t>(capacity_class)].Insert(
        index, FreeUnits(worker.FreeFor(capacity_class)));
  }
}

void Fleet::RemoveFromIndex(uint32_t index) {
  const FleetWorker& worker = workers_[index];
  if (!worker.usable || !worker.present) {
    return;
  }
  Group& group = GroupOf(worker);
  group.index[0].Remove(index);
  group.index[1].Remove(index);
}

void Fleet::UpdateIndex(uint32_t index) {
  const FleetWorker& worker = workers_[index];
  if (!worker.usable || !worker.present) {
    return;
  }
  Group& group = GroupOf(worker);
  for (const CapacityClass capacity_class :
       {CapacityClass::kService, CapacityClass::kBatch}) {
    group.index[static_cast<size_t>(capacity_class)].Update(
        index, FreeUnits(worker.FreeFor(capacity_class)));
  }
}

}  // namespace bramleyrail

#include "packages/placement/owner_catalog.h"

#include <variant>

namespace bramleyrail {

namespace {

// Profiles of deleted owners stay in the cache. At 9,300 jobs a day this limit
// clears the cache about once in two days.
constexpr size_t kMaximumProfiles = 20'000;

}  // namespace

OwnerCatalog::OwnerCatalog(Fleet* fleet) : fleet_(fleet) {}

std::shared_ptr<const OwnerProfile> OwnerCatalog::Find(
    const ClusterState& state,
    const TaskOwner& owner) {
  const Resource* resource = state.FindResource(owner.kind, owner.name);
  if (resource == nullptr || resource->uid != owner.uid) {
    return nullptr;
  }
  const auto found = profiles_.find(owner.uid);
  if (found != profiles_.end() &&
      found->second->generation == resource->generation) {
    return found->second;
  }
  if (profiles_.size() >= kMaximumProfiles) {
    profiles_.clear();
  }
  auto profile = std::make_shared<const OwnerProfile>(MakeProfile(*resource));
  profiles_[owner.uid] = profile;
  return profile;
}

OwnerProfile OwnerCatalog::MakeProfile(const Resource& resource) {
  OwnerProfile profile;
  profile.owner = {resource.Kind(), resource.name, resource.uid};
  profile.generation = resource.generation;
  const TaskTemplate* task = nullptr;
  if (const auto* service = std::get_if<ServiceSpec>(&resource.spec)) {
    task = &service->task;
    profile.capacity_class = CapacityClass::kService;
  } else if (const auto* job = std::get_if<BatchJobSpec>(&resource.spec)) {
    task = &job->task;
    profile.priority = job->priority;
    profile.checkpointable = job->checkpointable;
    profile.cancelled = job->cancelled;
  }
  BRAMLEYRAIL_ASSERT(task != nullptr, "only services and batch jobs own tasks");
  profile.team = task->team;
  profile.declared = task->size;
  profile.task_kind = fleet_->TaskKind(
      task->task_kind.empty() ? resource.name : task->task_kind);
  for (const std::string& domain : task->failure_domains) {
    profile.failure_domains.push_back(fleet_->FailureDomain(domain));
  }
  return profile;
}

}  // namespace bramleyrail

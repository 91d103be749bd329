#include "packages/state/cluster_state.h"

#include <algorithm>
#include <type_traits>

namespace bramleyrail {

std::string_view ChangeTypeName(ChangeType type) {
  constexpr std::array<std::string_view, 4> kNames = {
      "created", "changed", "deleted", "status_changed"};
  return kNames[static_cast<size_t>(type)];
}

ClusterState::ClusterState() = default;

CommandOutcome ClusterState::Apply(const Command& command) {
  ++revision_;
  now_unix_ms_ = command.proposed_unix_ms;
  CommandOutcome outcome = std::visit(
      [this](const auto& body) {
        if constexpr (requires { body.change_id; }) {
          return RunOnce(body);
        } else {
          return Run(body);
        }
      },
      command.body);
  RecordStatusChanges();
  return outcome;
}

CommandOutcome ClusterState::Refuse(Error error) const {
  CommandOutcome outcome;
  outcome.revision = revision_;
  outcome.refusal = std::move(error);
  return outcome;
}

CommandOutcome ClusterState::Accept(const Resource& resource) const {
  CommandOutcome outcome;
  outcome.revision = revision_;
  outcome.resources.push_back(resource);
  outcome.accepted = 1;
  return outcome;
}

const Resource* ClusterState::FindResource(ResourceKind kind,
                                           std::string_view name) const {
  const ResourceMap& resources = Resources(kind);
  const auto found = resources.find(name);
  return found == resources.end() ? nullptr : &found->second;
}

const std::map<std::string, Resource, std::less<>>& ClusterState::Resources(
    ResourceKind kind) const {
  return resources_[static_cast<size_t>(kind)];
}

ClusterState::ResourceMap& ClusterState::MutableResources(ResourceKind kind) {
  return resources_[static_cast<size_t>(kind)];
}

bool ClusterState::IsFailureDomainDrained(
    std::string_view failure_domain) const {
  const Resource* resource =
      FindResource(ResourceKind::kFailureDomain, failure_domain);
  return resource != nullptr &&
         std::get<FailureDomainSpec>(resource->spec).drained;
}

bool ClusterState::IsWorkerDrained(std::string_view worker) const {
  const Resource* resource = FindResource(ResourceKind::kWorker, worker);
  if (resource == nullptr) {
    return false;
  }
  const auto& spec = std::get<WorkerSpec>(resource->spec);
  if (spec.drained || IsFailureDomainDrained(spec.failure_domain)) {
    return true;
  }
  const Resource* rack = FindResource(ResourceKind::kRack, spec.rack);
  return rack != nullptr && std::get<RackSpec>(rack->spec).drained;
}

bool ClusterState::IsTargetDrained(std::string_view target) const {
  const Resource* resource = FindResource(ResourceKind::kTarget, target);
  if (resource == nullptr) {
    return false;
  }
  const auto& spec = std::get<TargetSpec>(resource->spec);
  return spec.drained || IsFailureDomainDrained(spec.failure_domain);
}

Result<std::vector<ResourceChange>> ClusterState::ChangesAfter(
    int64_t after_revision,
    size_t limit) const {
  if (after_revision < compacted_revision_) {
    return MakeError(ErrorKind::kCompacted,
                     "changes after revision " +
                         std::to_string(after_revision) +
                         " are no longer stored; the oldest revision is " +
                         std::to_string(compacted_revision_),
                     "list the resources again and watch from the revision "
                     "of the list");
  }
  auto entry =
      std::upper_bound(history_.begin(), history_.end(), after_revision,
                       [](int64_t revision, const HistoryEntry& candidate) {
                         return revision < candidate.revision;
                       });
  std::vector<ResourceChange> changes;
  for (; entry != history_.end(); ++entry) {
    // A reader continues after the last revision it received, so the changes of
    // one revision are never split.
    if (changes.size() >= limit &&
        (changes.empty() || changes.back().revision != entry->revision)) {
      break;
    }
    changes.push_back(
        {entry->revision, entry->type, *entry->resource, entry->counts});
  }
  return changes;
}

void ClusterState::RecordChange(const Resource& resource, ChangeType type) {
  ResourceKey key(resource.Kind(), resource.name);
  auto shared = std::make_shared<const Resource>(resource);
  AppendHistory({revision_, type, shared, CountsOf(resource.uid)});
  if (type == ChangeType::kDeleted) {
    shared_resources_.erase(key);
  } else {
    shared_resources_[key] = std::move(shared);
  }
  recorded_changes_.insert(std::move(key));
}

void ClusterState::MarkStatusChanged(ResourceKind kind, std::string_view name) {
  changed_statuses_.emplace(kind, name);
}

void ClusterState::RecordStatusChanges() {
  for (const ResourceKey& key : changed_statuses_) {
    const auto resource = shared_resources_.find(key);
    // A resource that the same command changed already has a history entry,
    // which includes the status.
    if (resource == shared_resources_.end() ||
        recorded_changes_.contains(key)) {
      continue;
    }
    AppendHistory({revision_, ChangeType::kStatusChanged, resource->second,
                   CountsOf(resource->second->uid)});
  }
  changed_statuses_.clear();
  recorded_changes_.clear();
}

void ClusterState::AppendHistory(HistoryEntry entry) {
  history_.push_back(std::move(entry));
  if (history_.size() > kMaximumHistory) {
    compacted_revision_ = history_.front().revision;
    history_.pop_front();
  }
}

}  // namespace bramleyrail

#include "packages/routing/routing_table.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

// Selections per request; other threads may acquire the selected capacity
// first.
constexpr int kMaximumAcquireAttempts = 4;
// Targets sampled to estimate the local capacity. A scan of all targets for
// every request would cost 17 us with 2,100 of them, and the policy needs only
// an estimate.
constexpr size_t kTargetSampleSize = 16;
constexpr size_t kMaximumSessionNumbers = 65'536;

template <typename Map>
auto Find(Map& map, std::string_view key) {
  return map.find(absl::string_view(key.data(), key.size()));
}

std::vector<FieldFault> FaultsOf(const TargetAnnouncement& announcement) {
  std::vector<FieldFault> faults;
  if (announcement.session < 1) {
    faults.push_back({"session", "must be at least 1"});
  }
  if (announcement.slots < 1) {
    faults.push_back({"slots", "must be at least 1"});
  }
  if (announcement.connections < 1) {
    faults.push_back({"connections", "must be at least 1"});
  }
  return faults;
}

}  // namespace

RoutingTable::RoutingTable(Options options)
    : options_(std::move(options)),
      random_(options_.seed),
      snapshot_(std::make_unique<const Snapshot>()) {}

void RoutingTable::Publish() {
  auto snapshot = std::make_unique<Snapshot>();
  for (const auto& [name, session] : sessions_) {
    (*snapshot)[session->service()].targets.push_back(session);
  }
  for (const auto& [service, records] : owners_) {
    for (const auto& [instance, record] : records) {
      (*snapshot)[service].owners.push_back(record);
    }
  }
  // Hash order differs between processes. Sorting by name makes selections
  // reproducible from the seed.
  for (auto& [service, entry] : *snapshot) {
    std::sort(entry.targets.begin(), entry.targets.end(),
              [](const auto& left, const auto& right) {
                return left->name() < right->name();
              });
    std::sort(entry.owners.begin(), entry.owners.end(),
              [](const auto& left, const auto& right) {
                return left->instance() < right->instance();
              });
  }
  snapshot_.Publish(std::move(snapshot));
}

Result<void> RoutingTable::Announce(TargetAnnouncement announcement) {
  std::vector<FieldFault> faults = FaultsOf(announcement);
  if (!faults.empty()) {
    return MakeInvalidArgument("the target announcement has invalid fields",
                               std::move(faults));
  }
  const MonotonicTime now = options_.clock();
  absl::MutexLock lock(&mutex_);
  if (session_numbers_.size() >= kMaximumSessionNumbers) {
    absl::erase_if(session_numbers_, [this](const auto& known) {
      mutex_.AssertHeld();
      return !sessions_.contains(known.first);
    });
  }
  int64_t& newest = session_numbers_[announcement.name];
  const auto live = sessions_.find(announcement.name);
  if (live != sessions_.end() && announcement.session == newest &&
      !live->second->closed()) {
    live->second->Renew(announcement.sequence, announcement.in_progress, now);
    return Success();
  }
  if (announcement.session <= newest) {
    return MakeError(
        ErrorKind::kConflict,
        absl::StrCat("session ", announcement.session,
                     " is not newer than session ", newest),
        absl::StrCat("announce with session ", newest + 1, " or higher"));
  }
  newest = announcement.session;
  if (live != sessions_.end()) {
    live->second->Close();
  }
  const std::string name = announcement.name;
  sessions_[name] =
      std::make_shared<TargetSession>(std::move(announcement), now);
  Publish();
  return Success();
}

Result<std::shared_ptr<TargetSession>> RoutingTable::Renew(
    std::string_view target,
    int64_t session,
    int64_t sequence,
    const WorkInProgress& work) {
  const MonotonicTime now = options_.clock();
  absl::MutexLock lock(&mutex_);
  const auto found = Find(sessions_, target);
  if (found == sessions_.end()) {
    return MakeError(ErrorKind::kNotFound,
                     "the target has no session on this instance",
                     "announce with the next session number");
  }
  if (found->second->session() != session) {
    return MakeError(
        ErrorKind::kConflict,
        absl::StrCat("the target's current session on this instance is ",
                     found->second->session()),
        "announce with a session number above both");
  }
  if (found->second->closed() || found->second->IsExpired(now)) {
    return MakeError(ErrorKind::kFailedPrecondition,
                     "the target's session has ended or its lease has expired",
                     "announce with the next session number");
  }
  found->second->Renew(sequence, work, now);
  return found->second;
}

Result<void> RoutingTable::Leave(std::string_view target, int64_t session) {
  absl::MutexLock lock(&mutex_);
  const auto found = Find(sessions_, target);
  if (found == sessions_.end() || found->second->session() < session) {
    return Success();
  }
  if (found->second->session() > session) {
    return MakeError(
        ErrorKind::kConflict,
        absl::StrCat("the target's current session on this instance is ",
                     found->second->session()),
        "leave with the current session number");
  }
  found->second->Close();
  sessions_.erase(found);
  Publish();
  return Success();
}

std::vector<std::shared_ptr<TargetSession>> RoutingTable::RemoveExpired() {
  const MonotonicTime now = options_.clock();
  absl::MutexLock lock(&mutex_);
  std::vector<std::shared_ptr<TargetSession>> removed;
  for (auto session = sessions_.begin(); session != sessions_.end();) {
    const auto current = session++;
    if (current->second->IsExpired(now)) {
      current->second->Close();
      removed.push_back(std::move(current->second));
      sessions_.erase(current);
    }
  }
  if (!removed.empty()) {
    Publish();
  }
  return removed;
}

void RoutingTable::UpdateDrained(
    const std::function<bool(std::string_view)>& is_drained) {
  for (const std::shared_ptr<TargetSession>& session : Sessions()) {
    session->SetDrained(is_drained(session->name()));
  }
}

std::optional<CapacityCharge> RoutingTable::AcquireTarget(
    std::string_view service,
    WorkKind kind,
    std::string_view request_id) {
  const TargetQuery query{kind, options_.clock()};
  const RcuReadSection section;
  const Snapshot& snapshot = snapshot_.Read(section);
  const auto entry = Find(snapshot, service);
  if (entry == snapshot.end()) {
    return std::nullopt;
  }
  const auto& targets = entry->second.targets;
  for (int attempt = 0; attempt < kMaximumAcquireAttempts; ++attempt) {
    const std::optional<size_t> choice =
        options_.choose_target(targets, query, &random_);
    if (!choice.has_value()) {
      return std::nullopt;
    }
    if (targets[*choice]->TryAcquire(kind, query.now)) {
      return CapacityCharge(targets[*choice], kind, std::string(request_id));
    }
  }
  return std::nullopt;
}

OwnerCandidate RoutingTable::LocalCandidate(const ServiceRoutes& entry,
                                            WorkKind kind,
                                            MonotonicTime now) const {
  return EstimateLocalCandidate(entry.targets, entry.targets.size(), kind, now);
}

OwnerCandidate RoutingTable::SampledLocalCandidate(const ServiceRoutes& entry,
                                                   WorkKind kind,
                                                   MonotonicTime now) {
  const std::span<const std::shared_ptr<TargetSession>> targets(entry.targets);
  if (targets.size() <= kTargetSampleSize) {
    return LocalCandidate(entry, kind, now);
  }
  const size_t first = random_.Index(targets.size() - kTargetSampleSize + 1);
  OwnerCandidate local = EstimateLocalCandidate(
      targets.subspan(first, kTargetSampleSize), targets.size(), kind, now);
  // Only a full scan can show that no capacity is free.
  return local.free_capacity > 0 ? local : LocalCandidate(entry, kind, now);
}

OwnerCandidate RoutingTable::EstimateLocalCandidate(
    std::span<const std::shared_ptr<TargetSession>> sample,
    size_t total,
    WorkKind kind,
    MonotonicTime now) const {
  OwnerCandidate local{options_.instance, OwnerDistance::kLocalInstance, 0, 1};
  double latency = 0;
  int64_t usable = 0;
  for (const std::shared_ptr<TargetSession>& target : sample) {
    if (!IsUsable(*target, {kind, now})) {
      continue;
    }
    local.free_capacity += kind == WorkKind::kRequest
                               ? target->FreeSlots()
                               : target->FreeConnections();
    latency += target->health().LatencyMilliseconds();
    ++usable;
  }
  if (usable > 0) {
    local.latency_ms = latency / static_cast<double>(usable);
    local.free_capacity = local.free_capacity * static_cast<int64_t>(total) /
                          static_cast<int64_t>(sample.size());
  }
  return local;
}

std::optional<OwnerCandidate> RoutingTable::ChooseOwner(
    std::string_view service,
    WorkKind kind,
    Milliseconds remaining,
    const std::vector<std::string>& excluded) {
  const auto is_excluded = [&excluded](const std::string& instance) {
    return std::find(excluded.begin(), excluded.end(), instance) !=
           excluded.end();
  };
  const MonotonicTime now = options_.clock();
  const RcuReadSection section;
  const Snapshot& snapshot = snapshot_.Read(section);
  const auto entry = Find(snapshot, service);
  if (entry == snapshot.end()) {
    return std::nullopt;
  }
  std::vector<OwnerCandidate> candidates;
  std::vector<OwnerRecord*> records;
  if (!entry->second.targets.empty() && !is_excluded(options_.instance)) {
    candidates.push_back(SampledLocalCandidate(entry->second, kind, now));
    records.push_back(nullptr);
  }
  for (const std::shared_ptr<OwnerRecord>& owner : entry->second.owners) {
    if (owner->IsCurrent(now) && !is_excluded(owner->instance())) {
      candidates.push_back(owner->ToCandidate(kind));
      records.push_back(owner.get());
    }
  }
  const std::optional<size_t> choice =
      options_.choose_owner(candidates, remaining, &random_);
  if (!choice.has_value()) {
    return std::nullopt;
  }
  if (records[*choice] != nullptr) {
    records[*choice]->CountAssigned();
  }
  return candidates[*choice];
}

void RoutingTable::MarkOwnerFull(std::string_view service,
                                 std::string_view instance) {
  const RcuReadSection section;
  const Snapshot& snapshot = snapshot_.Read(section);
  const auto entry = Find(snapshot, service);
  if (entry == snapshot.end()) {
    return;
  }
  for (const std::shared_ptr<OwnerRecord>& owner : entry->second.owners) {
    if (owner->instance() == instance) {
      owner->MarkFull();
    }
  }
}

bool RoutingTable::IsServiceKnown(std::string_view service) const {
  const MonotonicTime now = options_.clock();
  const RcuReadSection section;
  const Snapshot& snapshot = snapshot_.Read(section);
  const auto entry = Find(snapshot, service);
  if (entry == snapshot.end()) {
    return false;
  }
  return !entry->second.targets.empty() ||
         std::any_of(entry->second.owners.begin(), entry->second.owners.end(),
                     [now](const auto& owner) {
                       return owner->IsCurrent(now) && owner->targets() > 0;
                     });
}

void RoutingTable::RecordSuccess(TargetSession* session, Milliseconds latency) {
  session->health().RecordSuccess(latency);
}

bool RoutingTable::IsEjectionLimitReached(std::string_view service,
                                          MonotonicTime now) const {
  size_t total = 0;
  size_t ejected = 0;
  for (const auto& [name, session] : sessions_) {
    if (session->service() == service) {
      ++total;
      ejected += session->health().IsEjected(now) ? 1 : 0;
    }
  }
  return (ejected + 1) * 2 > total;
}

std::optional<Milliseconds> RoutingTable::RecordFailure(
    TargetSession* session) {
  if (!session->health().RecordFailure()) {
    return std::nullopt;
  }
  const MonotonicTime now = options_.clock();
  absl::MutexLock lock(&mutex_);
  if (session->health().IsEjected(now) ||
      IsEjectionLimitReached(session->service(), now)) {
    return std::nullopt;
  }
  return session->health().Eject(now, random_.Fraction());
}

TargetSummary RoutingTable::Summary() const {
  const MonotonicTime now = options_.clock();
  TargetSummary summary{options_.failure_domain, options_.region, {}};
  const RcuReadSection section;
  for (const auto& [service, entry] : snapshot_.Read(section)) {
    if (entry.targets.empty()) {
      continue;
    }
    const OwnerCandidate requests =
        LocalCandidate(entry, WorkKind::kRequest, now);
    const OwnerCandidate watches = LocalCandidate(entry, WorkKind::kWatch, now);
    summary.services.push_back(
        {service, static_cast<int64_t>(entry.targets.size()),
         requests.free_capacity, watches.free_capacity, requests.latency_ms});
  }
  return summary;
}

OwnerDistance RoutingTable::DistanceTo(const TargetSummary& summary) const {
  if (summary.failure_domain == options_.failure_domain) {
    return OwnerDistance::kSameFailureDomain;
  }
  return summary.region == options_.region ? OwnerDistance::kSameRegion
                                           : OwnerDistance::kOtherRegion;
}

void RoutingTable::UpdateOwner(std::string_view instance,
                               const TargetSummary& summary) {
  const MonotonicTime now = options_.clock();
  const OwnerDistance distance = DistanceTo(summary);
  absl::MutexLock lock(&mutex_);
  // The owner has no targets of services that it no longer lists.
  for (auto& [service, records] : owners_) {
    const auto record = Find(records, instance);
    if (record != records.end()) {
      record->second->Expire();
    }
  }
  bool added = false;
  for (const ServiceSummary& service : summary.services) {
    std::shared_ptr<OwnerRecord>& record =
        owners_[service.service][std::string(instance)];
    if (record == nullptr) {
      record = std::make_shared<OwnerRecord>(std::string(instance), distance);
      added = true;
    }
    record->Update(service, now);
  }
  if (added) {
    Publish();
  }
}

std::vector<std::shared_ptr<TargetSession>> RoutingTable::Sessions() const {
  absl::MutexLock lock(&mutex_);
  std::vector<std::shared_ptr<TargetSession>> sessions;
  sessions.reserve(sessions_.size());
  for (const auto& [name, session] : sessions_) {
    sessions.push_back(session);
  }
  return sessions;
}

}  // namespace bramleyrail

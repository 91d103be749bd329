#include "packages/bramleyraild/status_reporter.h"

#include <algorithm>
#include <utility>

#include "absl/time/time.h"

namespace bramleyrail {

namespace {

constexpr Milliseconds kAskTimeout{500};

std::string RoleName(const ReplicaStatus& status, std::string_view instance) {
  if (status.is_observer) {
    return "observer";
  }
  const bool is_learner =
      std::any_of(status.learners.begin(), status.learners.end(),
                  [&](const ReplicaId& id) { return id.name == instance; });
  if (is_learner) {
    return "learner";
  }
  switch (status.role) {
    case ReplicaRole::kLeader:
      return "leader";
    case ReplicaRole::kFollower:
      return "follower";
    case ReplicaRole::kPreCandidate:
    case ReplicaRole::kCandidate:
      return "candidate";
  }
  return "unknown";
}

// Answers of the peers, shared with callbacks that may outlive the question.
struct Collection {
  absl::Mutex mutex;
  size_t outstanding ABSL_GUARDED_BY(mutex) = 0;
  std::map<std::string, Json, std::less<>> answers ABSL_GUARDED_BY(mutex);

  bool Complete() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex) {
    return outstanding == 0;
  }
};

}  // namespace

StatusReporter::StatusReporter(Options options)
    : options_(std::move(options)) {}

std::unique_ptr<StatusReporter> StatusReporter::Create(Options options) {
  return std::unique_ptr<StatusReporter>(
      new StatusReporter(std::move(options)));
}

Json StatusReporter::LocalStatus() const {
  const ReplicaStatus status = options_.replica_status();
  const auto age = options_.state.state_age();
  int64_t revision = 0;
  options_.state.read(
      [&](const ClusterState& state) { revision = state.revision(); });
  Json json;
  json["name"] = options_.settings.instance;
  json["failure_domain"] = options_.settings.failure_domain;
  json["region"] = options_.settings.region;
  json["reachable"] = true;
  json["role"] = RoleName(status, options_.settings.instance);
  json["leader"] = status.leader ? status.leader->name : "";
  json["term"] = status.term;
  json["applied_index"] = status.applied_index;
  json["configuration_revision"] = revision;
  json["state_age_ms"] = age ? Json(age->count()) : Json();
  json["last_contact_ms_ago"] = 0;
  json["fault"] =
      status.storage_fault ? status.storage_fault->ToString() : std::string();
  return json;
}

std::vector<std::byte> StatusReporter::EncodeLocalStatus() const {
  std::vector<std::byte> bytes;
  for (const uint8_t byte : Json::to_cbor(LocalStatus())) {
    bytes.push_back(std::byte{byte});
  }
  return bytes;
}

StatusReporter::StatusByName StatusReporter::AskPeers() {
  auto collection = std::make_shared<Collection>();
  {
    absl::MutexLock lock(&collection->mutex);
    collection->outstanding = options_.settings.peers.size();
  }
  for (const PeerSettings& peer : options_.settings.peers) {
    options_.network->Call(peer.name, PeerChannel::kStatus, {}, kAskTimeout,
                           [collection, name = peer.name](
                               const Result<std::vector<std::byte>>& answer) {
                             absl::MutexLock lock(&collection->mutex);
                             --collection->outstanding;
                             if (!answer) {
                               return;
                             }
                             Json status =
                                 Json::from_cbor(answer.value(), true, false);
                             if (status.is_object()) {
                               collection->answers[name] = std::move(status);
                             }
                           });
  }
  absl::MutexLock lock(&collection->mutex);
  collection->mutex.AwaitWithTimeout(
      absl::Condition(collection.get(), &Collection::Complete),
      absl::FromChrono(kAskTimeout));
  return collection->answers;
}

Json StatusReporter::PeerEntry(const PeerSettings& peer,
                               const StatusByName& answers,
                               const std::vector<PeerStatus>& contacts) {
  Json entry;
  {
    absl::MutexLock lock(&mutex_);
    const auto known = last_answers_.find(peer.name);
    entry = known == last_answers_.end() ? Json::object() : known->second;
  }
  const bool reachable = answers.contains(peer.name);
  entry["name"] = peer.name;
  entry["failure_domain"] = peer.failure_domain;
  entry["region"] = peer.region;
  entry["reachable"] = reachable;
  entry["fault"] = reachable ? entry.value("fault", "")
                             : "does not answer; check the process and the "
                               "network to it";
  const auto contact = std::find_if(
      contacts.begin(), contacts.end(),
      [&](const PeerStatus& status) { return status.info.name == peer.name; });
  entry["last_contact_ms_ago"] = Json();
  if (contact != contacts.end() && contact->last_contact) {
    entry["last_contact_ms_ago"] =
        std::chrono::duration_cast<Milliseconds>(options_.clock() -
                                                 *contact->last_contact)
            .count();
  }
  return entry;
}

Json StatusReporter::CollectStatuses() {
  const StatusByName answers = AskPeers();
  {
    absl::MutexLock lock(&mutex_);
    for (const auto& [name, status] : answers) {
      last_answers_[name] = status;
    }
  }
  const std::vector<PeerStatus> contacts = options_.network->Statuses();
  Json instances = Json::array();
  instances.push_back(LocalStatus());
  for (const PeerSettings& peer : options_.settings.peers) {
    instances.push_back(PeerEntry(peer, answers, contacts));
  }
  return instances;
}

}  // namespace bramleyrail

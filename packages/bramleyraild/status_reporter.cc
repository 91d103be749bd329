#include "packages/bramleyraild/status_reporter.h"

#include <algorithm>
#include <utility>

#include "packages/bramleyraild/peer_survey.h"

namespace bramleyrail {

namespace {

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

}  // namespace

StatusReporter::StatusReporter(Options options)
    : options_(std::move(options)) {}

std::unique_ptr<StatusReporter> StatusReporter::Create(Options options) {
  return std::unique_ptr<StatusReporter>(
      new StatusReporter(std::move(options)));
}

InstanceStatus StatusReporter::LocalStatus() const {
  const ReplicaStatus replica = options_.replica_status();
  InstanceStatus status;
  status.name = options_.settings.instance;
  status.failure_domain = options_.settings.failure_domain;
  status.region = options_.settings.region;
  status.role = RoleName(replica, options_.settings.instance);
  status.leader = replica.leader ? replica.leader->name : "";
  status.term = static_cast<int64_t>(replica.term);
  status.applied_index = static_cast<int64_t>(replica.applied_index);
  options_.state.read([&](const ClusterState& state) {
    status.configuration_revision = state.revision();
  });
  if (const auto age = options_.state.state_age()) {
    status.state_age_ms = age->count();
  }
  if (replica.storage_fault) {
    status.fault = replica.storage_fault->ToString();
  }
  status.last_contact_ms_ago = 0;
  return status;
}

std::vector<std::byte> StatusReporter::EncodeLocalStatus() const {
  return EncodeInstanceStatus(LocalStatus());
}

StatusReporter::StatusByName StatusReporter::AskStatuses() const {
  StatusByName statuses;
  for (const auto& [name, answer] :
       AskPeers(options_.network, options_.settings.peers,
                SurveyQuestion::kStatus)) {
    auto status = DecodeInstanceStatus(answer);
    if (status) {
      statuses[name] = std::move(status).value();
    }
  }
  return statuses;
}

InstanceStatus StatusReporter::PeerEntry(
    const PeerSettings& peer,
    const StatusByName& answers,
    const std::vector<PeerStatus>& contacts) {
  InstanceStatus entry;
  {
    absl::MutexLock lock(&mutex_);
    const auto known = last_answers_.find(peer.name);
    if (known != last_answers_.end()) {
      entry = known->second;
    }
  }
  entry.name = peer.name;
  entry.failure_domain = peer.failure_domain;
  entry.region = peer.region;
  entry.reachable = answers.contains(peer.name);
  if (!entry.reachable) {
    entry.fault = "does not answer; check the process and the network to it";
  }
  const auto contact = std::find_if(
      contacts.begin(), contacts.end(),
      [&](const PeerStatus& status) { return status.info.name == peer.name; });
  entry.last_contact_ms_ago.reset();
  if (contact != contacts.end() && contact->last_contact) {
    entry.last_contact_ms_ago = std::chrono::duration_cast<Milliseconds>(
                                    options_.clock() - *contact->last_contact)
                                    .count();
  }
  return entry;
}

std::vector<InstanceStatus> StatusReporter::CollectStatuses() {
  const StatusByName answers = AskStatuses();
  {
    absl::MutexLock lock(&mutex_);
    for (const auto& [name, status] : answers) {
      last_answers_[name] = status;
    }
  }
  const std::vector<PeerStatus> contacts = options_.network->Statuses();
  std::vector<InstanceStatus> statuses = {LocalStatus()};
  for (const PeerSettings& peer : options_.settings.peers) {
    statuses.push_back(PeerEntry(peer, answers, contacts));
  }
  return statuses;
}

}  // namespace bramleyrail

// Handling of messages from and to other instances, and log events for the
// changes of role and membership.

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/replication/replica_driver.h"
#include "packages/replication/replication_events.h"

namespace bramleyrail {

namespace {

std::string JoinIds(const std::vector<ReplicaId>& ids) {
  std::string text;
  for (const ReplicaId& id : ids) {
    text += text.empty() ? "" : ",";
    text += id.ToString();
  }
  return text;
}

// An election takes up to 2 s.
constexpr Milliseconds kFirstLeaderReport{3'000};

std::string JoinRefusals(const std::vector<VoteRefusal>& refusals) {
  std::string text;
  for (const VoteRefusal& refusal : refusals) {
    absl::StrAppend(&text, text.empty() ? "" : ",", refusal.voter.ToString(),
                    "@", refusal.log_term, "/", refusal.last_index);
  }
  return text;
}

}  // namespace

void ReplicaDriver::ReceiveMessage(const std::string& peer,
                                   const Bytes& bytes) {
  Result<WireMessage> message = DecodeWireMessage(bytes);
  if (message.has_error()) {
    LogEvent(kReplicationMessageRefused,
             {{"peer", peer}, {"error", message.error().message}});
    return;
  }
  std::visit([&](auto& body) { Handle(peer, std::move(body)); },
             message.value());
}

void ReplicaDriver::Handle(const std::string& peer, ConsensusMessage message) {
  // An instance may send messages only in its own name; others are dropped.
  if (core_ && message.from.name == peer) {
    core_->Receive(std::move(message));
  }
}

void ReplicaDriver::Handle(const std::string& peer,
                           ForwardedProposal proposal) {
  const uint64_t call = proposal.call;
  tracker_.SubmitForwarded(core_.get(),
                           {std::move(proposal.command),
                            [this, peer, call](const Result<Bytes>& result) {
                              SendResult(peer, call, result);
                            },
                            now_ + options_.propose_timeout});
}

void ReplicaDriver::Handle(const std::string& /*peer*/,
                           ForwardedResult result) {
  if (result.error) {
    tracker_.HandleForwardedResult(result.call, std::move(*result.error), now_);
  } else {
    tracker_.HandleForwardedResult(result.call, std::move(result.response),
                                   now_);
  }
}

void ReplicaDriver::SendResult(const std::string& peer,
                               uint64_t call,
                               const Result<Bytes>& result) {
  ForwardedResult message{.call = call};
  if (result.has_error()) {
    message.error = result.error();
  } else {
    message.response = result.value();
  }
  SendTo(peer, message);
}

void ReplicaDriver::Handle(const std::string& peer,
                           const FormationQuery& query) {
  FormationResponse response{.nonce = query.nonce};
  if (core_) {
    const bool stores_log = core_->kind() == ReplicaCore::Kind::kReplica;
    response.formed = stores_log || core_->term() > 0;
    response.term = core_->term();
    response.last_index = core_->last_index();
  }
  SendTo(peer, response);
}

void ReplicaDriver::Handle(const std::string& peer,
                           const FormationResponse& response) {
  formation_.Receive(peer, response);
}

void ReplicaDriver::SendTo(const std::string& peer,
                           const WireMessage& message) {
  // The protocol resends lost messages.
  (void)options_.send(peer, EncodeWireMessage(message));
}

void ReplicaDriver::SendAll(const std::vector<ConsensusMessage>& messages) {
  for (const ConsensusMessage& message : messages) {
    SendTo(message.to.name, message);
  }
}

void ReplicaDriver::LogChanges() {
  if (core_->role() != logged_role_ || core_->leader() != logged_leader_) {
    logged_role_ = core_->role();
    logged_leader_ = core_->leader();
    LogEvent(kRoleChanged,
             {{"role", std::string(ReplicaRoleName(logged_role_))},
              {"term", core_->term()},
              {"leader", logged_leader_ ? logged_leader_->ToString() : ""}});
  }
  if (core_->configuration() != logged_configuration_) {
    logged_configuration_ = core_->configuration();
    LogEvent(kMembershipChanged,
             {{"voters", JoinIds(logged_configuration_.voters)},
              {"learners", JoinIds(logged_configuration_.learners)}});
  }
}

void ReplicaDriver::ReportMissingLeader() {
  const std::optional<Milliseconds> silence =
      core_ ? core_->TimeWithoutLeader()
            : std::chrono::floor<Milliseconds>(now_ - started_at_);
  if (!silence || *silence < kFirstLeaderReport) {
    next_leader_report_ = kFirstLeaderReport;
    return;
  }
  if (*silence < next_leader_report_) {
    return;
  }
  next_leader_report_ = 2 * *silence;
  const ReplicaStatus status = Status();
  const LogIndex last = core_ ? core_->last_index() : 0;
  const ElectionAnswers answers =
      core_ ? core_->last_election_answers() : ElectionAnswers();
  LogEvent(kLeaderMissing,
           {{"silent_ms", silence->count()},
            {"reason", MissingLeaderReason()},
            {"voter", core_ && core_->configuration().IsVoter(core_->id())},
            {"replica", status.id ? status.id->ToString() : ""},
            {"term", status.term},
            {"log_term", core_ ? core_->TermAt(last).value_or(0) : 0},
            {"last_index", last},
            {"configuration_index", core_ ? core_->configuration_index() : 0},
            {"voters", JoinIds(status.voters)},
            {"learners", JoinIds(status.learners)},
            {"granted", JoinIds(answers.granted)},
            {"refused", JoinRefusals(answers.refused)},
            {"missing", JoinIds(answers.missing)},
            {"disk_error", storage_fault_ ? storage_fault_->ToString() : ""}});
}

std::string_view ReplicaDriver::MissingLeaderReason() const {
  if (storage_fault_) {
    return "disk";
  }
  if (!core_) {
    return "folder_not_formatted";
  }
  const Configuration& configuration = core_->configuration();
  if (!configuration.IsVoter(core_->id())) {
    return configuration.IsLearner(core_->id()) ? "learner" : "not_a_member";
  }
  if (!core_->MayCampaign()) {
    return "cluster_not_formed";
  }
  const ElectionAnswers& answers = core_->last_election_answers();
  if (answers.granted.empty()) {
    return "no_election_yet";
  }
  const std::pair own(core_->TermAt(core_->last_index()).value_or(0),
                      core_->last_index());
  for (const VoteRefusal& refusal : answers.refused) {
    if (std::pair(refusal.log_term, refusal.last_index) > own) {
      return "log_behind";
    }
  }
  const size_t answered = answers.granted.size() + answers.refused.size();
  return answered < configuration.Quorum() ? "no_quorum_of_answers"
                                           : "votes_refused";
}

}  // namespace bramleyrail

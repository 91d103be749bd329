// Handling of messages from and to other instances, and log events for the
// changes of role and membership.

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

}  // namespace bramleyrail

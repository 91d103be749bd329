// Messages from and to other instances, and log lines about what they changed.

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
    LogEvent(kMessageRefused,
             {{"peer", peer}, {"error", message.error().message}});
    return;
  }
  std::visit([&](auto& body) { Handle(peer, std::move(body)); },
             message.value());
}

void ReplicaDriver::Handle(const std::string& peer, ConsensusMessage message) {
  // An instance speaks for itself only.
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
    tracker_.Answer(result.call, std::move(*result.error), now_);
  } else {
    tracker_.Answer(result.call, std::move(result.answer), now_);
  }
}

void ReplicaDriver::SendResult(const std::string& peer,
                               uint64_t call,
                               const Result<Bytes>& result) {
  ForwardedResult message{.call = call};
  if (result.has_error()) {
    message.error = result.error();
  } else {
    message.answer = result.value();
  }
  SendTo(peer, message);
}

void ReplicaDriver::Handle(const std::string& peer,
                           const FormationQuery& query) {
  FormationAnswer answer{.nonce = query.nonce};
  if (core_) {
    const bool stores_log = core_->kind() == ReplicaCore::Kind::kReplica;
    answer.formed = stores_log || core_->term() > 0;
    answer.term = core_->term();
    answer.last_index = core_->last_index();
  }
  SendTo(peer, answer);
}

void ReplicaDriver::Handle(const std::string& peer,
                           const FormationAnswer& answer) {
  formation_.Receive(peer, answer);
}

void ReplicaDriver::SendTo(const std::string& peer,
                           const WireMessage& message) {
  // A lost message is repeated by the protocol.
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

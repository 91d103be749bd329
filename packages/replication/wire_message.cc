#include "packages/replication/wire_message.h"

#include <string>
#include <utility>
#include <vector>

#include "packages/replication/replication_generated.h"

namespace bramleyrail {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using flatbuffers::Vector;

Offset<Vector<uint8_t>> WriteBytes(FlatBufferBuilder* builder,
                                   std::span<const std::byte> data) {
  return builder->CreateVector(reinterpret_cast<const uint8_t*>(data.data()),
                               data.size());
}

Bytes ReadBytes(const Vector<uint8_t>* data) {
  if (data == nullptr) {
    return {};
  }
  const auto* begin = reinterpret_cast<const std::byte*>(data->data());
  return Bytes(begin, begin + data->size());
}

std::string ReadText(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

Offset<replication_wire::ReplicaIdentifier> WriteId(FlatBufferBuilder* builder,
                                                    const ReplicaId& id) {
  return replication_wire::CreateReplicaIdentifierDirect(
      *builder, id.name.c_str(), id.generation);
}

ReplicaId ReadId(const replication_wire::ReplicaIdentifier* id) {
  return id == nullptr ? ReplicaId()
                       : ReplicaId{ReadText(id->name()), id->generation()};
}

using IdVector = Vector<Offset<replication_wire::ReplicaIdentifier>>;

Offset<IdVector> WriteIds(FlatBufferBuilder* builder,
                          const std::vector<ReplicaId>& ids) {
  std::vector<Offset<replication_wire::ReplicaIdentifier>> offsets;
  offsets.reserve(ids.size());
  for (const ReplicaId& id : ids) {
    offsets.push_back(WriteId(builder, id));
  }
  return builder->CreateVector(offsets);
}

std::vector<ReplicaId> ReadIds(const IdVector* ids) {
  std::vector<ReplicaId> result;
  if (ids != nullptr) {
    for (const replication_wire::ReplicaIdentifier* id : *ids) {
      result.push_back(ReadId(id));
    }
  }
  return result;
}

Offset<replication_wire::Consensus> WriteConsensus(
    FlatBufferBuilder* builder,
    const ConsensusMessage& message) {
  std::vector<Offset<replication_wire::Entry>> entries;
  entries.reserve(message.entries.size());
  for (const LogEntry& entry : message.entries) {
    const auto data = WriteBytes(builder, entry.data);
    entries.push_back(
        replication_wire::CreateEntry(*builder, entry.index, entry.term,
                                      static_cast<uint8_t>(entry.kind), data));
  }
  const auto entry_vector = builder->CreateVector(entries);
  const auto from = WriteId(builder, message.from);
  const auto to = WriteId(builder, message.to);
  const auto data = WriteBytes(builder, message.data);
  const auto voters = WriteIds(builder, message.configuration.voters);
  const auto learners = WriteIds(builder, message.configuration.learners);
  const auto configuration =
      replication_wire::CreateReplicaSet(*builder, voters, learners);
  replication_wire::ConsensusBuilder body(*builder);
  body.add_type(static_cast<uint8_t>(message.type));
  body.add_from(from);
  body.add_to(to);
  body.add_term(message.term);
  body.add_index(message.index);
  body.add_log_term(message.log_term);
  body.add_rejected_index(message.rejected_index);
  body.add_commit(message.commit);
  body.add_rejected(message.rejected);
  body.add_transfer(message.transfer);
  body.add_observer(message.observer);
  body.add_sent_at(message.sent_at);
  body.add_entries(entry_vector);
  body.add_offset(message.offset);
  body.add_size(message.size);
  body.add_data(data);
  body.add_configuration(configuration);
  return body.Finish();
}

Error MakeMessageError(const char* reason) {
  return MakeError(ErrorKind::kDataLoss,
                   std::string("a replication message ") + reason,
                   "run the same version of bramleyrail on every instance");
}

Result<WireMessage> ReadConsensus(const replication_wire::Consensus& body) {
  if (body.type() > static_cast<uint8_t>(kLastMessageType)) {
    return MakeMessageError("has an unknown type");
  }
  ConsensusMessage message;
  message.type = static_cast<MessageType>(body.type());
  message.from = ReadId(body.from());
  message.to = ReadId(body.to());
  message.term = body.term();
  message.index = body.index();
  message.log_term = body.log_term();
  message.rejected_index = body.rejected_index();
  message.commit = body.commit();
  message.rejected = body.rejected();
  message.transfer = body.transfer();
  message.observer = body.observer();
  message.sent_at = body.sent_at();
  message.offset = body.offset();
  message.size = body.size();
  message.data = ReadBytes(body.data());
  if (body.configuration() != nullptr) {
    message.configuration.voters = ReadIds(body.configuration()->voters());
    message.configuration.learners = ReadIds(body.configuration()->learners());
  }
  if (body.entries() == nullptr) {
    return WireMessage(std::move(message));
  }
  for (const replication_wire::Entry* entry : *body.entries()) {
    if (entry->kind() > static_cast<uint8_t>(EntryKind::kConfiguration)) {
      return MakeMessageError("has an entry of unknown kind");
    }
    if (entry->index() != message.index + message.entries.size() + 1) {
      return MakeMessageError("has entries that do not follow each other");
    }
    if (entry->kind() == static_cast<uint8_t>(EntryKind::kConfiguration)) {
      TRY(Configuration::Decode(ReadBytes(entry->data())));
    }
    message.entries.push_back({entry->index(), entry->term(),
                               static_cast<EntryKind>(entry->kind()),
                               ReadBytes(entry->data())});
  }
  return WireMessage(std::move(message));
}

Result<WireMessage> ReadResult(const replication_wire::ProposeResult& body) {
  if (!body.failed()) {
    return WireMessage(
        ForwardedResult{body.call(), std::nullopt, ReadBytes(body.answer())});
  }
  if (body.error_kind() > static_cast<uint8_t>(ErrorKind::kInternal)) {
    return MakeMessageError("has an unknown error kind");
  }
  Error error =
      MakeError(static_cast<ErrorKind>(body.error_kind()),
                ReadText(body.error_message()), ReadText(body.error_remedy()));
  return WireMessage(ForwardedResult{body.call(), std::move(error), {}});
}

// Writes the FlatBuffers table of a message; returns its union type and offset.
struct BodyWriter {
  FlatBufferBuilder* builder;

  using Body = std::pair<replication_wire::Body, Offset<void>>;

  Body operator()(const ConsensusMessage& message) const {
    return {replication_wire::Body::Consensus,
            WriteConsensus(builder, message).Union()};
  }
  Body operator()(const ForwardedProposal& proposal) const {
    const auto command = WriteBytes(builder, proposal.command);
    return {replication_wire::Body::Propose,
            replication_wire::CreatePropose(*builder, proposal.call, command)
                .Union()};
  }
  Body operator()(const ForwardedResult& result) const {
    if (!result.error) {
      const auto response = WriteBytes(builder, result.response);
      return {replication_wire::Body::ProposeResult,
              replication_wire::CreateProposeResult(*builder, result.call,
                                                    false, 0, 0, 0, response)
                  .Union()};
    }
    const Error& error = *result.error;
    return {replication_wire::Body::ProposeResult,
            replication_wire::CreateProposeResultDirect(
                *builder, result.call, true, static_cast<uint8_t>(error.kind),
                error.message.c_str(), error.remedy.c_str())
                .Union()};
  }
  Body operator()(const FormationQuery& query) const {
    return {
        replication_wire::Body::FormationQuery,
        replication_wire::CreateFormationQuery(*builder, query.nonce).Union()};
  }
  Body operator()(const FormationResponse& response) const {
    return {replication_wire::Body::FormationAnswer,
            replication_wire::CreateFormationAnswer(
                *builder, response.nonce, response.formed, response.term,
                response.last_index)
                .Union()};
  }
};

}  // namespace

Bytes EncodeWireMessage(const WireMessage& message) {
  FlatBufferBuilder builder;
  const auto [type, body] = std::visit(BodyWriter{&builder}, message);
  builder.Finish(replication_wire::CreateMessage(builder, type, body));
  const auto* begin =
      reinterpret_cast<const std::byte*>(builder.GetBufferPointer());
  return Bytes(begin, begin + builder.GetSize());
}

Result<WireMessage> DecodeWireMessage(std::span<const std::byte> data) {
  const auto* begin = reinterpret_cast<const uint8_t*>(data.data());
  flatbuffers::Verifier verifier(begin, data.size());
  if (!replication_wire::VerifyMessageBuffer(verifier)) {
    return MakeMessageError("is damaged");
  }
  const replication_wire::Message& message =
      *replication_wire::GetMessage(begin);
  if (const replication_wire::Consensus* body = message.body_as_Consensus()) {
    return ReadConsensus(*body);
  }
  if (const replication_wire::Propose* body = message.body_as_Propose()) {
    return WireMessage(
        ForwardedProposal{body->call(), ReadBytes(body->command())});
  }
  if (const replication_wire::ProposeResult* body =
          message.body_as_ProposeResult()) {
    return ReadResult(*body);
  }
  if (const replication_wire::FormationQuery* body =
          message.body_as_FormationQuery()) {
    return WireMessage(FormationQuery{body->nonce()});
  }
  if (const replication_wire::FormationAnswer* body =
          message.body_as_FormationAnswer()) {
    return WireMessage(FormationResponse{body->nonce(), body->formed(),
                                         body->term(), body->last_index()});
  }
  return MakeMessageError("has an unknown body");
}

}  // namespace bramleyrail

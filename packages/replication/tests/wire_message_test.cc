#include "packages/replication/wire_message.h"

#include <rapidcheck.h>

#include <fstream>
#include <sstream>

#include "packages/replication/replication.h"

// Redefines operator new, so it comes after the standard library.
#include "CppUTest/TestHarness.h"

namespace bramleyrail {
namespace {

ConsensusMessage FullMessage() {
  ConsensusMessage message;
  message.type = MessageType::kAppendRequest;
  message.from = {"a", 1};
  message.to = {"b", 2};
  message.term = 3;
  message.index = 4;
  message.log_term = 2;
  message.commit = 4;
  message.sent_at = -5;
  message.configuration = {{{"a", 1}}, {{"b", 2}}};
  message.entries = {
      {5, 3, EntryKind::kCommand, Bytes(3, std::byte{9})},
      {6, 3, EntryKind::kConfiguration, message.configuration.Encode()}};
  return message;
}

TEST_GROUP(WireMessage){};

// Encoding and decoding must not drop a field of a consensus message.
TEST(WireMessage, ConsensusMessageSurvivesTheWire) {
  const ConsensusMessage message = FullMessage();
  const WireMessage decoded =
      DecodeWireMessage(EncodeWireMessage(message)).value();
  const auto& copy = std::get<ConsensusMessage>(decoded);
  CHECK(copy.type == message.type);
  CHECK(copy.from == message.from);
  CHECK(copy.to == message.to);
  CHECK(copy.entries == message.entries);
  CHECK(copy.configuration == message.configuration);
  LONGS_EQUAL(message.index, copy.index);
  LONGS_EQUAL(message.log_term, copy.log_term);
  LONGS_EQUAL(message.commit, copy.commit);
  LONGS_EQUAL(message.sent_at, copy.sent_at);
}

// A damaged message must not cause reads outside its bytes, or reach the core
// in a form that fails one of its assertions.
TEST(WireMessage, DamagedMessagesAreRefusedOrStayWellFormed) {
  const Bytes whole = EncodeWireMessage(FullMessage());
  CHECK(rc::check("damage", [&] {
    Bytes bytes = whole;
    const auto position = *rc::gen::inRange<size_t>(0, bytes.size());
    bytes[position] ^= std::byte(*rc::gen::inRange(1, 256));
    bytes.resize(*rc::gen::inRange<size_t>(position, bytes.size() + 1));
    const Result<WireMessage> decoded = DecodeWireMessage(bytes);
    if (decoded.has_error()) {
      RC_ASSERT(decoded.error().kind == ErrorKind::kDataLoss);
      return;
    }
    if (const auto* message = std::get_if<ConsensusMessage>(&decoded.value())) {
      for (const LogEntry& entry : message->entries) {
        RC_ASSERT(entry.kind == EntryKind::kCommand ||
                  Configuration::Decode(entry.data).has_value());
      }
    }
  }));
}

// An operator looks up log events in the catalogue, so it must list all of
// them.
TEST(WireMessage, CatalogueListsEveryEvent) {
  std::ifstream file(BRAMLEYRAIL_SOURCE_FOLDER "/docs/log-events.md");
  std::stringstream catalogue;
  catalogue << file.rdbuf();
  for (const LogEventDefinition& event :
       {kReplicaStarted, kFolderFormatted, kRoleChanged, kMembershipChanged,
        kStorageStopped, kTornTailTruncated, kSnapshotSaved, kSnapshotInstalled,
        kReplicationMessageRefused, kLeadershipTransferRequested,
        kStorageDeferred}) {
    STRCMP_CONTAINS(event.name, catalogue.str().c_str());
    STRCMP_CONTAINS(std::to_string(event.number).c_str(),
                    catalogue.str().c_str());
  }
}

}  // namespace
}  // namespace bramleyrail

#include "packages/peer/hello.h"

#include "absl/strings/str_cat.h"

namespace bramleyrail {

namespace {

std::string TextOrEmpty(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

}  // namespace

Result<void> CheckHello(const peer_wire::Envelope& envelope,
                        std::string_view cluster_id) {
  if (envelope.flag() != peer_wire::Flag::kHello) {
    return MakeError(ErrorKind::kFailedPrecondition,
                     "the first envelope of the connection is no hello",
                     "check that only instances use the port for peers");
  }
  const std::string received = envelope.hello()->cluster_id()->str();
  if (received != cluster_id) {
    return MakeError(
        ErrorKind::kFailedPrecondition,
        absl::StrCat("the peer belongs to the cluster '", received, "'"),
        "correct the cluster id or the addresses of the peers in the settings");
  }
  return Success();
}

void RecordHello(const peer_wire::Hello& hello, PeerRecord* peer) {
  peer->SetInfo(TextOrEmpty(hello.failure_domain()),
                TextOrEmpty(hello.region()));
}

}  // namespace bramleyrail

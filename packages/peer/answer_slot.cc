#include "packages/peer/answer_slot.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "packages/peer/envelope.h"
#include "packages/peer/peer_limits.h"

namespace bramleyrail {

AnswerSlot::AnswerSlot(std::weak_ptr<Outbox> outbox,
                       PeerChannel channel,
                       uint64_t call_number)
    : outbox_(std::move(outbox)),
      channel_(channel),
      call_number_(call_number) {}

AnswerSlot::~AnswerSlot() {
  if (!answered_) {
    Answer(MakeError(ErrorKind::kOutcomeUnknown,
                     "the peer dropped the call without an answer",
                     "look up the state of the request before repeating it"));
  }
}

void AnswerSlot::Answer(const Result<std::vector<std::byte>>& answer) {
  if (answered_.exchange(true)) {
    return;
  }
  const std::shared_ptr<Outbox> outbox = outbox_.lock();
  if (outbox == nullptr) {
    return;
  }
  if (answer.has_error()) {
    outbox->PushAnswer(EncodeCallError(channel_, call_number_, answer.error()));
    return;
  }
  const std::vector<std::byte>& payload = answer.value();
  if (payload.size() > kMaximumPayloadBytes) {
    // The call has run, so the caller must not take it for refused.
    outbox->PushAnswer(EncodeCallError(
        channel_, call_number_,
        MakeError(
            ErrorKind::kOutcomeUnknown,
            absl::StrCat("the answer of ", payload.size(),
                         " bytes exceeds the limit of ", kMaximumPayloadBytes),
            "ask for less in one call")));
    return;
  }
  outbox->PushAnswer(
      EncodePayload(peer_wire::Flag::kAnswer, channel_, call_number_, payload));
}

}  // namespace bramleyrail

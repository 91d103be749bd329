#ifndef PACKAGES_PEER_ANSWER_SLOT_H_
#define PACKAGES_PEER_ANSWER_SLOT_H_

#include <atomic>
#include <cstdint>
#include <memory>

#include "packages/base/base.h"
#include "packages/peer/outbox.h"
#include "packages/peer/peer_types.h"

namespace bramleyrail {

// The place of one answer on the connection that the call came in on. Outlives
// the connection: an answer for a lost connection is dropped.
class AnswerSlot {
 public:
  AnswerSlot(std::weak_ptr<Outbox> outbox,
             PeerChannel channel,
             uint64_t call_number);
  ~AnswerSlot();
  AnswerSlot(const AnswerSlot&) = delete;
  AnswerSlot& operator=(const AnswerSlot&) = delete;

  // Only the first answer is sent.
  void Answer(const Result<std::vector<std::byte>>& answer);

 private:
  const std::weak_ptr<Outbox> outbox_;
  const PeerChannel channel_;
  const uint64_t call_number_;
  std::atomic<bool> answered_ = false;
};

}  // namespace bramleyrail

#endif  // PACKAGES_PEER_ANSWER_SLOT_H_

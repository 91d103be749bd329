#include "packages/peer/fakes/held_answers.h"

#include "packages/peer/fakes/peer_pair.h"

namespace bramleyrail {

PeerCallHandler HeldAnswers::Handler() {
  return [this](std::string_view /*peer*/, std::span<const std::byte> payload,
                PeerAnswer answer) {
    absl::MutexLock lock(&mutex_);
    held_.emplace_back(AsText(payload), std::move(answer));
  };
}

size_t HeldAnswers::size() const {
  absl::MutexLock lock(&mutex_);
  return held_.size();
}

void HeldAnswers::AnswerLast() {
  const auto [call, answer] = TakeLast();
  const std::string text = "answer to " + call;
  const std::span<const std::byte> bytes = AsBytes(text);
  answer(std::vector<std::byte>(bytes.begin(), bytes.end()));
}

void HeldAnswers::DropLast() {
  TakeLast();
}

std::pair<std::string, PeerAnswer> HeldAnswers::TakeLast() {
  BRAMLEYRAIL_ASSERT(WaitUntil([this] { return size() > 0; }),
                     "no call came in");
  absl::MutexLock lock(&mutex_);
  std::pair<std::string, PeerAnswer> last = std::move(held_.back());
  held_.pop_back();
  return last;
}

}  // namespace bramleyrail
